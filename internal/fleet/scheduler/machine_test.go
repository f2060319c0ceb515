package scheduler_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/fleet/encoder"
	"primrosespar.example/primrosespar/internal/fleet/scheduler"
)

// modelRun is a run at a worker of the model.
type modelRun struct {
	gpus    int
	stopAt  time.Time // zero unless it is being stopped
	percent float64
}

// modelWorker behaves as the platform says its workers do.
type modelWorker struct {
	member primrosespar.WorkerInfo
	token  primrosespar.Token
	until  time.Time
	runs   map[primrosespar.Run]*modelRun
	barred map[primrosespar.TaskName]uint64
	ends   []primrosespar.EndedRun
	ended  uint64
	// lapsedTo is the last end that was listed when a lease lapsed: such a run
	// may have been given up, so a later start after its end is allowed.
	lapsedTo uint64
	silent   bool
}

// sentOrder is an order that has left the holder.
type sentOrder struct {
	order scheduler.Order
	start bool
	token primrosespar.Token
	until time.Time
	term  int
}

// sentLook is a report on its way to the holder that asked for it.
type sentLook struct {
	worker *modelWorker
	report primrosespar.WorkerReport
	asked  time.Time
	lapse  time.Time
	term   int
}

// fleetMachine drives the scheduler against model workers. The oracle knows
// what every worker does and which ends were acknowledged.
type fleetMachine struct {
	t       *rapid.T
	now     time.Time
	term    int
	token   primrosespar.Token
	s       *scheduler.Scheduler
	workers []*modelWorker
	stored  map[primrosespar.JobID]scheduler.Record
	pending []sentOrder // answered or lost by a later action
	looks   []sentLook  // reports that are still on their way
	late    []sentOrder // lost, but carried out later
	done    map[primrosespar.TaskName]bool
	failed  map[primrosespar.TaskName]int
	// failures are the runs that failed at workers, noted or not, by task or, for
	// a gang, by its first task.
	failures map[primrosespar.TaskName]map[uint64]bool
	leases   map[primrosespar.Worker]time.Time
	jobs     int
	// gone are workers that were replaced and are still announced.
	gone  []primrosespar.WorkerInfo
	lives int
	// held are stored changes whose orders have not left yet.
	held scheduler.Changes
}

// Sizes of the model.
const (
	modelWorkers = 4
	modelLease   = 6 * time.Second
	modelStop    = 500 * time.Millisecond
)

// newMachine returns a machine with one holder.
func newMachine(t *rapid.T) *fleetMachine {
	m := &fleetMachine{
		t: t, now: time.Unix(1_000_000, 0), stored: map[primrosespar.JobID]scheduler.Record{},
		done: map[primrosespar.TaskName]bool{}, failed: map[primrosespar.TaskName]int{},
		failures: map[primrosespar.TaskName]map[uint64]bool{},
		leases:   map[primrosespar.Worker]time.Time{},
	}
	members := newRig(&testing.T{}, 1).members
	for _, member := range members[:modelWorkers] {
		m.workers = append(m.workers, &modelWorker{
			member: member, runs: map[primrosespar.Run]*modelRun{}, barred: map[primrosespar.TaskName]uint64{},
		})
	}
	m.elect()
	return m
}

// elect starts a new holder from what is stored.
func (m *fleetMachine) elect() {
	m.term++
	m.token++
	m.held = scheduler.Changes{}
	m.s = scheduler.New(scheduler.WithLeaseExpiry(func(w primrosespar.Worker) time.Time { return m.leases[w] }))
	m.s.SetCatalog(testCatalog())
	enc, err := encoder.New()
	require.NoError(m.t, err)
	for i := 1; i <= m.jobs; i++ {
		record, ok := m.stored[jobID(i)]
		if !ok {
			continue
		}
		data, err := enc.Progress(record.Progress)
		require.NoError(m.t, err)
		progress, err := enc.ParseProgress(data)
		require.NoError(m.t, err)
		m.s.Restore(*record.Submission, progress, m.now)
	}
	m.roster()
}

