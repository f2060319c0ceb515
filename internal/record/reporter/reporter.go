// Package reporter turns decision records into text: an explanation of all
// decisions about one ID, for operators, and the public incident report of a
// period.
//
// # Usage
//
//	text := reporter.Explain("job-17", decisions)
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

// timeOfDayFormat is the format of the times in an explanation.
const timeOfDayFormat = "15:04:05.000"

// sortDecisions returns the decisions sorted by time, place and host. Decisions
// of one host at the same time are sorted by sequence.
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

// Explain lists the decisions about one ID in order, and reports how many
// records of the same hosts were lost meanwhile. It shows all details and is
// for operators only.
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
		fmt.Fprintf(&b, "  %d records of these hosts were lost in this time; decisions may be missing from this list.\n", lost)
	}
	return b.String()
}

// formatDecision describes one decision with all its details.
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

// kindText describes a kind of decision.
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

// countLost returns how many records the hosts of the matching decisions have
// lost since the first of these.
func countLost(matching, all []primrosespar.Decision) int {
	if len(matching) == 0 {
		return 0
	}
	type origin struct {
		place primrosespar.Place
		host  primrosespar.Host
	}
	origins := map[origin]bool{}
	for _, d := range matching {
		origins[origin{d.Place, d.Host}] = true
	}
	lost := 0
	for _, d := range all {
		// A loss is recorded in the batch after it, so that losses after the
		// last matching decision count as well.
		if d.Kind == primrosespar.DecisionLoss && origins[origin{d.Place, d.Host}] && !d.At.Before(matching[0].At) {
			lost += lostRecords(d)
		}
	}
	return lost
}

// lostRecords returns the number of lost records that a DecisionLoss reports.
func lostRecords(d primrosespar.Decision) int {
	for _, f := range d.Figures {
		if f.Name == "lost" {
			return int(f.Value)
		}
	}
	return 0
}
