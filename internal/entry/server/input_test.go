package server_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/contract/amender"
	"primrosespar.example/primrosespar/internal/contract/parser"
	"primrosespar.example/primrosespar/internal/entry/authorizer"
	"primrosespar.example/primrosespar/internal/entry/meter"
	"primrosespar.example/primrosespar/internal/entry/server"
	"primrosespar.example/primrosespar/internal/operator/caller"
	"primrosespar.example/primrosespar/internal/place/submitter"
	"primrosespar.example/primrosespar/internal/request/router"
	"primrosespar.example/primrosespar/internal/standin/keeper"
)

// countingDispatcher counts the calls that passed all checks and has no
// upstream.
type countingDispatcher struct{ calls int }

func (d *countingDispatcher) Acquire(context.Context, primrosespar.Call) (primrosespar.Grant, error) {
	d.calls++
	return nil, primrosespar.Fail(primrosespar.CodeNoUpstream, "no upstream")
}

// discardRecorder is a recorder that discards all records.
type discardRecorder struct{}

func (discardRecorder) Record(primrosespar.Decision) {}

// fixture is a server with an in-memory table that holds one contract.
type fixture struct {
	handler    http.Handler
	table      *keeper.Keeper
	dispatcher *countingDispatcher
	document   string
}

func newFixture(t *testing.T) fixture {
	clock := clockwork.NewFakeClock()
	document, err := os.ReadFile("../../../examples/coop/derwent-haulage.contract.toml")
	require.NoError(t, err)
	contract, err := parser.Parse(document)
	require.NoError(t, err)
	var workers []primrosespar.WorkerEntry
	for i := range 48 {
		place := []primrosespar.Place{"burnie-a", "brighton-a", "campbell-a"}[i/16]
		rack := primrosespar.Rack([]string{"a", "b"}[i/8%2])
		workers = append(workers, primrosespar.WorkerEntry{Place: place, Rack: rack, Position: i % 8, Accelerators: 8})
	}
	allWorkers := func(context.Context) ([]primrosespar.WorkerEntry, error) { return workers, nil }
	f := fixture{table: keeper.New(keeper.WithClock(clock)), dispatcher: &countingDispatcher{}, document: string(document)}
	view := currentContracts{primrosespar.ContractView{Revision: 1, Contracts: []primrosespar.VersionedContract{{Contract: contract, Version: 1}}}}
	amendments := amender.New(amender.WithTable(f.table), amender.WithClock(clock), amender.WithPlaces("burnie-a", "brighton-a", "campbell-a"), amender.WithWorkers(allWorkers))
	_, err = amendments.Amend(t.Context(), amender.Amendment{ID: "first", Account: contract.Account, Document: document})
	require.NoError(t, err)
	check := func(shape primrosespar.Shape) error {
		if shape.Block > 64 {
			return primrosespar.Fail(primrosespar.CodeImpossibleShape, "the shape needs %d adjacent accelerators, the largest rack has 64", shape.Block)
		}
		return nil
	}
	f.handler = server.New(server.Parts{
		Place: "burnie-a", Places: []primrosespar.Place{"burnie-a", "campbell-a"}, Clock: clock, Contracts: view, Meter: meter.New(), Amender: amendments, Recorder: discardRecorder{}, AllWorkers: allWorkers,
		Router: router.New(router.WithHost("burnie-a", "h"), router.WithClock(clock), router.WithContracts(view, f.dispatcher), router.WithRecorder(discardRecorder{})),
		Authorizer: authorizer.New(
			authorizer.Token{Secret: "caller", Role: authorizer.RoleCaller, Account: "derwent-haulage"},
			authorizer.Token{Secret: "other", Role: authorizer.RoleCaller, Account: "other"},
			authorizer.Token{Secret: "operator", Role: authorizer.RoleOperator}),
		Jobs:   submitter.New(f.table, view, clock, submitter.WithCheck(check)),
		NewID:  func() primrosespar.RequestID { return "r-1" },
		Notify: func(primrosespar.Place, primrosespar.JobID) {},
	}, server.WithMaxBody(4096)).Operators()
	return f
}