// jobID names the nth job.
func jobID(n int) primrosespar.JobID { return primrosespar.JobID(fmt.Sprintf("%04d", n)) }

// roster lets the holder read the workers.
func (m *fleetMachine) roster() {
	var members []primrosespar.WorkerInfo
	for _, w := range m.workers {
		members = append(members, w.member)
	}
	members = append(members, m.gone...)
	m.s.SetWorkers(members, m.now)
}

// plan stores what the scheduler decides; the orders leave by sendHeld.
func (m *fleetMachine) plan() {
	changes := m.s.Plan(m.now)
	for _, record := range changes.Records {
		if record.Submission == nil {
			record.Submission = m.stored[record.Job].Submission
		}
		m.stored[record.Job] = record
		if record.Progress.State == primrosespar.JobFailed {
			m.checkFailed(record.Job)
		}
	}
	m.held.Starts = append(m.held.Starts, changes.Starts...)
	if m.held.Acknowledged == nil {
		m.held.Acknowledged = map[primrosespar.Worker]uint64{}
	}
	for w, n := range changes.Acknowledged {
		m.held.Acknowledged[w] = n
	}
	for _, o := range changes.Stops {
		m.pending = append(m.pending, sentOrder{order: o, token: m.token, term: m.term})
	}
}

// checkFailed fails if no task of a failed job has used up its attempts.
func (m *fleetMachine) checkFailed(id primrosespar.JobID) {
	for task, runs := range m.failures {
		if task.Job == id && len(runs) >= 2 {
			return
		}
	}
	m.t.Fatalf("job %s is shown as failed without cause", id)
}

// sendHeld sends the orders whose records are stored and acknowledges ends.
func (m *fleetMachine) sendHeld() {
	for _, o := range m.held.Starts {
		if m.s.ShouldSend(o, m.now) {
			if lapse := m.now.Add(modelLease + 100*time.Millisecond); lapse.After(m.leases[o.Worker]) {
				m.leases[o.Worker] = lapse
			}
			m.pending = append(m.pending, sentOrder{order: o, start: true, token: m.token, until: m.now.Add(modelLease), term: m.term})
		}
	}
	for name, n := range m.held.Acknowledged {
		w := m.find(name)
		if w == nil {
			continue
		}
		var left []primrosespar.EndedRun
		for _, e := range w.ends {
			if e.Sequence > n {
				left = append(left, e)
				continue
			}
			if e.End == primrosespar.EndDone && e.Sequence > w.lapsedTo {
				m.done[e.Run.Task] = true
			}
			if e.End == primrosespar.EndFailed {
				m.failed[e.Run.Task]++
			}
		}
		w.ends = left
	}
	m.held = scheduler.Changes{}
}

// find returns the worker of the name, nil if it was replaced.
func (m *fleetMachine) find(name primrosespar.Worker) *modelWorker {
	for _, w := range m.workers {
		if w.member.Worker == name {
			return w
		}
	}
	return nil
}

// end ends a run at a worker and lists the end.
func (w *modelWorker) end(run primrosespar.Run, how primrosespar.RunEnd) {
	delete(w.runs, run)
	w.barred[run.Task] = max(w.barred[run.Task], run.Number)
	w.ended++
	w.ends = append(w.ends, primrosespar.EndedRun{Sequence: w.ended, Run: run, End: how})
}

// settle lets stops and leases of all workers take effect.
func (m *fleetMachine) settle() {
	for _, w := range m.workers {
		if !m.now.Before(w.until) {
			w.lapsedTo = w.ended
		}
		for _, run := range w.sorted() {
			r := w.runs[run]
			switch {
			case !m.now.Before(w.until):
				w.end(run, primrosespar.EndLeaseExpired)
			case !r.stopAt.IsZero() && !m.now.Before(r.stopAt):
				w.end(run, primrosespar.EndStopped)
			}
		}
	}
}

