package reporter

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"primrosespar.example/primrosespar"
)

// section writes what a list of decisions says in sentences, their
// results and the timeline.
func section(b *strings.Builder, decisions []primrosespar.Decision) {
	if len(decisions) == 0 {
		b.WriteString("Nothing was decided in this period.\n")
		return
	}
	requests(b, decisions)
	jobs(b, decisions)
	results(b, decisions)
	timeline(b, decisions)
}

// fate is what is known of a request that ended.
type fate int

const (
	answered fate = iota
	notRun
	storeAway
	mayHaveRun
)

// fateOf reads the fate from the code. A code that does not say "not run"
// counts as one that may have run.
func fateOf(code primrosespar.Code) fate {
	switch {
	case code == primrosespar.CodeOK || code == primrosespar.CodeReplayed:
		return answered
	case code == primrosespar.CodeStoreUnavailable:
		return storeAway
	case strings.HasSuffix(code.Info().Meaning, "Not run.") || code == primrosespar.CodeNotRun:
		return notRun
	}
	return mayHaveRun
}

// requests says how many requests were answered and how many were not, when,
// for how long and where.
func requests(b *strings.Builder, decisions []primrosespar.Decision) {
	var counts [mayHaveRun + 1]int
	var affected []primrosespar.Decision
	seen := map[string]bool{}
	for _, d := range decisions {
		if d.Kind != primrosespar.DecisionOutcome || seen[d.Subject] {
			continue
		}
		// A request that one host passed on to another has an outcome at both.
		seen[d.Subject] = d.Subject != ""
		counts[fateOf(d.Code)]++
		if fateOf(d.Code) != answered {
			affected = append(affected, d)
		}
	}
	if counts[answered]+len(affected) == 0 {
		return
	}
	fmt.Fprintf(b, "Requests: %d were answered in full, %d were refused and did not run, %d may have run without a whole answer.\n",
		counts[answered], counts[notRun], counts[mayHaveRun])
	if n := counts[storeAway]; n > 0 {
		fmt.Fprintf(b, "%s the store was away: the request was refused, or its answer was given and recorded later.\n", capital(times(n)))
	}
	if len(affected) == 0 {
		b.WriteString("No request of this period was affected.\n")
		return
	}
	first, last := affected[0].At, affected[len(affected)-1].At
	fmt.Fprintf(b, "The first affected request ended at %s, the last at %s (%s later), in %s.\n",
		stamp(first), stamp(last), last.Sub(first).Round(time.Second), strings.Join(placesOf(affected), ", "))
}

// jobs says what happened to gang jobs.
func jobs(b *strings.Builder, decisions []primrosespar.Decision) {
	counts := map[primrosespar.Code]int{}
	preempted := 0
	for _, d := range decisions {
		switch d.Kind {
		case primrosespar.DecisionGang:
			counts[d.Code]++
		case primrosespar.DecisionPreemption:
			preempted++
		default:
		}
	}
	done, failed := counts[primrosespar.CodeGangDone], counts[primrosespar.CodeGangFailed]
	lost, cancelled := counts[primrosespar.CodeMemberLost], counts[primrosespar.CodeCancelled]
	if done+failed+lost+cancelled+preempted == 0 {
		return
	}
	fmt.Fprintf(b, "Jobs: %d finished, %d failed, %d were cancelled; %d gave way to a guarantee and %d state changes followed the loss of a member.\n",
		done, failed, cancelled, preempted, lost)
}

// results counts the codes of all decisions that were no success of a request.
func results(b *strings.Builder, decisions []primrosespar.Decision) {
	counts := map[primrosespar.Code]int{}
	for _, d := range decisions {
		if told(d) && fateOf(d.Code) != answered {
			counts[d.Code]++
		}
	}
	if len(counts) > 0 {
		b.WriteString("\nResults:\n\n")
	}
	for _, info := range primrosespar.Codes() {
		if n := counts[info.Code]; n > 0 {
			fmt.Fprintf(b, "- %s: %s\n", times(n), info.Meaning)
		}
	}
}

// told reports whether a decision stands in the counts and the timeline. A
// refused request also has an outcome, and an admission or an attempt that
// succeeded says nothing beyond its outcome.
func told(d primrosespar.Decision) bool {
	switch d.Kind {
	case primrosespar.DecisionAdmission, primrosespar.DecisionAttempt:
		return d.Code != primrosespar.CodeOK
	case primrosespar.DecisionRefusal:
		return d.Code == primrosespar.CodeImpossibleShape
	default:
		return true
	}
}

// event names a decision in the timeline.
func event(d primrosespar.Decision) string {
	switch {
	case d.Kind == primrosespar.DecisionLease:
		return "a host took over the placement of the place"
	case d.Kind == primrosespar.DecisionOutcome && fateOf(d.Code) == answered:
		return "request answered"
	case d.Kind == primrosespar.DecisionOutcome && fateOf(d.Code) == notRun:
		return "request refused, not run"
	case d.Kind == primrosespar.DecisionOutcome:
		return "request not answered in full"
	case d.Kind == primrosespar.DecisionPlacement && d.Code != primrosespar.CodePlaced && d.Code != primrosespar.CodeBackfilled:
		return "job waits for placement"
	}
	return what(d.Kind)
}

// placesOf returns the places of the decisions by name.
func placesOf(decisions []primrosespar.Decision) []string {
	var names []string
	for _, d := range decisions {
		names = append(names, escape(string(d.Place)))
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// capital starts a text with a capital letter.
func capital(text string) string { return strings.ToUpper(text[:1]) + text[1:] }
