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
	// cordoned machines get no new work.
	cordoned
	// ordered machines have an order that is stored or out.
	ordered
	// down machines have accepted it and are not back yet.
	down
	// finished machines are back or have left.
	finished
)

// waveMachine is the maintenance of one machine of a wave.
type waveMachine struct {
	machine primrosespar.Machine
	phase   phase
	// since is when the phase began.
	since time.Time
	// drainingSince is when the rest of its work was stopped.
	drainingSince time.Time
	inFlight      bool
	// mayHaveStarted is set once an order had no answer, so that it may still be
	// carried out.
	mayHaveStarted bool
	retryAt        time.Time
	// missedLists counts the lists in a row that do not have the machine; a list
	// that changes between its pages may leave one out.
	missedLists int
}

// missedListsUntilGone is the number of lists without a machine that show it to be gone.
const missedListsUntilGone = 2

// wave is one request and how far it is.
type wave struct {
	number         int
	maxUnavailable int
	// deadline is when all machines should be through.
	deadline time.Time
	machines []*waveMachine
	// completionReported is set once the operator knows that the wave is completed, told
	// once it was told that it has begun.
	completionReported bool
	startReported      bool
	reportInFlight     bool
	reportRetryAt      time.Time
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
	// listedAt is when the list of machines was asked for.
	listedAt time.Time
}