// sorted returns the runs in a stable order.
func (w *modelWorker) sorted() []primrosespar.Run {
	var out []primrosespar.Run
	for run := range w.runs {
		out = append(out, run)
	}
	for i := range out {
		for k := i + 1; k < len(out); k++ {
			if fmt.Sprint(out[k]) < fmt.Sprint(out[i]) {
				out[i], out[k] = out[k], out[i]
			}
		}
	}
	return out
}

// apply carries an order out and returns the worker's answer.
func (m *fleetMachine) apply(o sentOrder) primrosespar.Code {
	w := m.find(o.order.Worker)
	if w == nil {
		if o.term == m.term {
			m.s.Replaced(o.order.Worker, m.now)
		}
		return primrosespar.CodeWorkerRestarted
	}
	if o.token < w.token {
		return primrosespar.CodeStaleToken
	}
	w.token = o.token
	run := o.order.Run
	r := w.runs[run]
	if !o.start {
		w.barred[run.Task] = max(w.barred[run.Task], run.Number)
		if r != nil && r.stopAt.IsZero() {
			r.stopAt = m.now.Add(modelStop)
		}
		return primrosespar.CodeOK
	}
	switch {
	case r != nil:
		return primrosespar.CodeOK
	case !m.now.Before(o.until):
		return primrosespar.CodeWorkerLate
	}
	if o.until.After(w.until) {
		w.until = o.until
	}
	if run.Number <= w.barred[run.Task] {
		return primrosespar.CodeStaleAttempt
	}
	need := m.stored[run.Task.Job].Submission.Steps[run.Task.Step].Need.Accelerators
	m.checkStart(o)
	m.checkRoom(w, need)
	w.runs[run] = &modelRun{gpus: need}
	return primrosespar.CodeOK
}

// checkStart is the oracle: it fails on a start that must not happen.
func (m *fleetMachine) checkStart(o sentOrder) {
	task := o.order.Run.Task
	for _, other := range m.workers {
		for run := range other.runs {
			require.NotEqual(m.t, task, run.Task, "second run %d beside run %d", o.order.Run.Number, run.Number)
		}
	}
	if m.stored[task.Job].Submission.Steps[task.Step].LongRunning {
		return
	}
	require.False(m.t, m.done[task], "start of %v after its end was acknowledged", task)
	require.Less(m.t, m.failed[task], 2, "start of %v after its attempts", task)
}

// checkRoom fails on a start that brings a worker over its capacity.
func (m *fleetMachine) checkRoom(w *modelWorker, need int) {
	used := need
	for _, r := range w.runs {
		used += r.gpus
	}
	require.LessOrEqual(m.t, used, 8, "worker %s is over its capacity", w.member.Worker)
}

// take removes one of the orders.
func take(t *rapid.T, list *[]sentOrder) (sentOrder, bool) {
	if len(*list) == 0 {
		return sentOrder{}, false
	}
	i := rapid.IntRange(0, len(*list)-1).Draw(t, "order")
	o := (*list)[i]
	*list = append((*list)[:i:i], (*list)[i+1:]...)
	return o, true
}

// answer tells the holder that sent the order what became of it.
func (m *fleetMachine) answer(o sentOrder, code primrosespar.Code) {
	switch {
	case o.term != m.term:
	case code == primrosespar.CodeStaleToken:
	case o.start:
		m.s.Leased(o.order.Worker, o.until.Add(100*time.Millisecond))
		m.s.Started(o.order, code, m.now)
	default:
		m.s.Stopped(o.order, code, m.now)
	}
}

// pick draws a worker.
func (m *fleetMachine) pick(t *rapid.T) *modelWorker {
	return m.workers[rapid.IntRange(0, len(m.workers)-1).Draw(t, "worker")]
}

// usualActions is how often the usual course of things stands among the
// actions, which are drawn with equal chance, so that sequences get far.
const usualActions = 5