// send sends a request and returns its status and refusal. Headers have the
// form "Name: value" and are separated by "|".
func (f fixture) send(t *testing.T, route, token, headers, body string) (int, caller.Refusal) {
	method, path, _ := strings.Cut(route, " ")
	r := httptest.NewRequestWithContext(t.Context(), method, path, strings.NewReader(body))
	if token != "" {
		r.Header.Set("Authorization", "Bearer "+token)
	}
	for line := range strings.SplitSeq(headers, "|") {
		if name, value, ok := strings.Cut(line, ": "); ok {
			r.Header.Set(name, value)
		}
	}
	w := httptest.NewRecorder()
	f.handler.ServeHTTP(w, r)
	var refusal caller.Refusal
	require.NoError(t, json.Unmarshal(w.Body.Bytes(), &refusal), "%s: %s", route, w.Body)
	return w.Code, refusal
}

// rows returns all rows of the table.
func (f fixture) rows(t *testing.T) []primrosespar.Row {
	rows, err := f.table.Scan(t.Context(), "", "", 1000)
	require.NoError(t, err)
	return rows
}

// invalidInput is a request that must be refused.
type invalidInput struct {
	name, route, token, headers, body string
	code                              primrosespar.Code
	// message is part of the message of the refusal, such as the field and its
	// bounds.
	message string
}

