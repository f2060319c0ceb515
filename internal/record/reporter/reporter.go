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

// clockFormat is the time of day in stories.
const clockFormat = "15:04:05.000"

// order sorts by time, and within a host by sequence.
func order(decisions []primrosespar.Decision) []primrosespar.Decision {
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
	var own []primrosespar.Decision
	for _, d := range order(decisions) {
		if d.Subject == id {
			own = append(own, d)
		}
	}
	if len(own) == 0 {
		b.WriteString("  There is no record of it in this period. Hosts write their records every 10 s.\n")
	}
	day := ""
	for _, d := range own {
		if now := d.At.UTC().Format(time.DateOnly); now != day {
			day = now
			b.WriteString(day + "\n")
		}
		b.WriteString("  " + sentence(d) + "\n")
	}
	if n := lostBetween(own, decisions); n > 0 {
		fmt.Fprintf(&b, "  %d records of these hosts were lost in this time; the story may have gaps.\n", n)
	}
	return b.String()
}

// sentence tells one decision with its details.
func sentence(d primrosespar.Decision) string {
	text := fmt.Sprintf("%s %s on host %s in %s: %s: %s", d.At.UTC().Format(clockFormat),
		what(d.Kind), d.Host, d.Place, d.Code, d.Code.Info().Meaning)
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

// what names a kind of decision in a sentence.
func what(kind primrosespar.DecisionKind) string {
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

// lostBetween counts the records that the hosts of the story lost between its
// first and last record.
func lostBetween(own, all []primrosespar.Decision) int {
	if len(own) == 0 {
		return 0
	}
	type source struct {
		place primrosespar.Place
		host  primrosespar.Host
	}
	sources := map[source]bool{}
	for _, d := range own {
		sources[source{d.Place, d.Host}] = true
	}
	lost := 0
	for _, d := range all {
		// A loss is recorded with the batch after it.
		if d.Kind == primrosespar.DecisionLoss && sources[source{d.Place, d.Host}] && !d.At.Before(own[0].At) {
			lost += lostIn(d)
		}
	}
	return lost
}

// lostIn returns how many records a loss stands for.
func lostIn(d primrosespar.Decision) int {
	for _, f := range d.Figures {
		if f.Name == "lost" {
			return int(f.Value)
		}
	}
	return 0
}