// actions are the steps of the machine.
func (m *fleetMachine) actions() map[string]func(*rapid.T) {
	actions := m.troubles()
	for i := range usualActions {
		actions[fmt.Sprint("cycle", i)] = func(t *rapid.T) {
			m.wait(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
			m.cycle()
		}
		actions[fmt.Sprint("loseSome", i)] = func(t *rapid.T) {
			m.wait(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
			m.loseSome(t)
		}
		actions[fmt.Sprint("submit", i)] = m.submit
	}
	return actions
}

// loseSome lets the holder decide and each of its orders be answered, refused,
// lost with its answer, or carried out late.
func (m *fleetMachine) loseSome(t *rapid.T) {
	m.plan()
	m.sendHeld()
	for len(m.pending) > 0 {
		o, _ := take(t, &m.pending)
		switch rapid.IntRange(0, 4).Draw(t, "fate") {
		case 0, 1:
			m.answer(o, m.apply(o))
		case 2:
			m.apply(o)
			m.answer(o, primrosespar.CodeWorkerLost)
		case 3:
			m.late = append(m.late, o)
			m.answer(o, primrosespar.CodeWorkerLost)
		default:
			if o.start {
				m.answer(o, primrosespar.CodeWorkerFull)
			} else {
				m.answer(o, m.apply(o))
			}
		}
	}
}

// submit hands a job in.
func (m *fleetMachine) submit(t *rapid.T) {
	m.jobs++
	queue := primrosespar.Queue("plain")
	if rapid.Bool().Draw(t, "urgent") {
		queue = "urgent"
	}
	m.s.Submit(job(string(jobID(m.jobs)), queue, primrosespar.Step{
		Count: rapid.IntRange(1, 3).Draw(t, "count"), Gang: rapid.Bool().Draw(t, "gang"),
		Need:        gpus(rapid.SampledFrom([]int{2, 4, 8}).Draw(t, "gpus")),
		LongRunning: rapid.IntRange(0, 3).Draw(t, "lasting") == 0, MaxUnavailable: rapid.IntRange(0, 2).Draw(t, "away"),
	}), m.now)
}

// troubles are the steps that are not the usual course of things.
func (m *fleetMachine) troubles() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"cancel": func(t *rapid.T) {
			if m.jobs == 0 {
				return
			}
			m.s.Cancel(jobID(rapid.IntRange(1, m.jobs).Draw(t, "job")), m.now)
		},
		"plan": func(*rapid.T) { m.plan() },
		"send": func(*rapid.T) { m.sendHeld() },
		"answer": func(t *rapid.T) {
			if o, ok := take(t, &m.pending); ok {
				m.answer(o, m.apply(o))
			}
		},
		"answerAll": func(*rapid.T) {
			for _, o := range m.pending {
				m.answer(o, m.apply(o))
			}
			m.pending = nil
		},
		"refuse": func(t *rapid.T) {
			if o, ok := take(t, &m.pending); ok && o.start {
				m.answer(o, primrosespar.CodeWorkerUnhealthy)
			}
		},
		"loseAnswer": func(t *rapid.T) {
			if o, ok := take(t, &m.pending); ok {
				m.apply(o)
				m.answer(o, primrosespar.CodeWorkerLost)
			}
		},
		"loseOrder": func(t *rapid.T) {
			if o, ok := take(t, &m.pending); ok {
				m.late = append(m.late, o)
				m.answer(o, primrosespar.CodeWorkerLost)
			}
		},
		"applyLate": func(t *rapid.T) {
			if o, ok := take(t, &m.late); ok {
				m.apply(o)
			}
		},
		"look": func(t *rapid.T) { m.look(m.pick(t)) },
		"ask": func(t *rapid.T) {
			if look, ok := m.ask(m.pick(t)); ok {
				m.looks = append(m.looks, look)
			}
		},
		"askAll": func(*rapid.T) {
			for _, w := range m.workers {
				if look, ok := m.ask(w); ok {
					m.looks = append(m.looks, look)
				}
			}
		},
		"deliver": func(*rapid.T) {
			for _, look := range m.looks {
				m.deliver(look)
			}
			m.looks = nil
		},
		"lookAll": func(*rapid.T) { m.lookAll() },
		"work":    func(t *rapid.T) { m.work(t) },
		"wait":    func(t *rapid.T) { m.wait(time.Duration(rapid.IntRange(10, 1500).Draw(t, "ms")) * time.Millisecond) },
		"newTerm": func(t *rapid.T) {
			if seldom(t) {
				m.elect()
			}
		},
		"silence": func(t *rapid.T) { m.pick(t).silent = rapid.IntRange(0, 2).Draw(t, "silent") == 0 },
		"restart": func(t *rapid.T) {
			if seldom(t) {
				m.restart(m.pick(t))
			}
		},
		"replace": func(t *rapid.T) {
			if seldom(t) {
				m.replace(m.pick(t))
			}
		},
		"forget": func(*rapid.T) { m.gone = nil },
		"close": func(t *rapid.T) {
			closing, vacate := map[primrosespar.Worker]bool{}, map[primrosespar.Worker]bool{}
			if rapid.Bool().Draw(t, "closing") {
				name := m.pick(t).member.Worker
				closing[name], vacate[name] = true, rapid.Bool().Draw(t, "vacate")
			}
			m.s.SetCordoned(closing, vacate)
		},
		"announce": func(*rapid.T) { m.roster() },
	}
}

