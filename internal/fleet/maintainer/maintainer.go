// Package maintainer decides when the machines of a wave of maintenance are taken
// down. It does no input or output: the caller feeds it the requested waves, the
// list of machines and the results of orders, and carries out what it returns.
//
// # Usage
//
//	m := maintainer.New(maintainer.WithDowntime(3*time.Second))
//	m.SetWaves(waves, now)
//	m.SetMachines(machines, asked)
//	changes := m.Plan(fleet, now)
//	// store changes.Records; then send changes.Orders
//	m.Ordered(order, code, now)
//	m.Reported(report, ok, now)
//
// A machine counts as down from before its order leaves, because an order
// without an answer may be carried out late, until a list that was asked for
// after the answer shows it up. The next machines of a wave get no new work
// while they wait, so that little is lost when their turn comes.
package maintainer

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"primrosespar.example/primrosespar"
)

// phase is how far a machine of a wave has come.
type phase uint8

const (
	// pending machines have not been looked at.
	pending phase = iota
	// closing machines get no new work.
	closing
	// ordered machines have an order that is stored or out.
	ordered
	// down machines have accepted it and are not back yet.
	down
	// over machines are back or have left.
	over
)

// visit is the maintenance of one machine of a wave.
type visit struct {
	machine primrosespar.Machine
	phase   phase
	// since is when the phase began.
	since time.Time
	// vacating is when the rest of its work was stopped.
	vacating time.Time
	inFlight bool
	// unanswered is set once an order had no answer, so that it may still be
	// carried out.
	unanswered bool
	retryAt    time.Time
	// missing counts the lists in a row that do not have the machine; a list
	// that changes between its pages may leave one out.
	missing int
}

// leftAfter is the number of lists without a machine that show it to be gone.
const leftAfter = 2

// wave is one request and how far it is.
type wave struct {
	number int
	most   int
	// end is when all machines should be through.
	end    time.Time
	visits []*visit
	// reported is set once the operator knows that the wave is completed, told
	// once it was told that it has begun.
	reported  bool
	told      bool
	reporting bool
	retryAt   time.Time
}

// Fleet is what the maintainer asks about the workers.
type Fleet interface {
	// Idle reports whether nothing runs on the worker.
	Idle(worker primrosespar.Worker) bool
	// HasDisruptionLimit reports whether the worker has long-running tasks of a step that bounds
	// how many may be away.
	HasDisruptionLimit(worker primrosespar.Worker) bool
	// Loss is the work in core-seconds that a stop of all runs would lose.
	Loss(worker primrosespar.Worker, now time.Time) float64
}

// Maintainer is the state of one holder. It is not safe for concurrent use.
type Maintainer struct {
	opts     Options
	waves    map[int]*wave
	restored map[int]Record
	machines map[primrosespar.Machine]primrosespar.MachineState
	// listed is when the list of machines was asked for.
	listed time.Time
}

// Record is what has to be stored of a wave.
type Record struct {
	Number int
	// Started are the machines whose order may have left, Finished those that are
	// through.
	Started  []primrosespar.Machine
	Finished []primrosespar.Machine
	// End is when all machines should be through.
	End time.Time
	// Completed is set once the operator was told so.
	Completed bool
}

// Order is one maintenance to begin.
type Order struct {
	Wave    int
	Machine primrosespar.Machine
}

// Report is what the operator has to be told of a wave.
type Report struct {
	Wave      int
	Completed bool
}

// Event is one decision for the log.
type Event struct {
	Kind    string
	Wave    int
	Machine primrosespar.Machine
	Worker  primrosespar.Worker
	Detail  string
}

// Changes are what a caller of Plan has to carry out.
type Changes struct {
	// Cordoned are the workers that get no new work but long-running tasks that fit
	// nowhere else; Drain those of them whose runs have to stop now.
	Cordoned map[primrosespar.Worker]bool
	Drain    map[primrosespar.Worker]bool
	// Records are stored before Orders are sent and Reports with Completed are
	// made.
	Records []Record
	Orders  []Order
	Reports []Report
	Events  []Event
}

// New returns a Maintainer without waves.
func New(opts ...Option) *Maintainer {
	o := Options{Downtime: DefaultDowntime}
	for _, opt := range opts {
		opt(&o)
	}
	return &Maintainer{opts: o, waves: map[int]*wave{}, restored: map[int]Record{}}
}

