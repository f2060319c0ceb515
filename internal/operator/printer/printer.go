// Package printer writes answers as tables for people or as JSON.
//
// # Usage
//
//	p := printer.New(os.Stdout, printer.JSON)
//	err := p.Jobs(answer)
package printer

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/contract/amender"
	"primrosespar.example/primrosespar/internal/operator/caller"
)

// Format is how answers are written.
type Format string

// Formats.
const (
	Tables Format = "table"
	JSON   Format = "json"
)

// Printer writes answers.
type Printer struct {
	out    io.Writer
	format Format
}

// New returns a Printer.
func New(out io.Writer, format Format) *Printer {
	return &Printer{out: out, format: format}
}

// print writes the answer as JSON or through the function as a table.
func (p *Printer) print(answer any, table func(w io.Writer)) error {
	if p.format == JSON {
		encoder := json.NewEncoder(p.out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(answer)
	}
	w := tabwriter.NewWriter(p.out, 0, 0, 2, ' ', 0)
	table(w)
	return w.Flush()
}

// line writes one row of a table.
func line(w io.Writer, cells ...any) {
	texts := make([]string, len(cells))
	for i, cell := range cells {
		texts[i] = fmt.Sprint(cell)
	}
	_, _ = fmt.Fprintln(w, strings.Join(texts, "\t"))
}

// Text writes a text, or as JSON the answer that holds it.
func (p *Printer) Text(answer any, text string) error {
	return p.print(answer, func(w io.Writer) { _, _ = io.WriteString(w, text) })
}

// Contract writes a contract with its progress.
func (p *Printer) Contract(a caller.ContractAnswer) error {
	return p.print(a, func(w io.Writer) {
		line(w, "ACCOUNT", "VERSION", "REVISION", "STATE")
		if a.Pending != nil {
			line(w, a.Account, a.Pending.Version, a.Pending.Revision, state(a.Pending.State, a.Pending.Deleted))
		} else {
			line(w, a.Account, a.Version, a.Revision, state(a.State, a.Deleted))
		}
		if len(a.Places) > 0 {
			line(w)
			line(w, "PLACE", "STATE", "REVISION")
		}
		for _, place := range a.Places {
			line(w, place.Place, place.State, place.Revision)
		}
		if a.Document != "" {
			line(w)
			if a.Pending != nil {
				line(w, "The document in force:")
				line(w)
			}
			_, _ = io.WriteString(w, a.Document)
		}
	})
}

// state names the state of a version, and whether it ends the contract.
func state(s amender.State, deleted bool) string {
	if deleted {
		return string(s) + ", ended"
	}
	return string(s)
}

// History writes the amendments of a contract.
func (p *Printer) History(a caller.HistoryAnswer) error {
	return p.print(a, func(w io.Writer) {
		line(w, "REVISION", "VERSION", "STATE", "DELETED", "AUTHOR", "AT", "AMENDMENT")
		for _, e := range a.Entries {
			line(w, e.Revision, e.Version, e.State, e.Deleted, e.Author, e.At.Format(time.RFC3339), e.AmendmentID)
		}
	})
}

// Check writes the result of a check.
func (p *Printer) Check(a caller.CheckAnswer) error {
	return p.print(a, func(w io.Writer) {
		line(w, a.Code.String())
		for _, f := range a.Faults {
			line(w, f.String())
		}
		for _, s := range a.Shortfalls {
			line(w, s.String())
		}
		if a.LowersOffline {
			line(w, "lowers an offline share: stays pending until all places have acknowledged it")
		}
	})
}

// Jobs writes a list of jobs.
func (p *Printer) Jobs(a caller.JobsAnswer) error {
	return p.print(a, func(w io.Writer) { jobs(w, a.Jobs...) })
}

// Job writes one job with its accelerators.
func (p *Printer) Job(a caller.JobAnswer) error {
	return p.print(a, func(w io.Writer) {
		jobs(w, a)
		if len(a.Slices) == 0 {
			return
		}
		line(w)
		line(w, "MEMBER", "WORKER", "ACCELERATORS")
		for _, s := range a.Slices {
			line(w, s.Member, s.Worker, fmt.Sprintf("%d-%d", s.First, s.First+s.Count-1))
		}
	})
}

// jobs writes one row for each job.
func jobs(w io.Writer, list ...caller.JobAnswer) {
	line(w, "ID", "ACCOUNT", "CLASS", "PLACE", "SHAPE", "STATE", "REASON", "ATTEMPT", "PREEMPTIONS", "SUBMITTED")
	for _, j := range list {
		line(w, j.ID, j.Account, j.Class, j.Place, fmt.Sprintf("%dx%d", j.Shape.Members, j.Shape.Block),
			j.State, j.Reason, j.Attempt, j.Preemptions, j.Submitted.Format(time.RFC3339))
	}
}

// Status writes the state of a place.
func (p *Printer) Status(a caller.StatusAnswer) error {
	return p.print(a, func(w io.Writer) {
		line(w, "PLACE", "HOST", "REVISION", "VIEW AGE", "RESTRICTED", "HOLDER")
		line(w, a.Place, a.Host, a.Revision, time.Duration(a.ViewAge).Round(time.Millisecond), a.Restricted, a.Holder)
		if s := a.State; s != nil {
			placeState(w, *s)
		}
		line(w)
		line(w, "HOST", "ALIVE", "DRAINING", "REVISION")
		for _, h := range a.Hosts {
			line(w, h.Host, h.Alive, h.Draining, h.Revision)
		}
		line(w)
		line(w, "UPSTREAM", "SLOTS", "USED", "LEAVING", "EJECTED")
		for _, u := range a.Upstreams {
			line(w, u.Upstream, u.Slots, u.Used, u.Leaving, u.Ejected)
		}
	})
}

// placeState writes accelerators and guarantees.
func placeState(w io.Writer, s primrosespar.PlaceState) {
	line(w)
	line(w, "ACCELERATORS", "FREE", "BORROWED", "LARGEST BLOCK", "QUEUED", "RUNNING", "QUARANTINED")
	line(w, s.Accelerators, s.Free, s.Borrowed, s.LargestBlock, s.Queued, s.Running, s.Quarantined)
	line(w)
	line(w, "GUARANTEE OF", "BLOCK", "COUNT", "CLAIMED", "CLAIMABLE")
	for _, g := range s.Guarantees {
		line(w, g.Account, g.Block, g.Count, g.Claimed, g.Claimable)
	}
}

// Codes writes the table of result codes.
func (p *Printer) Codes() error {
	return p.print(primrosespar.Codes(), func(w io.Writer) {
		line(w, "CODE", "NAME", "HTTP", "EXIT", "MEANING")
		for _, c := range primrosespar.Codes() {
			line(w, int(c.Code), c.Name, c.HTTP, c.Exit, c.Meaning)
		}
	})
}

// CodesManual returns docs/codes.md.
func CodesManual() string {
	var b strings.Builder
	b.WriteString("# Result codes\n\nGenerated from the code; do not edit. " +
		"HTTP 0 means that no answer carries the code. Exit is the exit code of the command line.\n\n" +
		"| code | name | HTTP | exit | meaning |\n|---|---|---|---|---|\n")
	for _, c := range primrosespar.Codes() {
		fmt.Fprintf(&b, "| %d | `%s` | %d | %d | %s |\n", c.Code, c.Name, c.HTTP, c.Exit, c.Meaning)
	}
	return b.String()
}
