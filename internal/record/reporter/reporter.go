// Package reporter tells what happened from decision records: the story of one
// id for operators, and the incident report of a period for the public.
//
// # Usage
//
//	story := reporter.Explain("job-17", decisions)
//	report := reporter.New(names).Incident(from, to, decisions, missing)
package reporter

import (
	"fmt"
	"sort"
	"strconv"
	"strings"
	"time"

	"primrosespar.example/primrosespar"
)

// timeOfDayFormat is the time of day in stories.
const timeOfDayFormat = "15:04:05.000"

// sortDecisions sorts by time, and within a host by sequence.
func sortDecisions(decisions []primrosespar.Decision) []primrosespar.Decision {
	sorted := append([]primrosespar.Decision(nil), decisions...)
	sort.SliceStable(sorted, func(i, j int) bool {
		a, b := sorted[i], sorted[j]
		if a.Host == b.Host && a.Place == b.Place && a.Sequence != 0 && b.Sequence != 0 && a.At.Equal(b.At) {
			return a.Sequence < b.Sequence
		}
		if !a.At.Equal(b.At) {
			return a.At.Before(b.At)
		}
		if a.Place != b.Place {
			return a.Place < b.Place
		}
		return a.Host < b.Host
	})
	return sorted
}

// Explain tells the story of one id in order. It shows all details and is for
// operators. Losses of records in between are named, since they leave gaps.
func Explain(id string, decisions []primrosespar.Decision) string {
	var b strings.Builder
	fmt.Fprintf(&b, "What happened to %s (times in UTC; hosts' clocks may differ):\n", id)
	var matching []primrosespar.Decision
	for _, d := range sortDecisions(decisions) {
		if d.Subject == id {
			matching = append(matching, d)
		}
	}
	if len(matching) == 0 {
		b.WriteString("  There is no record of it in this period. Hosts write their records every 10 s.\n")
	}
	day := ""
	for _, d := range matching {
		if date := d.At.UTC().Format(time.DateOnly); date != day {
			day = date
			b.WriteString(day + "\n")
		}
		b.WriteString("  " + formatDecision(d) + "\n")
	}
	if lost := countLost(matching, decisions); lost > 0 {
		fmt.Fprintf(&b, "  %d records of these hosts were lost in this time; the story may have gaps.\n", lost)
	}
	return b.String()
}

// formatDecision tells one decision with its details.
func formatDecision(d primrosespar.Decision) string {
	text := fmt.Sprintf("%s %s on host %s in %s: %s: %s", d.At.UTC().Format(timeOfDayFormat),
		kindText(d.Kind), d.Host, d.Place, d.Code, d.Code.Info().Meaning)
	if d.Detail != "" {
		text += " " + strings.TrimSuffix(d.Detail, ".") + "."
	}
	if len(d.Figures) > 0 {
		figures := make([]string, len(d.Figures))
		for i, f := range d.Figures {
			figures[i] = f.Name + " " + strconv.FormatFloat(f.Value, 'g', 6, 64)
		}
		text += " Figures: " + strings.Join(figures, ", ") + "."
	}
	if d.ContractVersion > 0 {
		text += fmt.Sprintf(" Contract version %d of %s.", d.ContractVersion, d.Account)
	}
	return text
}

// kindText names a kind of decision in a sentence.
func kindText(kind primrosespar.DecisionKind) string {
	switch kind {
	case primrosespar.DecisionAdmission:
		return "admitted"
	case primrosespar.DecisionRefusal:
		return "refused"
	case primrosespar.DecisionAttempt:
		return "attempted"
	case primrosespar.DecisionRetry:
		return "retried"
	case primrosespar.DecisionOutcome:
		return "ended"
	case primrosespar.DecisionPlacement:
		return "placed"
	case primrosespar.DecisionPreemption:
		return "preempted"
	case primrosespar.DecisionGang:
		return "gang changed state"
	case primrosespar.DecisionQuarantine:
		return "quarantine changed"
	case primrosespar.DecisionEjection:
		return "ejection changed"
	case primrosespar.DecisionContract:
		return "contract changed"
	case primrosespar.DecisionLease:
		return "place lease changed"
	case primrosespar.DecisionLoss:
		return "records lost"
	}
	return string(kind)
}

// countLost counts the records that the hosts of the story lost between its
// first and last record.
func countLost(matching, all []primrosespar.Decision) int {
	if len(matching) == 0 {
		return 0
	}
	type origin struct {
		place  primrosespar.Place
		origin primrosespar.Host
	}
	origins := map[origin]bool{}
	for _, d := range matching {
		origins[origin{d.Place, d.Host}] = true
	}
	lost := 0
	for _, d := range all {
		// A loss is recorded with the batch after it.
		if d.Kind == primrosespar.DecisionLoss && origins[origin{d.Place, d.Host}] && !d.At.Before(matching[0].At) {
			lost += lostRecords(d)
		}
	}
	return lost
}

// lostRecords returns how many records a loss stands for.
func lostRecords(d primrosespar.Decision) int {
	for _, f := range d.Figures {
		if f.Name == "lost" {
			return int(f.Value)
		}
	}
	return 0
}
