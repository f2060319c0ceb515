package reporter

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"primrosespar.example/primrosespar"
)

// writeSection writes a summary of the decisions, their results and the
// timeline.
func writeSection(b *strings.Builder, decisions []primrosespar.Decision) {
	if len(decisions) == 0 {
		b.WriteString("No decisions were recorded in this period.\n")
		return
	}
	writeRequests(b, decisions)
	writeJobs(b, decisions)
	writeResults(b, decisions)
	writeTimeline(b, decisions)
}

// outcome classifies how a request ended.
type outcome int

const (
	answered outcome = iota
	notRun
	storeUnavailable
	mayHaveRun
)

// outcomeOf returns the outcome of a result code. A code that does not state
// that the request was not run counts as mayHaveRun.
func outcomeOf(code primrosespar.Code) outcome {
	switch {
	case code == primrosespar.CodeOK || code == primrosespar.CodeReplayed:
		return answered
	case code == primrosespar.CodeStoreUnavailable:
		return storeUnavailable
	case strings.HasSuffix(code.Info().Meaning, "Not run.") || code == primrosespar.CodeNotRun:
		return notRun
	}
	return mayHaveRun
}

// writeRequests writes how many requests had each outcome, and when and where
// requests were affected.
func writeRequests(b *strings.Builder, decisions []primrosespar.Decision) {
	var counts [mayHaveRun + 1]int
	var affected []primrosespar.Decision
	seen := map[string]bool{}
	for _, d := range decisions {
		if d.Kind != primrosespar.DecisionOutcome || seen[d.Subject] {
			continue
		}
		// A request that one host forwarded to another has an outcome at both.
		seen[d.Subject] = d.Subject != ""
		counts[outcomeOf(d.Code)]++
		if outcomeOf(d.Code) != answered {
			affected = append(affected, d)
		}
	}
	if counts[answered]+len(affected) == 0 {
		return
	}
	fmt.Fprintf(b, "Requests: %d were answered in full, %d were refused and did not run, %d may have run without a whole answer.\n",
		counts[answered], counts[notRun], counts[mayHaveRun])
	if n := counts[storeUnavailable]; n > 0 {
		fmt.Fprintf(b, "%s the store was unavailable: the request was refused, or its answer was given and recorded later.\n", capitalize(timesText(n)))
	}
	if len(affected) == 0 {
		b.WriteString("No request of this period was affected.\n")
		return
	}
	first, last := affected[0].At, affected[len(affected)-1].At
	fmt.Fprintf(b, "The first affected request ended at %s, the last at %s (%s later), in %s.\n",
		formatTime(first), formatTime(last), last.Sub(first).Round(time.Second), strings.Join(placesOf(affected), ", "))
}

// writeJobs writes how many gang jobs ended, were preempted or lost a member.
func writeJobs(b *strings.Builder, decisions []primrosespar.Decision) {
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
	fmt.Fprintf(b, "Jobs: %d finished, %d failed, %d were cancelled; %d were preempted for a guarantee and %d state changes followed the loss of a member.\n",
		done, failed, cancelled, preempted, lost)
}

// writeResults writes how often each result code occurred, except those of
// success.
func writeResults(b *strings.Builder, decisions []primrosespar.Decision) {
	counts := map[primrosespar.Code]int{}
	for _, d := range decisions {
		if isReported(d) && outcomeOf(d.Code) != answered {
			counts[d.Code]++
		}
	}
	if len(counts) > 0 {
		b.WriteString("\nResults:\n\n")
	}
	for _, info := range primrosespar.Codes() {
		if n := counts[info.Code]; n > 0 {
			fmt.Fprintf(b, "- %s: %s\n", timesText(n), info.Meaning)
		}
	}
}

// isReported reports whether a decision appears in the results and the
// timeline. Refusals are skipped because a refused request also has an outcome,
// except those of impossible shapes. Successful admissions and attempts are
// skipped because they add nothing to the outcome.
func isReported(d primrosespar.Decision) bool {
	switch d.Kind {
	case primrosespar.DecisionAdmission, primrosespar.DecisionAttempt:
		return d.Code != primrosespar.CodeOK
	case primrosespar.DecisionRefusal:
		return d.Code == primrosespar.CodeImpossibleShape
	default:
		return true
	}
}

// eventText describes a decision in the timeline.
func eventText(d primrosespar.Decision) string {
	switch {
	case d.Kind == primrosespar.DecisionLease:
		return "a host took over the placement of the place"
	case d.Kind == primrosespar.DecisionOutcome && outcomeOf(d.Code) == answered:
		return "request answered"
	case d.Kind == primrosespar.DecisionOutcome && outcomeOf(d.Code) == notRun:
		return "request refused, not run"
	case d.Kind == primrosespar.DecisionOutcome:
		return "request not answered in full"
	case d.Kind == primrosespar.DecisionPlacement && d.Code != primrosespar.CodePlaced && d.Code != primrosespar.CodeBackfilled:
		return "job waits for placement"
	}
	return kindText(d.Kind)
}

// placesOf returns the distinct places of the decisions, sorted by name.
func placesOf(decisions []primrosespar.Decision) []string {
	var names []string
	for _, d := range decisions {
		names = append(names, escape(string(d.Place)))
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// capitalize returns the text with its first letter in upper case.
func capitalize(text string) string { return strings.ToUpper(text[:1]) + text[1:] }