// Restore takes over what an earlier holder stored. It is called before the
// first SetWaves.
func (m *Maintainer) Restore(r Record) { m.restored[r.Number] = r }

// SetWaves takes the requested waves.
func (m *Maintainer) SetWaves(waves []primrosespar.Wave, now time.Time) {
	for _, w := range waves {
		earlier := m.restored[w.Number]
		if m.waves[w.Number] != nil || earlier.Completed {
			continue
		}
		next := &wave{number: w.Number, most: max(1, w.MaxUnavailable), end: now.Add(w.Window)}
		if !earlier.End.IsZero() && earlier.End.Before(next.end) {
			next.end = earlier.End
		}
		for _, machine := range w.Machines {
			v := &visit{machine: machine, since: now}
			switch {
			case slices.Contains(earlier.Finished, machine):
				v.phase = over
			case slices.Contains(earlier.Started, machine):
				v.phase, v.unanswered = ordered, true
			}
			next.visits = append(next.visits, v)
		}
		m.waves[w.Number] = next
	}
}

// Active reports whether any wave still needs the list of machines.
func (m *Maintainer) Active() bool {
	for _, w := range m.waves {
		if !w.done() {
			return true
		}
	}
	return false
}

// SetMachines takes a list of machines that was asked for at the time.
func (m *Maintainer) SetMachines(machines []primrosespar.MachineState, asked time.Time) {
	m.listed = asked
	m.machines = make(map[primrosespar.Machine]primrosespar.MachineState, len(machines))
	for _, state := range machines {
		m.machines[state.Machine] = state
	}
	for _, w := range m.waves {
		for _, v := range w.visits {
			v.missing++
			if _, known := m.machines[v.machine]; known {
				v.missing = 0
			}
		}
	}
}

// done reports whether all machines are through.
func (w *wave) done() bool {
	for _, v := range w.visits {
		if v.phase != over {
			return false
		}
	}
	return true
}

// record returns what is to be stored of the wave.
func (w *wave) record() Record {
	r := Record{Number: w.number, End: w.end, Completed: w.reported}
	for _, v := range w.visits {
		switch v.phase {
		case ordered, down:
			r.Started = append(r.Started, v.machine)
		case over:
			r.Finished = append(r.Finished, v.machine)
		default:
		}
	}
	return r
}

// Plan decides on everything that changed since the last call.
func (m *Maintainer) Plan(fleet Fleet, now time.Time) Changes {
	c := Changes{Cordoned: map[primrosespar.Worker]bool{}, Drain: map[primrosespar.Worker]bool{}}
	for _, number := range slices.Sorted(maps.Keys(m.waves)) {
		w := m.waves[number]
		if w.reported {
			continue
		}
		changed := m.settle(w, &c, now)
		if now.Sub(m.listed) < listAge {
			changed = m.advance(w, fleet, &c, now) || changed
		}
		m.send(w, &c, now)
		m.report(w, &c, now)
		if changed {
			c.Records = append(c.Records, w.record())
		}
	}
	return c
}

// settle ends the visits of machines that are back or gone.
func (m *Maintainer) settle(w *wave, c *Changes, now time.Time) bool {
	changed := false
	for _, v := range w.visits {
		state, known := m.machines[v.machine]
		gone := v.missing >= leftAfter && !v.inFlight
		back := v.phase == down && known && state.Up && m.listed.After(v.since)
		if v.phase == over || !gone && !back {
			continue
		}
		detail := "the machine is back"
		if gone {
			detail = "the machine has left"
		}
		v.phase, v.since, changed = over, now, true
		c.log("upkeep_over", w, v, state.Worker, detail)
	}
	return changed
}