// seldom is true once in five draws.
func seldom(t *rapid.T) bool { return rapid.IntRange(0, 4).Draw(t, "seldom") == 0 }

// cycle lets the holder look, decide and have its orders carried out.
func (m *fleetMachine) cycle() {
	m.lookAll()
	m.plan()
	m.sendHeld()
	for _, o := range m.pending {
		m.answer(o, m.apply(o))
	}
	m.pending = nil
}

// wait lets time pass.
func (m *fleetMachine) wait(d time.Duration) {
	m.now = m.now.Add(d)
	m.settle()
}

// look lets the holder look at a worker and get the answer at once.
func (m *fleetMachine) look(w *modelWorker) {
	if look, ok := m.ask(w); ok {
		m.deliver(look)
	}
}

// ask takes a worker's report, which reaches the holder later.
func (m *fleetMachine) ask(w *modelWorker) (sentLook, bool) {
	if w.silent {
		m.s.Silent(w.member.Worker, time.Time{})
		return sentLook{}, false
	}
	if m.token < w.token {
		return sentLook{}, false
	}
	w.token = m.token
	if until := m.now.Add(modelLease); len(w.runs) > 0 && until.After(w.until) {
		w.until = until
	}
	report := primrosespar.WorkerReport{StartedAt: w.member.StartedAt, Ended: append([]primrosespar.EndedRun(nil), w.ends...)}
	for _, run := range w.sorted() {
		w.runs[run].percent++
		report.Active = append(report.Active, primrosespar.ActiveRun{Run: run, Percent: w.runs[run].percent})
	}
	m.leases[w.member.Worker] = w.until.Add(100 * time.Millisecond)
	look := sentLook{w, report, m.now, w.until.Add(100 * time.Millisecond), m.term}
	// What follows comes later than this question.
	m.now = m.now.Add(time.Millisecond)
	return look, true
}

// deliver gives the holder a report.
func (m *fleetMachine) deliver(look sentLook) {
	if look.term == m.term {
		m.s.Report(look.worker.member.Worker, look.report, look.asked, look.lapse, m.now)
	}
}

// lookAll looks at all workers.
func (m *fleetMachine) lookAll() {
	for _, w := range m.workers {
		m.look(w)
	}
	for _, w := range m.gone {
		m.s.Replaced(w.Worker, m.now)
	}
}