func invalidInputs(document string) []invalidInput {
	const (
		postCall, postJob, putContract = "POST /v1/requests/booking", "POST /v1/jobs", "PUT /v1/contracts/derwent-haulage"
		amendHeaders                   = "If-Match: 1|X-Amendment-Id: second"
		classField                     = `"class":"allotment"`
	)
	return []invalidInput{
		{"malformed JSON", postJob, "caller", "", `{"class":`, primrosespar.CodeBadSyntax, "not a JSON document"},
		{"binary body", postJob, "caller", "", "\x00\xff\xfe", primrosespar.CodeBadSyntax, "not a JSON document"},
		{"wrong type", postJob, "caller", "", `{"shape":{"members":"two"}}`, primrosespar.CodeBadRequest, `"shape.members" is a string, it must be a number`},
		{"wrong type of a table", postJob, "caller", "", `{"shape":7}`, primrosespar.CodeBadRequest, `"shape" is a number, it must be an object`},
		{"unknown field", postJob, "caller", "", `{"klass":"x"}`, primrosespar.CodeUnknownField, `"klass"`},
		{"trailing data", postJob, "caller", "", `{} {}`, primrosespar.CodeBadSyntax, "after its JSON document"},
		{"oversized job", postJob, "caller", "", `{"work":"` + strings.Repeat("A", 5000) + `"}`, primrosespar.CodeBodyTooLarge, "4096 bytes"},
		{"oversized call", postCall, "caller", "X-Request-Key: k|X-First-Attempt: 1", strings.Repeat("A", 5000), primrosespar.CodeBodyTooLarge, "4096 bytes"},
		{"duration", postJob, "caller", "", `{` + classField + `,"declared":"soon"}`, primrosespar.CodeBadRequest, "declared"},
		{"payload", postJob, "caller", "", `{` + classField + `,"work":"%%%"}`, primrosespar.CodeBadRequest, "work"},
		{"deadline zero", postCall, "caller", "X-Request-Key: k|X-First-Attempt: 1|X-Deadline-Ms: 0", "", primrosespar.CodeOutOfRange, "X-Deadline-Ms is \"0\", it must be from 1 to 300000"},
		{"deadline overflow", postCall, "caller", "X-Request-Key: k|X-First-Attempt: 1|X-Deadline-Ms: 18446744073710", "", primrosespar.CodeOutOfRange, "from 1 to 300000"},
		{"first attempt", postCall, "caller", "X-First-Attempt: yes", "", primrosespar.CodeBadRequest, "X-First-Attempt"},
		{"unknown account", postCall, "operator", "X-Account: nobody|X-Request-Key: k|X-First-Attempt: 1", "", primrosespar.CodeUnknownAccount, `"nobody"`},
		{"unknown class", "POST /v1/requests/nothing", "caller", "", "", primrosespar.CodeUnknownClass, `"nothing"`},
		{"gang class as request", "POST /v1/requests/allotment", "caller", "", "", primrosespar.CodeUnknownClass, `"allotment"`},
		{"request class as gang", postJob, "caller", "", `{"class":"booking","shape":{"members":1,"block":1}}`, primrosespar.CodeUnknownClass, `"booking"`},
		{"missing key", postCall, "caller", "", "", primrosespar.CodeKeyMissing, `"booking"`},
		{"bad key", postCall, "caller", "X-Request-Key: a/b", "", primrosespar.CodeBadRequest, "X-Request-Key must have at most 256"},
		{"long key", postCall, "caller", "X-Request-Key: " + strings.Repeat("k", 257), "", primrosespar.CodeBadRequest, "X-Request-Key must have at most 256"},
		{"impossible shape", postJob, "caller", "", `{` + classField + `,"shape":{"members":1,"block":128}}`, primrosespar.CodeImpossibleShape, "largest rack has 64"},
		{"negative members", postJob, "caller", "", `{` + classField + `,"shape":{"members":-1,"block":1}}`, primrosespar.CodeOutOfRange, "shape.members is -1, it must be from 1 to 512"},
		{"negative cores", postJob, "caller", "", `{` + classField + `,"shape":{"members":1,"block":1,"cores":-1}}`, primrosespar.CodeOutOfRange, "shape.cores"},
		{"block", postJob, "caller", "", `{` + classField + `,"shape":{"members":1,"block":3}}`, primrosespar.CodeOutOfRange, "shape.block is 3, it must be a power of two"},
		{"unknown place", postJob, "caller", "", `{` + classField + `,"place":"hobart","shape":{"members":1,"block":1}}`, primrosespar.CodeWrongPlace, "burnie-a, brighton-a, campbell-a"},
		{"other account's token", postCall, "other", "X-Account: derwent-haulage", "", primrosespar.CodeForbidden, `"derwent-haulage"`},
		{"no token", postCall, "", "", "", primrosespar.CodeUnauthorized, "Authorization"},
		{"unknown token", postCall, "wrong", "", "", primrosespar.CodeUnauthorized, "token"},
		{"operator's call", putContract, "caller", amendHeaders, document, primrosespar.CodeForbidden, "operator"},
		{"no TOML", putContract, "operator", amendHeaders, "{", primrosespar.CodeContractInvalid, "line 1"},
		{"contract field", putContract, "operator", amendHeaders, strings.Replace(document, "weight = 6", "weight = -6", 1), primrosespar.CodeContractInvalid, "weight: -6 is out of range; the bounds are 1 to 1000"},
		{"guarantee above a rack", putContract, "operator", amendHeaders, strings.Replace(document, "block = 64", "block = 128", 1), primrosespar.CodeGuaranteesDontPack, "128"},
		{"base version", putContract, "operator", "If-Match: x|X-Amendment-Id: second", document, primrosespar.CodeBadRequest, "If-Match"},
		{"amended since", putContract, "operator", "If-Match: 0|X-Amendment-Id: second", document, primrosespar.CodeVersionConflict, "1"},
		{"preemptible", postJob, "caller", "", `{` + classField + `,"preemptible":true}`, primrosespar.CodeUnknownField, `"preemptible"`},
		{"jobs of an unknown place", "GET /v1/jobs?place=hobart", "caller", "", "", primrosespar.CodeNotFound, `"hobart" does not exist; the places are burnie-a, campbell-a`},
		{"explanation without bound", "GET /v1/explain/x?from=1970-01-01T00:00:00Z", "caller", "", "", primrosespar.CodeOutOfRange, "at most 744h"},
		{"explanation of the future", "GET /v1/explain/x?from=9970-01-01T00:00:00Z", "caller", "", "", primrosespar.CodeOutOfRange, "in the past"},
		{"resent", putContract, "operator", amendHeaders + "|X-Resent: maybe", document, primrosespar.CodeBadRequest, `X-Resent is "maybe", it must be 1 or absent`},
		{"unknown path", "GET /v1/nothing", "caller", "", "", primrosespar.CodeNotFound, "/v1/nothing"},
		{"unknown method", "PATCH /v1/jobs", "caller", "", "", primrosespar.CodeBadRequest, "PATCH"},
	}
}

// TestInvalidInputIsRefused guards against invalid input that is applied in
// part or reaches an upstream, and against refusals without the right code or
// without a message that says what is wrong.
func TestInvalidInputIsRefused(t *testing.T) {
	f := newFixture(t)
	before := f.rows(t)
	for _, in := range invalidInputs(f.document) {
		t.Run(in.name, func(t *testing.T) {
			_, refusal := f.send(t, in.route, in.token, in.headers, in.body)
			require.Equal(t, in.code, refusal.Code, refusal.Message)
			require.Contains(t, refusal.Message, in.message)
			require.Equal(t, primrosespar.RanNot, refusal.Ran)
			require.Equal(t, primrosespar.RequestID("r-1"), refusal.RequestID)
			require.Equal(t, before, f.rows(t), "the refused request was applied in part")
			require.Zero(t, f.dispatcher.calls, "the refused request reached the dispatcher")
		})
	}
}