// advance closes the next machines and takes down those whose turn it is.
func (m *Maintainer) advance(w *wave, fleet Fleet, c *Changes, now time.Time) bool {
	var open []*visit
	away := 0
	for _, v := range w.visits {
		switch v.phase {
		case ordered, down:
			away++
		case pending, closing:
			if m.machines[v.machine].Up && !now.Before(v.retryAt) {
				open = append(open, v)
			}
		default:
		}
	}
	slices.SortStableFunc(open, func(a, b *visit) int {
		return cmp.Or(cmp.Compare(b.phase, a.phase), cmp.Compare(m.loss(a, fleet, now), m.loss(b, fleet, now)))
	})
	open = open[:min(len(open), w.most)]
	patience := w.patience(now, m.opts.Downtime)
	changed := false
	for _, v := range open {
		worker := m.machines[v.machine].Worker
		if v.phase == pending {
			v.phase, v.since, v.vacating = closing, now, time.Time{}
		}
		c.Cordoned[worker] = true
		vacated := !v.vacating.IsZero() && now.Sub(v.vacating) > vacateTime
		switch {
		case away >= w.most:
		case vacated && fleet.HasDisruptionLimit(worker):
			// Room that is kept free here is missing elsewhere.
			v.phase, v.since, v.retryAt = pending, now, now.Add(deferTime)
			c.log("upkeep_deferred", w, v, worker, "it has lasting tasks that must not stop now")
		case vacated, fleet.Idle(worker):
			v.phase, v.since, changed = ordered, now, true
			away++
		case !v.vacating.IsZero(), now.Sub(v.since) >= patience:
			if v.vacating.IsZero() {
				v.vacating = now
			}
			c.Drain[worker] = true
		}
	}
	return changed
}

// loss is the work that the visit would cost now.
func (m *Maintainer) loss(v *visit, fleet Fleet, now time.Time) float64 {
	return fleet.Loss(m.machines[v.machine].Worker, now)
}

// patience is how long a machine may wait for its work to end: what is left of
// the window for each round, less what the round itself takes.
func (w *wave) patience(now time.Time, round time.Duration) time.Duration {
	left := 0
	for _, v := range w.visits {
		if v.phase == pending || v.phase == closing {
			left++
		}
	}
	rounds := (left + w.most - 1) / w.most
	if rounds == 0 {
		return 0
	}
	return max(0, w.end.Sub(now)/time.Duration(rounds)-round)
}

// send returns the orders that are due. What was begun stays closed, in case
// the order has no effect.
func (m *Maintainer) send(w *wave, c *Changes, now time.Time) {
	for _, v := range w.visits {
		if v.phase != ordered {
			continue
		}
		worker := m.machines[v.machine].Worker
		c.Cordoned[worker], c.Drain[worker] = true, true
		if v.inFlight || now.Before(v.retryAt) {
			continue
		}
		v.inFlight = true
		c.Orders = append(c.Orders, Order{Wave: w.number, Machine: v.machine})
		c.log("upkeep_ordered", w, v, worker, "")
	}
}

// report tells the operator that the wave has begun or is completed.
func (m *Maintainer) report(w *wave, c *Changes, now time.Time) {
	if w.reporting || now.Before(w.retryAt) || w.told && !w.done() {
		return
	}
	w.reporting = true
	c.Reports = append(c.Reports, Report{Wave: w.number, Completed: w.done()})
}

// Ordered takes the result of an order. An order without an answer may still
// be carried out, so it is repeated until it is answered.
func (m *Maintainer) Ordered(o Order, code primrosespar.Code, now time.Time) {
	w := m.waves[o.Wave]
	if w == nil {
		return
	}
	for _, v := range w.visits {
		if v.machine != o.Machine || v.phase != ordered {
			continue
		}
		v.inFlight, v.retryAt = false, now.Add(retryDelay)
		switch code {
		case primrosespar.CodeOK:
			v.phase, v.since = down, now
		case primrosespar.CodeNotFound:
			v.phase, v.since = over, now
		case primrosespar.CodeMachineBusy:
			if !v.unanswered {
				v.phase, v.since = pending, now
			}
		default:
			v.unanswered = true
		}
	}
}

// Reported takes the result of a report.
func (m *Maintainer) Reported(r Report, ok bool, now time.Time) (Record, bool) {
	w := m.waves[r.Wave]
	if w == nil {
		return Record{}, false
	}
	w.reporting = false
	if !ok {
		w.retryAt = now.Add(retryDelay)
		return Record{}, false
	}
	w.told = true
	if !r.Completed {
		return Record{}, false
	}
	w.reported = true
	return w.record(), true
}

// log adds a decision.
func (c *Changes) log(kind string, w *wave, v *visit, worker primrosespar.Worker, detail string) {
	c.Events = append(c.Events, Event{Kind: kind, Wave: w.number, Machine: v.machine, Worker: worker, Detail: detail})
}
