package reporter

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"primrosespar.example/primrosespar"
)

const (
	// maxRows limits the rows of one timeline.
	maxRows = 200
	// mergeWindow is the time after the first decision of a row during which
	// equal decisions are added to that row.
	mergeWindow = time.Minute
)

// Reporter writes incident reports. Reports are public, so they show no
// subject, detail, figure or internal name, because these may reveal something
// about another account.
type Reporter struct {
	publicNames map[primrosespar.Account]string
}

// New returns a Reporter with the public names of the accounts.
func New(publicNames map[primrosespar.Account]string) *Reporter {
	return &Reporter{publicNames: publicNames}
}

// Incident returns the report of a period in Markdown. The section about the
// whole system contains only decisions without an account. Set missing if
// decisions could not be read.
func (r *Reporter) Incident(from, to time.Time, decisions []primrosespar.Decision, missing bool) string {
	var general []primrosespar.Decision
	accounts := map[primrosespar.Account][]primrosespar.Decision{}
	for _, d := range sortDecisions(decisions) {
		switch {
		case d.At.Before(from) || !d.At.Before(to):
		case d.Account == "":
			general = append(general, d)
		default:
			accounts[d.Account] = append(accounts[d.Account], d)
		}
	}
	var b strings.Builder
	fmt.Fprintf(&b, "# Incident report\n\nPeriod: %s to %s (UTC), %s.\n\n", formatTime(from), formatTime(to), to.Sub(from).Round(time.Second))
	b.WriteString("Each client account has a section under its public name. It lists how many requests were answered, did not run or may have run, then the results and a timeline. A row of the timeline groups equal events and shows the first and the last time, the place and the count. Clocks of hosts may differ by some milliseconds.\n")
	writeCompleteness(&b, general, missing)
	b.WriteString("\n## The system as a whole\n\n")
	writeSection(&b, general)
	for _, s := range r.sections(accounts) {
		fmt.Fprintf(&b, "\n## %s\n\n", escape(s.title))
		writeSection(&b, s.decisions)
	}
	return b.String()
}

// accountSection is the part of a report about one account.
type accountSection struct {
	title     string
	account   primrosespar.Account
	decisions []primrosespar.Decision
}

// sections returns one section per account, sorted by public name. Missing or
// duplicate names are numbered, so that no two accounts share a section.
func (r *Reporter) sections(accounts map[primrosespar.Account][]primrosespar.Decision) []accountSection {
	var sections []accountSection
	for account, decisions := range accounts {
		sections = append(sections, accountSection{r.publicNames[account], account, decisions})
	}
	sort.Slice(sections, func(i, j int) bool {
		if sections[i].title != sections[j].title {
			return sections[i].title < sections[j].title
		}
		return sections[i].account < sections[j].account
	})
	used := map[string]bool{}
	for i := range sections {
		title := sections[i].title
		if title == "" {
			title = "Account without a public name"
		}
		sections[i].title = title
		for n := 2; used[sections[i].title]; n++ {
			sections[i].title = fmt.Sprintf("%s (%d)", title, n)
		}
		used[sections[i].title] = true
	}
	return sections
}

// writeCompleteness states whether decision records are missing.
func writeCompleteness(b *strings.Builder, general []primrosespar.Decision, missing bool) {
	lost := 0
	for _, d := range general {
		if d.Kind == primrosespar.DecisionLoss {
			lost += lostRecords(d)
		}
	}
	switch {
	case missing:
		fmt.Fprintf(b, "\nSome stored records could not be read or were omitted, and at least %d were never stored. The counts are lower bounds.\n", lost)
	case lost > 0:
		fmt.Fprintf(b, "\n%d records were never stored, because the store was unavailable or too slow. The counts are lower bounds.\n", lost)
	default:
		b.WriteString("\nNo loss of records is known for this period.\n")
	}
}

// row is one row of a timeline: count equal decisions, of which sample is the
// first.
type row struct {
	first, last time.Time
	sample      primrosespar.Decision
	count       int
}

// writeTimeline writes a table of the decisions. Equal decisions within
// mergeWindow share a row.
func writeTimeline(b *strings.Builder, decisions []primrosespar.Decision) {
	type key struct {
		kind  primrosespar.DecisionKind
		code  primrosespar.Code
		place primrosespar.Place
		class primrosespar.Class
	}
	var rows []*row
	openRows := map[key]*row{}
	for _, d := range decisions {
		if !isReported(d) {
			continue
		}
		k := key{d.Kind, d.Code, d.Place, d.Class}
		if current := openRows[k]; current != nil && d.At.Sub(current.first) < mergeWindow {
			current.last = d.At
			current.count++
			continue
		}
		openRows[k] = &row{first: d.At, last: d.At, sample: d, count: 1}
		rows = append(rows, openRows[k])
	}
	b.WriteString("\n| from | to | place | class | what | result | count |\n|---|---|---|---|---|---|---|\n")
	for i, current := range rows {
		if i == maxRows {
			fmt.Fprintf(b, "\n%d more rows are omitted.\n", len(rows)-maxRows)
			return
		}
		fmt.Fprintf(b, "| %s | %s | %s | %s | %s | %s | %d |\n", formatTime(current.first), formatTime(current.last),
			escape(string(current.sample.Place)), escape(string(current.sample.Class)), eventText(current.sample), current.sample.Code, current.count)
	}
}

// formatTime formats a time in UTC to the second.
func formatTime(t time.Time) string { return t.UTC().Format("2006-01-02 15:04:05") }

// timesText returns "once" or "n times".
func timesText(n int) string {
	if n == 1 {
		return "once"
	}
	return fmt.Sprintf("%d times", n)
}

// escape escapes the Markdown syntax in a name.
func escape(text string) string {
	return strings.NewReplacer("\\", "\\\\", "|", "\\|", "*", "\\*", "_", "\\_", "#", "\\#",
		"<", "\\<", "[", "\\[", "`", "\\`", "\n", " ").Replace(text)
}
