package reporter_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/record/reporter"
)

func startTime() time.Time { return time.Date(2026, 3, 1, 2, 0, 0, 0, time.UTC) }

// TestIncidentSeparatesAccounts guards against a report that leaks data between
// accounts: a section that depends on the decisions of another account, or an
// internal name, subject, detail or figure in the text.
func TestIncidentSeparatesAccounts(t *testing.T) {
	r := reporter.New(map[primrosespar.Account]string{"secret-a": "Account A", "secret-b": "Account B"})
	rapid.Check(t, func(t *rapid.T) {
		var all, withoutB []primrosespar.Decision
		for i := range rapid.IntRange(0, 30).Draw(t, "decisions") {
			account := rapid.SampledFrom([]primrosespar.Account{"", "secret-a", "secret-b"}).Draw(t, "account")
			d := primrosespar.Decision{
				At: startTime().Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "second")) * time.Second), Place: "p", Host: "secret-host",
				Sequence: uint64(i + 1), Kind: rapid.SampledFrom([]primrosespar.DecisionKind{primrosespar.DecisionRefusal, primrosespar.DecisionPreemption}).Draw(t, "kind"),
				Code: primrosespar.CodeRateLimited, Account: account, Class: "c",
				Subject: "secret-job", Detail: "secret-b took 7777", Figures: []primrosespar.Figure{{Name: "n", Value: 7777}},
			}
			all = append(all, d)
			if account != "secret-b" {
				withoutB = append(withoutB, d)
			}
		}
		report := r.Incident(startTime(), startTime().Add(time.Hour), all, false)
		require.NotContains(t, report, "secret")
		require.NotContains(t, report, "7777")
		beforeB, _, _ := strings.Cut(report, "\n## Account B\n")
		require.Equal(t, r.Incident(startTime(), startTime().Add(time.Hour), withoutB, false), beforeB)
	})
}

// TestExplainSortsAndReportsLosses guards against an explanation that is not
// sorted by time, contains decisions about other IDs or omits lost records.
func TestExplainSortsAndReportsLosses(t *testing.T) {
	var decisions []primrosespar.Decision
	for i, code := range []primrosespar.Code{primrosespar.CodeGangDone, primrosespar.CodePlaced, primrosespar.CodeWaiting} {
		decisions = append(decisions, primrosespar.Decision{
			At: startTime().Add(-time.Duration(i) * time.Second), Place: "p", Host: "h", Subject: "job-1",
			Kind: primrosespar.DecisionGang, Code: code, Detail: fmt.Sprint("step ", i), ContractVersion: 3, Account: "a",
		})
	}
	decisions = append(decisions,
		primrosespar.Decision{At: startTime(), Place: "p", Host: "h", Subject: "job-2", Detail: "other"},
		primrosespar.Decision{
			At: startTime(), Place: "p", Host: "h", Kind: primrosespar.DecisionLoss,
			Figures: []primrosespar.Figure{{Name: "lost", Value: 5}},
		})
	explanation := reporter.Explain("job-1", decisions)
	require.Equal(t, `What happened to job-1 (times in UTC; hosts' clocks may differ):
2026-03-01
  01:59:58.000 gang changed state on host h in p: waiting: The job waits for accelerators. step 2. Contract version 3 of a.
  01:59:59.000 gang changed state on host h in p: placed: All members of the gang have their accelerators. step 1. Contract version 3 of a.
  02:00:00.000 gang changed state on host h in p: gang_done: All members of the gang finished. step 0. Contract version 3 of a.
  5 records of these hosts were lost in this time; decisions may be missing from this list.
`, explanation)
	require.Contains(t, reporter.Explain("job-9", decisions), "no record")
}

// TestIncidentCountsOutcomes guards against a report that counts a refused
// request twice or as answered, counts a lease change as a request, or omits
// for how long requests were affected.
func TestIncidentCountsOutcomes(t *testing.T) {
	var decisions []primrosespar.Decision
	add := func(second int, account primrosespar.Account, kind primrosespar.DecisionKind, codes ...primrosespar.Code) {
		for _, code := range codes {
			decisions = append(decisions, primrosespar.Decision{
				At: startTime().Add(time.Duration(second) * time.Second), Place: "p", Account: account, Kind: kind, Code: code,
			})
		}
	}
	add(0, "", primrosespar.DecisionLease, primrosespar.CodeOK)
	add(1, "a", primrosespar.DecisionOutcome, primrosespar.CodeOK, primrosespar.CodeReplayed)
	add(2, "a", primrosespar.DecisionRefusal, primrosespar.CodeRateLimited)
	add(2, "a", primrosespar.DecisionOutcome, primrosespar.CodeRateLimited)
	add(32, "a", primrosespar.DecisionOutcome, primrosespar.CodeOutcomeUnknown)
	add(33, "a", primrosespar.DecisionPlacement, primrosespar.CodeWaiting)
	report := reporter.New(nil).Incident(startTime(), startTime().Add(time.Hour), decisions, false)
	require.Contains(t, report, "Requests: 2 were answered in full, 1 were refused and did not run, 1 may have run without a whole answer.")
	require.Contains(t, report, "at 2026-03-01 02:00:02, the last at 2026-03-01 02:00:32 (30s later), in p.")
	require.Contains(t, report, "- once: The rate of the account's class is used up. Not run.\n")
	require.Contains(t, report, "a host took over the placement")
	require.Contains(t, report, "job waits for placement | waiting")
	require.NotContains(t, report, "The work ran")
}
