// Package maintainer decides when the machines of a maintenance wave are taken
// down. It does no I/O: the caller passes in the requested waves, the list of
// machines and the results of orders, and carries out the returned changes.
//
// # Usage
//
//	m := maintainer.New(maintainer.WithDowntime(3*time.Second))
//	m.SetWaves(waves, now)
//	m.SetMachines(list, requestedAt)
//	changes := m.Plan(fleet, now)
//	// store changes.Records; then send changes.Orders
//	m.HandleOrderResult(order, code, now)
//	record, changed := m.HandleReportResult(report, ok, now)
//
// A machine counts as unavailable from before its order is sent, because an
// order without an answer may be carried out late, until a list that was
// requested after the answer shows it up. The next machines of a wave are
// cordoned while they wait, so that little work is lost when they are taken
// down.
package maintainer

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"primrosespar.example/primrosespar"
)

// phase is the progress of the maintenance of one machine.
type phase uint8

const (
	// pending machines have not been selected yet, or were deferred.
	pending phase = iota
	// cordoned machines get no new work.
	cordoned
	// ordered machines have an order without an accepting answer so far.
	ordered
	// down machines have accepted their order and are not up again yet.
	down
	// finished machines are up again or have left.
	finished
)

// waveMachine is one machine of a wave and the progress of its maintenance.
type waveMachine struct {
	machine primrosespar.Machine
	phase   phase
	// since is when the phase began.
	since time.Time
	// clearingSince is when the scheduler was told to stop the remaining runs
	// of the machine's worker.
	clearingSince time.Time
	// inFlight is set while an order has not been answered.
	inFlight bool
	// mayHaveStarted is set once an order got no answer, since the machine may
	// still carry it out.
	mayHaveStarted bool
	// retryAt is when the machine may be selected or ordered again.
	retryAt time.Time
	// missedLists counts the consecutive lists without the machine. One such
	// list proves nothing: a list that changes between its pages may omit a
	// machine.
	missedLists int
}

// missedListsUntilGone is the number of consecutive lists without a machine
// after which it counts as removed.
const missedListsUntilGone = 2

// wave is one requested maintenance wave and its progress.
type wave struct {
	number         int
	maxUnavailable int
	// deadline is when the maintenance of all machines should be finished.
	deadline time.Time
	machines []*waveMachine
	// completionReported and startReported are set once the operator has
	// acknowledged the report that the wave is completed or has begun.
	completionReported bool
	startReported      bool
	reportInFlight     bool
	reportRetryAt      time.Time
}

// Fleet provides the state of the workers.
type Fleet interface {
	// Idle reports whether nothing runs on the worker.
	Idle(worker primrosespar.Worker) bool
	// HasDisruptionLimit reports whether the worker runs long-running tasks of
	// a step that limits how many of its tasks may be unavailable at once.
	HasDisruptionLimit(worker primrosespar.Worker) bool
	// Loss returns the work, in core-seconds, that stopping all runs would
	// lose.
	Loss(worker primrosespar.Worker, now time.Time) float64
}

// Maintainer tracks the maintenance waves for the holder of the fleet lease. It
// is not safe for concurrent use.
type Maintainer struct {
	opts  Options
	waves map[int]*wave
	// restored are the records of earlier holders, by wave.
	restored map[int]Record
	// machines is the last list of machines.
	machines map[primrosespar.Machine]primrosespar.MachineState
	// listedAt is when the list of machines was requested.
	listedAt time.Time
}

// Record is the stored state of a wave.
type Record struct {
	Number int
	// Started are the machines whose order may have been sent, Finished those
	// whose maintenance is finished.
	Started  []primrosespar.Machine
	Finished []primrosespar.Machine
	// Deadline is when the maintenance of all machines should be finished.
	Deadline time.Time
	// Completed is set once the completion was reported to the operator.
	Completed bool
}

// Order starts the maintenance of one machine.
type Order struct {
	Wave    int
	Machine primrosespar.Machine
}

// Report tells the operator that a wave has begun or is completed.
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

