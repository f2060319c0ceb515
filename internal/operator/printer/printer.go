// Package printer writes the results of operator commands as tables or as JSON.
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

// Format is an output format.
type Format string

// Output formats.
const (
	Tables Format = "table"
	JSON   Format = "json"
)

// Printer writes results in one format.
type Printer struct {
	out    io.Writer
	format Format
}

// New returns a Printer that writes to out.
func New(out io.Writer, format Format) *Printer {
	return &Printer{out: out, format: format}
}

// print writes the answer as JSON or calls the function to write it as a table.
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

// writeRow writes one row of a table, with tabs between the cells.
func writeRow(w io.Writer, cells ...any) {
	texts := make([]string, len(cells))
	for i, cell := range cells {
		texts[i] = fmt.Sprint(cell)
	}
	_, _ = fmt.Fprintln(w, strings.Join(texts, "\t"))
}

// Text writes the text as it is, or the answer if the format is JSON.
func (p *Printer) Text(answer any, text string) error {
	return p.print(answer, func(w io.Writer) { _, _ = io.WriteString(w, text) })
}

// Contract writes a contract and the progress of its amendment at the places.
func (p *Printer) Contract(a caller.ContractAnswer) error {
	return p.print(a, func(w io.Writer) {
		writeRow(w, "ACCOUNT", "VERSION", "REVISION", "STATE")
		if a.Pending != nil {
			writeRow(w, a.Account, a.Pending.Version, a.Pending.Revision, stateText(a.Pending.State, a.Pending.Deleted))
		} else {
			writeRow(w, a.Account, a.Version, a.Revision, stateText(a.State, a.Deleted))
		}
		if len(a.Places) > 0 {
			writeRow(w)
			writeRow(w, "PLACE", "STATE", "REVISION")
		}
		for _, place := range a.Places {
			writeRow(w, place.Place, place.State, place.Revision)
		}
		if a.Document != "" {
			writeRow(w)
			if a.Pending != nil {
				writeRow(w, "The document in force:")
				writeRow(w)
			}
			_, _ = io.WriteString(w, a.Document)
		}
	})
}

// stateText returns the state of a contract version, and whether that version
// ended the contract.
func stateText(s amender.State, deleted bool) string {
	if deleted {
		return string(s) + ", ended"
	}
	return string(s)
}

// History writes the amendments of a contract.
func (p *Printer) History(a caller.HistoryAnswer) error {
	return p.print(a, func(w io.Writer) {
		writeRow(w, "REVISION", "VERSION", "STATE", "DELETED", "AUTHOR", "AT", "AMENDMENT")
		for _, e := range a.Entries {
			writeRow(w, e.Revision, e.Version, e.State, e.Deleted, e.Author, e.At.Format(time.RFC3339), e.AmendmentID)
		}
	})
}

// Check writes the result of checking a contract document.
func (p *Printer) Check(a caller.CheckAnswer) error {
	return p.print(a, func(w io.Writer) {
		writeRow(w, a.Code.String())
		for _, f := range a.FieldErrors {
			writeRow(w, f.String())
		}
		for _, s := range a.Shortfalls {
			writeRow(w, s.String())
		}
		if a.LowersOffline {
			writeRow(w, "lowers offline terms: stays pending until all places have acknowledged it")
		}
	})
}

// Jobs writes a list of jobs.
func (p *Printer) Jobs(a caller.JobsAnswer) error {
	return p.print(a, func(w io.Writer) { writeJobs(w, a.Jobs...) })
}

// Job writes one job and the accelerators of its members.
func (p *Printer) Job(a caller.JobAnswer) error {
	return p.print(a, func(w io.Writer) {
		writeJobs(w, a)
		if len(a.Slices) == 0 {
			return
		}
		writeRow(w)
		writeRow(w, "MEMBER", "WORKER", "ACCELERATORS")
		for _, s := range a.Slices {
			writeRow(w, s.Member, s.Worker, fmt.Sprintf("%d-%d", s.First, s.First+s.Count-1))
		}
	})
}

// writeJobs writes a table with one row per job.
func writeJobs(w io.Writer, jobs ...caller.JobAnswer) {
	writeRow(w, "ID", "ACCOUNT", "CLASS", "PLACE", "SHAPE", "STATE", "REASON", "ATTEMPT", "PREEMPTIONS", "SUBMITTED")
	for _, j := range jobs {
		writeRow(w, j.ID, j.Account, j.Class, j.Place, fmt.Sprintf("%dx%d", j.Shape.Members, j.Shape.Block),
			j.State, j.Reason, j.Attempt, j.Preemptions, j.Submitted.Format(time.RFC3339))
	}
}

// Status writes the state of a place, its hosts and its upstreams.
func (p *Printer) Status(a caller.StatusAnswer) error {
	return p.print(a, func(w io.Writer) {
		writeRow(w, "PLACE", "HOST", "REVISION", "VIEW AGE", "RESTRICTED", "HOLDER")
		writeRow(w, a.Place, a.Host, a.Revision, time.Duration(a.ViewAge).Round(time.Millisecond), a.Restricted, a.Holder)
		if state := a.State; state != nil {
			writePlaceState(w, *state)
		}
		writeRow(w)
		writeRow(w, "HOST", "ALIVE", "DRAINING", "REVISION")
		for _, h := range a.Hosts {
			writeRow(w, h.Host, h.Alive, h.Draining, h.Revision)
		}
		writeRow(w)
		writeRow(w, "UPSTREAM", "SLOTS", "USED", "LEAVING", "EJECTED")
		for _, u := range a.Upstreams {
			writeRow(w, u.Upstream, u.Slots, u.Used, u.Leaving, u.Ejected)
		}
	})
}

// writePlaceState writes the accelerators of a place and the guarantees.
func writePlaceState(w io.Writer, s primrosespar.PlaceState) {
	writeRow(w)
	writeRow(w, "ACCELERATORS", "FREE", "BORROWED", "LARGEST BLOCK", "QUEUED", "RUNNING", "QUARANTINED")
	writeRow(w, s.Accelerators, s.Free, s.Borrowed, s.LargestBlock, s.Queued, s.Running, s.Quarantined)
	writeRow(w)
	writeRow(w, "GUARANTEE OF", "BLOCK", "COUNT", "CLAIMED", "CLAIMABLE")
	for _, g := range s.Guarantees {
		writeRow(w, g.Account, g.Block, g.Count, g.Claimed, g.Claimable)
	}
}

// Codes writes the table of result codes.
func (p *Printer) Codes() error {
	return p.print(primrosespar.Codes(), func(w io.Writer) {
		writeRow(w, "CODE", "NAME", "HTTP", "EXIT", "MEANING")
		for _, c := range primrosespar.Codes() {
			writeRow(w, int(c.Code), c.Name, c.HTTP, c.Exit, c.Meaning)
		}
	})
}

// CodesManual returns the content of docs/codes.md.
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