// work ends one run at a worker.
func (m *fleetMachine) work(t *rapid.T) {
	w := m.pick(t)
	runs := w.sorted()
	if len(runs) == 0 {
		return
	}
	run := runs[rapid.IntRange(0, len(runs)-1).Draw(t, "run")]
	how := rapid.SampledFrom([]primrosespar.RunEnd{primrosespar.EndDone, primrosespar.EndDone, primrosespar.EndFailed}).Draw(t, "end")
	gang := m.stored[run.Task.Job].Submission.Steps[run.Task.Step].Gang
	if how == primrosespar.EndFailed {
		task := run.Task
		if gang {
			task.Index = 0
		}
		if m.failures[task] == nil {
			m.failures[task] = map[uint64]bool{}
		}
		m.failures[task][run.Number] = true
	}
	if gang {
		m.endGang(run, how)
		return
	}
	w.end(run, how)
}

// endGang ends all members of a run: done together, or broken by the one that
// fails. A gang that is not complete does not work.
func (m *fleetMachine) endGang(run primrosespar.Run, how primrosespar.RunEnd) {
	type held struct {
		worker *modelWorker
		run    primrosespar.Run
	}
	var members []held
	for _, w := range m.workers {
		for _, other := range w.sorted() {
			if other.Task.Job == run.Task.Job && other.Task.Step == run.Task.Step && other.Number == run.Number {
				members = append(members, held{w, other})
			}
		}
	}
	if len(members) < m.stored[run.Task.Job].Submission.Steps[run.Task.Step].Count {
		return
	}
	for _, member := range members {
		end := how
		if how == primrosespar.EndFailed && member.run != run {
			end = primrosespar.EndMemberFailed
		}
		member.worker.end(member.run, end)
	}
}

// restart lets a worker start anew under its name.
func (m *fleetMachine) restart(w *modelWorker) {
	w.member.StartedAt = w.member.StartedAt.Add(time.Hour)
	w.runs, w.barred = map[primrosespar.Run]*modelRun{}, map[primrosespar.TaskName]uint64{}
	w.ends, w.ended, w.lapsedTo, w.token, w.until = nil, 0, 0, 0, time.Time{}
	// Orders for the earlier lifetime are refused by the new one.
	m.late = dropFor(m.late, w.member.Worker)
	for _, o := range m.pending {
		if o.order.Worker == w.member.Worker {
			m.answer(o, primrosespar.CodeWorkerRestarted)
		}
	}
	m.pending = dropFor(m.pending, w.member.Worker)
}

// replace lets another worker answer at the address of one. The holder hears
// of it with its next call.
func (m *fleetMachine) replace(w *modelWorker) {
	m.gone = append(m.gone, w.member)
	m.late = dropFor(m.late, w.member.Worker)
	m.looks = slices.DeleteFunc(m.looks, func(l sentLook) bool { return l.worker == w })
	m.lives++
	w.member.Worker = primrosespar.Worker(fmt.Sprintf("n%02d", m.lives))
	w.member.StartedAt = w.member.StartedAt.Add(time.Hour)
	w.runs, w.barred = map[primrosespar.Run]*modelRun{}, map[primrosespar.TaskName]uint64{}
	w.ends, w.ended, w.lapsedTo, w.token, w.until = nil, 0, 0, 0, time.Time{}
}

// dropFor returns the orders for other workers.
func dropFor(list []sentOrder, worker primrosespar.Worker) []sentOrder {
	var out []sentOrder
	for _, o := range list {
		if o.order.Worker != worker {
			out = append(out, o)
		}
	}
	return out
}

// TestOneRunATask guards against two runs of a task at once, a run after an
// acknowledged end, runs beyond the attempts and workers over their capacity,
// whatever orders and answers are lost, late or repeated, whichever workers
// fall silent, start anew, are replaced or closed, and however often the holder
// changes.
func TestOneRunATask(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(t)
		m.lookAll()
		t.Repeat(m.actions())
	})
}