// Changes are the results of Plan for the caller to carry out.
type Changes struct {
	// Cordoned are the workers that get no new work except long-running tasks
	// that fit nowhere else; Cleared are those of them whose runs have to stop
	// now.
	Cordoned map[primrosespar.Worker]bool
	Cleared  map[primrosespar.Worker]bool
	// Records have to be stored before Orders and completed Reports are sent.
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

// Restore adds a record that an earlier holder stored. It must be called before
// the first SetWaves.
func (m *Maintainer) Restore(r Record) { m.restored[r.Number] = r }

// SetWaves adds the requested waves that are not known yet, with the progress
// that an earlier holder stored.
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
				wm.phase, wm.mayHaveStarted, wm.retryAt = ordered, true, m.opts.RepeatFrom
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

// SetMachines sets the list of machines, which was requested at the given time.
func (m *Maintainer) SetMachines(list primrosespar.MachineList, requestedAt time.Time) {
	m.listedAt = requestedAt
	m.machines = make(map[primrosespar.Machine]primrosespar.MachineState, len(list.Machines))
	for _, state := range list.Machines {
		m.machines[state.Machine] = state
	}
	for _, w := range m.waves {
		for _, wm := range w.machines {
			_, known := m.machines[wm.machine]
			switch {
			case known:
				wm.missedLists = 0
			case list.Complete:
				wm.missedLists++
			}
		}
	}
}

// done reports whether all machines of the wave are finished.
func (w *wave) done() bool {
	for _, wm := range w.machines {
		if wm.phase != finished {
			return false
		}
	}
	return true
}

// record returns the state of the wave to store.
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

// Plan advances all open waves and returns the changes to carry out.
func (m *Maintainer) Plan(fleet Fleet, now time.Time) Changes {
	changes := Changes{Cordoned: map[primrosespar.Worker]bool{}, Cleared: map[primrosespar.Worker]bool{}}
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

// finishMachines finishes the machines that are up again or have left. It
// reports whether the record of the wave has changed.
func (m *Maintainer) finishMachines(w *wave, changes *Changes, now time.Time) bool {
	changed := false
	for _, wm := range w.machines {
		state, known := m.machines[wm.machine]
		gone := wm.missedLists >= missedListsUntilGone && !wm.inFlight
		back := wm.phase == down && known && state.Up && m.listedAt.After(wm.since)
		if wm.phase == finished || !gone && !back {
			continue
		}
		detail := "the machine is up again"
		if gone {
			detail = "the machine has left"
		}
		wm.phase, wm.since, changed = finished, now, true
		changes.log("upkeep_over", w, wm, state.Worker, detail)
	}
	return changed
}

// startMachines cordons the next machines, clears those that have waited
// long enough and orders the maintenance of those that are idle or were
// cleared. It reports whether the record of the wave has changed.
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
	maxWait := w.maxClearWait(now, m.opts.Downtime)
	changed := false
	for _, wm := range candidates {
		worker := m.machines[wm.machine].Worker
		if wm.phase == pending {
			wm.phase, wm.since, wm.clearingSince = cordoned, now, time.Time{}
		}
		changes.Cordoned[worker] = true
		clearTimedOut := !wm.clearingSince.IsZero() && now.Sub(wm.clearingSince) > clearTimeout
		switch {
		case unavailable >= w.maxUnavailable:
		case clearTimedOut && fleet.HasDisruptionLimit(worker):
			// Its capacity must not stay idle until the tasks can be stopped.
			wm.phase, wm.since, wm.retryAt = pending, now, now.Add(deferralTime)
			changes.log("upkeep_deferred", w, wm, worker, "it has long-running tasks that must not stop now")
		case clearTimedOut, fleet.Idle(worker):
			wm.phase, wm.since, changed = ordered, now, true
			unavailable++
		case !wm.clearingSince.IsZero(), now.Sub(wm.since) >= maxWait:
			if wm.clearingSince.IsZero() {
				wm.clearingSince = now
			}
			changes.Cleared[worker] = true
		}
	}
	return changed
}

// loss returns the work that taking the machine down now would lose.
func (m *Maintainer) loss(wm *waveMachine, fleet Fleet, now time.Time) float64 {
	return fleet.Loss(m.machines[wm.machine].Worker, now)
}

// maxClearWait returns how long a machine may wait for its work to end:
// the rest of the window, divided by the number of rounds that are left, minus
// the downtime of one round.
func (w *wave) maxClearWait(now time.Time, downtime time.Duration) time.Duration {
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

// sendOrders adds the orders that are due. The workers of ordered machines stay
// cordoned and are cleared, since the order may not have taken effect yet.
func (m *Maintainer) sendOrders(w *wave, changes *Changes, now time.Time) {
	for _, wm := range w.machines {
		if wm.phase != ordered {
			continue
		}
		worker := m.machines[wm.machine].Worker
		changes.Cordoned[worker], changes.Cleared[worker] = true, true
		if wm.inFlight || now.Before(wm.retryAt) {
			continue
		}
		wm.inFlight = true
		changes.Orders = append(changes.Orders, Order{Wave: w.number, Machine: wm.machine})
		changes.log("upkeep_ordered", w, wm, worker, "")
	}
}

// sendReports adds the report that the wave has begun or is completed, unless
// one is in flight.
func (m *Maintainer) sendReports(w *wave, changes *Changes, now time.Time) {
	if w.reportInFlight || now.Before(w.reportRetryAt) || w.startReported && !w.done() {
		return
	}
	w.reportInFlight = true
	changes.Reports = append(changes.Reports, Report{Wave: w.number, Completed: w.done()})
}

// HandleOrderResult handles the result of an order. An order without an answer
// may still be carried out, so it is repeated until it is answered.
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

// Withhold records that an order was not sent, since the permission to send it
// has run out.
func (m *Maintainer) Withhold(o Order, now time.Time) {
	w := m.waves[o.Wave]
	if w == nil {
		return
	}
	for _, wm := range w.machines {
		if wm.machine == o.Machine && wm.phase == ordered {
			wm.inFlight, wm.retryAt = false, now.Add(retryDelay)
		}
	}
}

// HandleReportResult handles the result of a report. It returns the record to
// store if the completion of the wave was reported, else false.
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

// log adds an event for the log.
func (c *Changes) log(kind string, w *wave, wm *waveMachine, worker primrosespar.Worker, detail string) {
	c.Events = append(c.Events, Event{Kind: kind, Wave: w.number, Machine: wm.machine, Worker: worker, Detail: detail})
}
