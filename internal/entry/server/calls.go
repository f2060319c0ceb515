package server

import (
	"net/http"
	"strconv"
	"time"

	"github.com/julienschmidt/httprouter"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/entry/authorizer"
)

// Limits of header values that callers set.
const (
	maxKeyBytes         = 256
	maxContentTypeBytes = 256
)

// serveCall serves one call of a request class.
func (s *Server) serveCall(w http.ResponseWriter, r *http.Request, params httprouter.Params, identity authorizer.Identity) error {
	start := s.parts.Clock.Now()
	call, err := s.readCall(w, r, params, identity, start)
	if err != nil {
		return err
	}
	answer := s.parts.Router.Serve(r.Context(), call)
	s.parts.Meter.Call(s.metricAccount(call.Account), call.Class, answer.Code, s.parts.Clock.Since(start))
	s.writeAnswer(w, answer)
	return nil
}

// readCall reads and validates the headers and the body of a call.
func (s *Server) readCall(w http.ResponseWriter, r *http.Request, params httprouter.Params, identity authorizer.Identity, now time.Time) (primrosespar.Call, error) {
	account, err := s.requestAccount(r, identity)
	if err != nil {
		return primrosespar.Call{}, err
	}
	call := primrosespar.Call{
		ID:           requestID(w),
		Account:      account,
		Class:        primrosespar.Class(params.ByName("class")),
		Key:          r.Header.Get("X-Request-Key"),
		FirstAttempt: r.Header.Get("X-First-Attempt") == "1",
		ContentType:  r.Header.Get("Content-Type"),
	}
	if len(call.Key) > maxKeyBytes || !isPrintable(call.Key) {
		return call, invalidKeyError()
	}
	if len(call.ContentType) > maxContentTypeBytes {
		return call, primrosespar.Fail(primrosespar.CodeBadRequest, "header Content-Type has more than %d bytes", maxContentTypeBytes)
	}
	if first := r.Header.Get("X-First-Attempt"); first != "" && first != "1" {
		return call, primrosespar.Fail(primrosespar.CodeBadRequest, "header X-First-Attempt is %q, it must be 1 or absent", first)
	}
	if err := s.readDeadline(r, &call, now); err != nil {
		return call, err
	}
	body, err := readBody(r)
	if err != nil {
		return call, err
	}
	call.Body = body
	return call, nil
}

func invalidKeyError() error {
	return primrosespar.Fail(primrosespar.CodeBadRequest,
		"header X-Request-Key must have at most %d printable ASCII characters without slash", maxKeyBytes)
}

// readDeadline sets the deadline that the caller asks for. Without one, the
// deadline of the class applies.
func (s *Server) readDeadline(r *http.Request, call *primrosespar.Call, now time.Time) error {
	value := r.Header.Get("X-Deadline-Ms")
	if value == "" {
		return nil
	}
	ms, err := strconv.ParseInt(value, 10, 64)
	// The number is compared before it is converted to a duration, because a
	// large one would overflow into the allowed range.
	if err != nil || ms < 1 || ms > s.options.MaxDeadline.Milliseconds() {
		return primrosespar.Fail(primrosespar.CodeOutOfRange,
			"header X-Deadline-Ms is %q, it must be from 1 to %d", value, s.options.MaxDeadline.Milliseconds())
	}
	call.Remaining = time.Duration(ms) * time.Millisecond
	call.Deadline = now.Add(call.Remaining)
	return nil
}

// isPrintable reports whether the key can be part of a row key and of a header.
func isPrintable(key string) bool {
	for _, c := range []byte(key) {
		if c <= ' ' || c > '~' || c == '/' {
			return false
		}
	}
	return true
}

// metricAccount returns the account as a metric label. All accounts without a
// contract share one label, so that requests cannot create new ones.
func (s *Server) metricAccount(account primrosespar.Account) primrosespar.Account {
	view, _ := s.parts.Contracts.View()
	if _, ok := view.Find(account); ok {
		return account
	}
	return "unknown"
}

// writeAnswer responds with the upstream's answer or with a refusal.
func (s *Server) writeAnswer(w http.ResponseWriter, answer primrosespar.Answer) {
	if answer.Status == 0 || answer.Message != "" {
		s.writeRefusal(w, answer.Code, answer.Ran, answer.Message, nil)
		return
	}
	w.Header().Set("X-Result-Code", strconv.Itoa(int(answer.Code)))
	if answer.ContentType != "" {
		w.Header().Set("Content-Type", answer.ContentType)
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(answer.Body)))
	w.WriteHeader(answer.Status)
	_, _ = w.Write(answer.Body)
}

// mintKey responds with a new request key that can be used while the table is
// unavailable.
func (s *Server) mintKey(w http.ResponseWriter, r *http.Request, _ httprouter.Params, identity authorizer.Identity) error {
	account, err := s.requestAccount(r, identity)
	if err != nil {
		return err
	}
	view, _ := s.parts.Contracts.View()
	if _, ok := view.Find(account); !ok {
		return primrosespar.Fail(primrosespar.CodeUnknownAccount, "client account %q has no contract", account)
	}
	key, err := s.parts.Mint(account)
	if err != nil {
		return err
	}
	writeJSON(w, http.StatusOK, struct {
		Key string `json:"key"`
	}{key})
	return nil
}