// TestRefusalOfRepeatedKeyIsUnknownRun guards against "not run" in a refusal
// that has not read the claim of the key: an earlier request with the key may
// have run. It is only true if the caller says that this is the first attempt.
func TestRefusalOfRepeatedKeyIsUnknownRun(t *testing.T) {
	f := newFixture(t)
	const route = "POST /v1/requests/booking"
	// The server refuses the first request, the router the second.
	for _, headers := range []string{"X-Request-Key: k|X-Deadline-Ms: 0", "X-Account: nobody|X-Request-Key: k"} {
		_, refusal := f.send(t, route, "operator", headers, "")
		require.Equal(t, primrosespar.RanUnknown, refusal.Ran, headers)
		_, refusal = f.send(t, route, "operator", headers+"|X-First-Attempt: 1", "")
		require.Equal(t, primrosespar.RanNot, refusal.Ran, headers)
	}
}

// TestJobOfAnotherAccountIsHidden guards against a response that reveals
// whether a job of another account exists.
func TestJobOfAnotherAccountIsHidden(t *testing.T) {
	f := newFixture(t)
	status, _ := f.send(t, "POST /v1/jobs", "caller", "X-Request-Key: k", `{"class":"allotment","shape":{"members":1,"block":1}}`)
	require.Equal(t, http.StatusAccepted, status)
	rows, err := f.table.Scan(t.Context(), primrosespar.GangPrefix("burnie-a"), "", 1)
	require.NoError(t, err)
	id := strings.TrimPrefix(rows[0].Key, primrosespar.GangPrefix("burnie-a"))
	missingID := "burnie-a." + strings.Repeat("0", 24)
	for _, method := range []string{"GET", "DELETE"} {
		status, hidden := f.send(t, method+" /v1/jobs/"+id, "other", "", "")
		missingStatus, missing := f.send(t, method+" /v1/jobs/"+missingID, "other", "", "")
		missing.Message = strings.ReplaceAll(missing.Message, missingID, id)
		require.Equal(t, missing, hidden)
		require.Equal(t, missingStatus, status)
	}
}

// TestTruncatedBodyIsNotRun guards against a call with a truncated body that is
// refused as one that may have run.
func TestTruncatedBodyIsNotRun(t *testing.T) {
	f := newFixture(t)
	r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/v1/requests/booking",
		io.MultiReader(strings.NewReader("half"), iotest.ErrReader(io.ErrUnexpectedEOF)))
	r.Header.Set("Authorization", "Bearer caller")
	r.Header.Set("X-Request-Key", "k")
	r.Header.Set("X-First-Attempt", "1")
	w := httptest.NewRecorder()
	f.handler.ServeHTTP(w, r)
	var refusal caller.Refusal
	require.NoError(t, json.Unmarshal(w.Body.Bytes(), &refusal))
	require.Equal(t, primrosespar.CodeBadRequest, refusal.Code)
	require.Equal(t, primrosespar.RanNot, refusal.Ran)
	require.Contains(t, refusal.Message, "cut off after 4 bytes")
	require.Equal(t, "r-1", w.Header().Get("X-Request-Id"))
	require.Zero(t, f.dispatcher.calls)
}

// TestCancelOfEndedJobChangesNothing guards against a cancellation that is
// accepted, or stored, for a job that has ended.
func TestCancelOfEndedJobChangesNothing(t *testing.T) {
	f := newFixture(t)
	id := primrosespar.JobID("burnie-a." + strings.Repeat("0", 24))
	value, err := json.Marshal(primrosespar.Gang{
		Job:   primrosespar.Job{ID: id, Account: "derwent-haulage", Place: "burnie-a"},
		State: primrosespar.GangDone, Reason: primrosespar.CodeGangDone,
	})
	require.NoError(t, err)
	_, err = f.table.Commit(t.Context(), primrosespar.Txn{Writes: []primrosespar.Write{{Key: primrosespar.GangKey("burnie-a", id), Value: value}}})
	require.NoError(t, err)
	before := f.rows(t)
	status, _ := f.send(t, "DELETE /v1/jobs/"+string(id), "caller", "", "")
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, before, f.rows(t))
}
