package reporter

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"primrosespar.example/primrosespar"
)

const (
	// maxRows bounds the rows of one timeline.
	maxRows = 200
	// mergeWindow is the time within which equal decisions share a row.
	mergeWindow = time.Minute
)

// Reporter writes incident reports. A report shows no subject, detail, figure
// or internal name, because those may tell of another account.
type Reporter struct {
	publicNames map[primrosespar.Account]string
}

// New takes the public names of the accounts.
func New(publicNames map[primrosespar.Account]string) *Reporter {
	return &Reporter{publicNames: publicNames}
}

// Incident returns the report of a period in Markdown. The general section
// has only decisions that belong to no account.
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
	b.WriteString("Each client account has a section under its public name. It says what was answered, what did not run and what may have run, then the results and a timeline. A row gives the first and the last of equal events, where they happened, and how often. Clocks of hosts may differ by some milliseconds.\n")
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

// sections orders the accounts by public name. An account without one, or
// with one that another account has, gets a number, so that no section holds
// two accounts.
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

// writeCompleteness says whether records are missing.
func writeCompleteness(b *strings.Builder, general []primrosespar.Decision, missing bool) {
	lost := 0
	for _, d := range general {
		if d.Kind == primrosespar.DecisionLoss {
			lost += lostRecords(d)
		}
	}
	switch {
	case missing:
		fmt.Fprintf(b, "\nSome stored records could not be read or were left out, and at least %d were never stored. The counts are lower bounds.\n", lost)
	case lost > 0:
		fmt.Fprintf(b, "\n%d records were never stored, because the store was away or too slow. The counts are lower bounds.\n", lost)
	default:
		b.WriteString("\nNo loss of records is known for this period.\n")
	}
}

// row is one line of a timeline.
type row struct {
	first, last time.Time
	sample      primrosespar.Decision
	count       int
}

// writeTimeline writes a table in which equal decisions within a minute share a row.
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
			fmt.Fprintf(b, "\n%d more rows are left out.\n", len(rows)-maxRows)
			return
		}
		fmt.Fprintf(b, "| %s | %s | %s | %s | %s | %s | %d |\n", formatTime(current.first), formatTime(current.last),
			escape(string(current.sample.Place)), escape(string(current.sample.Class)), eventText(current.sample), current.sample.Code, current.count)
	}
}

// formatTime writes a time to the second.
func formatTime(t time.Time) string { return t.UTC().Format("2006-01-02 15:04:05") }

// timesText writes a count in words.
func timesText(n int) string {
	if n == 1 {
		return "once"
	}
	return fmt.Sprintf("%d times", n)
}

// escape keeps a name from being read as Markdown.
func escape(text string) string {
	return strings.NewReplacer("\\", "\\\\", "|", "\\|", "*", "\\*", "_", "\\_", "#", "\\#",
		"<", "\\<", "[", "\\[", "`", "\\`", "\n", " ").Replace(text)
}