// Record is what has to be stored of a wave.
type Record struct {
	Number int
	// Started are the machines whose order may have left, Finished those that are
	// through.
	Started  []primrosespar.Machine
	Finished []primrosespar.Machine
	// Deadline is when all machines should be through.
	Deadline time.Time
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
		stored := m.restored[w.Number]
		if m.waves[w.Number] != nil || stored.Completed {
			continue
		}
		added := &wave{number: w.Number, maxUnavailable: max(1, w.MaxUnavailable), deadline: now.Add(w.Window)}
		if !stored.Deadline.IsZero() && stored.Deadline.Before(added.deadline) {
			added.deadline = stored.Deadline
		}
		for _, machine := range w.Machines {
			wm := &waveMachine{machine: machine, since: now}
			switch {
			case slices.Contains(stored.Finished, machine):
				wm.phase = finished
			case slices.Contains(stored.Started, machine):
				wm.phase, wm.mayHaveStarted = ordered, true
			}
			added.machines = append(added.machines, wm)
		}
		m.waves[w.Number] = added
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
func (m *Maintainer) SetMachines(machines []primrosespar.MachineState, requestedAt time.Time) {
	m.listedAt = requestedAt
	m.machines = make(map[primrosespar.Machine]primrosespar.MachineState, len(machines))
	for _, state := range machines {
		m.machines[state.Machine] = state
	}
	for _, w := range m.waves {
		for _, wm := range w.machines {
			wm.missedLists++
			if _, known := m.machines[wm.machine]; known {
				wm.missedLists = 0
			}
		}
	}
}

// done reports whether all machines are through.
func (w *wave) done() bool {
	for _, wm := range w.machines {
		if wm.phase != finished {
			return false
		}
	}
	return true
}

// record returns what is to be stored of the wave.
func (w *wave) record() Record {
	r := Record{Number: w.number, Deadline: w.deadline, Completed: w.completionReported}
	for _, wm := range w.machines {
		switch wm.phase {
		case ordered, down:
			r.Started = append(r.Started, wm.machine)
		case finished:
			r.Finished = append(r.Finished, wm.machine)
		default:
		}
	}
	return r
}

// Plan decides on everything that changed since the last call.
func (m *Maintainer) Plan(fleet Fleet, now time.Time) Changes {
	changes := Changes{Cordoned: map[primrosespar.Worker]bool{}, Drain: map[primrosespar.Worker]bool{}}
	for _, number := range slices.Sorted(maps.Keys(m.waves)) {
		w := m.waves[number]
		if w.completionReported {
			continue
		}
		changed := m.finishMachines(w, &changes, now)
		if now.Sub(m.listedAt) < maxListAge {
			changed = m.startMachines(w, fleet, &changes, now) || changed
		}
		m.sendOrders(w, &changes, now)
		m.sendReports(w, &changes, now)
		if changed {
			changes.Records = append(changes.Records, w.record())
		}
	}
	return changes
}

// finishMachines ends the visits of machines that are back or gone.
func (m *Maintainer) finishMachines(w *wave, changes *Changes, now time.Time) bool {
	changed := false
	for _, wm := range w.machines {
		state, known := m.machines[wm.machine]
		gone := wm.missedLists >= missedListsUntilGone && !wm.inFlight
		back := wm.phase == down && known && state.Up && m.listedAt.After(wm.since)
		if wm.phase == finished || !gone && !back {
			continue
		}
		detail := "the machine is back"
		if gone {
			detail = "the machine has left"
		}
		wm.phase, wm.since, changed = finished, now, true
		changes.log("upkeep_over", w, wm, state.Worker, detail)
	}
	return changed
}

// startMachines closes the next machines and takes down those whose turn it is.
func (m *Maintainer) startMachines(w *wave, fleet Fleet, changes *Changes, now time.Time) bool {
	var candidates []*waveMachine
	unavailable := 0
	for _, wm := range w.machines {
		switch wm.phase {
		case ordered, down:
			unavailable++
		case pending, cordoned:
			if m.machines[wm.machine].Up && !now.Before(wm.retryAt) {
				candidates = append(candidates, wm)
			}
		default:
		}
	}
	slices.SortStableFunc(candidates, func(a, b *waveMachine) int {
		return cmp.Or(cmp.Compare(b.phase, a.phase), cmp.Compare(m.loss(a, fleet, now), m.loss(b, fleet, now)))
	})
	candidates = candidates[:min(len(candidates), w.maxUnavailable)]
	maxWait := w.maxDrainWait(now, m.opts.Downtime)
	changed := false
	for _, wm := range candidates {
		worker := m.machines[wm.machine].Worker
		if wm.phase == pending {
			wm.phase, wm.since, wm.drainingSince = cordoned, now, time.Time{}
		}
		changes.Cordoned[worker] = true
		drainTimedOut := !wm.drainingSince.IsZero() && now.Sub(wm.drainingSince) > drainTimeout
		switch {
		case unavailable >= w.maxUnavailable:
		case drainTimedOut && fleet.HasDisruptionLimit(worker):
			// Room that is kept free here is missing elsewhere.
			wm.phase, wm.since, wm.retryAt = pending, now, now.Add(deferralTime)
			changes.log("upkeep_deferred", w, wm, worker, "it has lasting tasks that must not stop now")
		case drainTimedOut, fleet.Idle(worker):
			wm.phase, wm.since, changed = ordered, now, true
			unavailable++
		case !wm.drainingSince.IsZero(), now.Sub(wm.since) >= maxWait:
			if wm.drainingSince.IsZero() {
				wm.drainingSince = now
			}
			changes.Drain[worker] = true
		}
	}
	return changed
}

// loss is the work that the visit would cost now.
func (m *Maintainer) loss(wm *waveMachine, fleet Fleet, now time.Time) float64 {
	return fleet.Loss(m.machines[wm.machine].Worker, now)
}

// maxWait is how long a machine may wait for its work to end: what is left of
// the window for each round, less what the round itself takes.
func (w *wave) maxDrainWait(now time.Time, downtime time.Duration) time.Duration {
	remaining := 0
	for _, wm := range w.machines {
		if wm.phase == pending || wm.phase == cordoned {
			remaining++
		}
	}
	rounds := (remaining + w.maxUnavailable - 1) / w.maxUnavailable
	if rounds == 0 {
		return 0
	}
	return max(0, w.deadline.Sub(now)/time.Duration(rounds)-downtime)
}

// sendOrders returns the orders that are due. What was begun stays closed, in case
// the order has no effect.
func (m *Maintainer) sendOrders(w *wave, changes *Changes, now time.Time) {
	for _, wm := range w.machines {
		if wm.phase != ordered {
			continue
		}
		worker := m.machines[wm.machine].Worker
		changes.Cordoned[worker], changes.Drain[worker] = true, true
		if wm.inFlight || now.Before(wm.retryAt) {
			continue
		}
		wm.inFlight = true
		changes.Orders = append(changes.Orders, Order{Wave: w.number, Machine: wm.machine})
		changes.log("upkeep_ordered", w, wm, worker, "")
	}
}

// sendReports tells the operator that the wave has begun or is completed.
func (m *Maintainer) sendReports(w *wave, changes *Changes, now time.Time) {
	if w.reportInFlight || now.Before(w.reportRetryAt) || w.startReported && !w.done() {
		return
	}
	w.reportInFlight = true
	changes.Reports = append(changes.Reports, Report{Wave: w.number, Completed: w.done()})
}

// HandleOrderResult takes the result of an order. An order without an answer may still
// be carried out, so it is repeated until it is answered.
func (m *Maintainer) HandleOrderResult(o Order, code primrosespar.Code, now time.Time) {
	w := m.waves[o.Wave]
	if w == nil {
		return
	}
	for _, wm := range w.machines {
		if wm.machine != o.Machine || wm.phase != ordered {
			continue
		}
		wm.inFlight, wm.retryAt = false, now.Add(retryDelay)
		switch code {
		case primrosespar.CodeOK:
			wm.phase, wm.since = down, now
		case primrosespar.CodeNotFound:
			wm.phase, wm.since = finished, now
		case primrosespar.CodeMachineBusy:
			if !wm.mayHaveStarted {
				wm.phase, wm.since = pending, now
			}
		default:
			wm.mayHaveStarted = true
		}
	}
}

// HandleReportResult takes the result of a report.
func (m *Maintainer) HandleReportResult(r Report, ok bool, now time.Time) (Record, bool) {
	w := m.waves[r.Wave]
	if w == nil {
		return Record{}, false
	}
	w.reportInFlight = false
	if !ok {
		w.reportRetryAt = now.Add(retryDelay)
		return Record{}, false
	}
	w.startReported = true
	if !r.Completed {
		return Record{}, false
	}
	w.completionReported = true
	return w.record(), true
}

// log adds a decision.
func (c *Changes) log(kind string, w *wave, wm *waveMachine, worker primrosespar.Worker, detail string) {
	c.Events = append(c.Events, Event{Kind: kind, Wave: w.number, Machine: wm.machine, Worker: worker, Detail: detail})
}
