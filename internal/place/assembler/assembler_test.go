package assembler_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/place/assembler"
)

const members = 4

// worker is a fake worker that runs one member.
type worker struct {
	state        primrosespar.TaskState
	dead         bool
	checkpointed bool
}

// model runs one gang with fake workers and a fake row in the table.
type model struct {
	now       time.Time
	assembler *assembler.Assembler
	workers   []worker
	// row is the state in the table; committedRunning is set once it was
	// running in this attempt.
	row              primrosespar.GangState
	committedRunning bool
	// inFlight holds the commands that have not reached their workers.
	inFlight []primrosespar.Command
	// pending is the state in a commit that is in progress.
	pending primrosespar.GangState
}

func newModel() *model {
	m := &model{now: time.Unix(0, 0), workers: make([]worker, members)}
	gang := primrosespar.Gang{Job: primrosespar.Job{ID: "j", Idempotent: true}}
	for i := range members {
		gang.Slices = append(gang.Slices, primrosespar.Slice{Worker: workerName(i), Member: i, Count: 1})
	}
	m.assembler = assembler.New(gang, m.now)
	return m
}

func workerName(i int) primrosespar.Worker { return primrosespar.Worker(rune('a' + i)) }

func (m *model) step() {
	step := m.assembler.Step(m.now)
	m.inFlight = append(m.inFlight, step.Commands...)
	switch {
	case step.Commit && m.pending == "":
		m.pending = m.assembler.Gang().State
	case step.Commit:
		m.assembler.CommitFailed()
	}
}

// deliver executes one command on its worker and, if answered, passes the
// result to the assembler.
func (m *model) deliver(i int, answered bool) {
	c := m.inFlight[i]
	m.inFlight = append(m.inFlight[:i], m.inFlight[i+1:]...)
	w := &m.workers[c.Worker[0]-'a']
	result := primrosespar.CommandResult{}
	switch {
	case w.dead:
		result.Code = primrosespar.CodeWorkerLost
	case c.Kind == primrosespar.CommandStart && w.state == "":
		w.state = primrosespar.TaskHeld
	case c.Kind == primrosespar.CommandStart && w.state == primrosespar.TaskStopped:
		result.Code = primrosespar.CodeStaleAttempt
	case c.Kind == primrosespar.CommandRelease && w.state == primrosespar.TaskHeld:
		w.state = primrosespar.TaskRunning
	case c.Kind == primrosespar.CommandRelease && w.state == primrosespar.TaskStopped:
		result.Code = primrosespar.CodeNotFound
	case c.Kind == primrosespar.CommandCheckpoint:
		w.checkpointed = true
	case c.Kind == primrosespar.CommandStop:
		w.state = primrosespar.TaskStopped
	}
	if answered {
		m.assembler.HandleResult(c, result, m.now)
	}
}

func (m *model) report(i int) {
	w := m.workers[i]
	entry := primrosespar.WorkerEntry{Worker: workerName(i), Alive: !w.dead}
	if w.state != "" {
		entry.Tasks = []primrosespar.TaskStatus{{Gang: "j", Member: i, Attempt: 1, State: w.state, Checkpointed: w.checkpointed}}
	}
	m.assembler.Observe(entry, m.now)
}

// TestNoMemberWorksBeforeAllAreHeld guards against a gang of which only some
// members work. Commands are late, lost or reordered, commits fail, workers die
// and the job is cancelled or preempted at any time. A member may work only if
// the table has the gang as running, and that only after every member was held.
func TestNoMemberWorksBeforeAllAreHeld(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel()
		t.Repeat(map[string]func(*rapid.T){
			"advance": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond)
				m.step()
			},
			"deliver": m.deliverRandom, "deliver more": m.deliverRandom, "deliver again": m.deliverRandom,
			"commit": func(t *rapid.T) { m.commit(rapid.IntRange(0, 3).Draw(t, "fails") > 0) },
			"report": func(t *rapid.T) { m.report(rapid.IntRange(0, members-1).Draw(t, "worker")) },
			"fail":   m.endRandomTask,
			"stop": func(t *rapid.T) {
				switch rapid.IntRange(0, 19).Draw(t, "why") {
				case 0:
					m.assembler.Stop(primrosespar.CodeCancelled, primrosespar.GangCancelled, false, m.now)
				case 1:
					m.assembler.Preempt(m.now)
				}
			},
			"": func(t *rapid.T) { m.checkInvariants(t) },
		})
	})
}

func (m *model) deliverRandom(t *rapid.T) {
	m.step()
	if len(m.inFlight) > 0 {
		m.deliver(rapid.IntRange(0, len(m.inFlight)-1).Draw(t, "command"), rapid.IntRange(0, 5).Draw(t, "answered") > 0)
	}
}

// endRandomTask sometimes kills a worker or lets its task fail or finish.
func (m *model) endRandomTask(t *rapid.T) {
	w := &m.workers[rapid.IntRange(0, members-1).Draw(t, "worker")]
	switch rapid.IntRange(0, 19).Draw(t, "how") {
	case 0:
		w.dead, w.state = true, primrosespar.TaskStopped
	case 1:
		if w.state == primrosespar.TaskRunning {
			w.state = primrosespar.TaskFailed
		}
	case 2:
		if w.state == primrosespar.TaskRunning {
			w.state = primrosespar.TaskFinished
		}
	}
}

func (m *model) commit(succeeds bool) {
	if m.pending == "" {
		return
	}
	state := m.pending
	m.pending = ""
	if !succeeds {
		m.assembler.CommitFailed()
		return
	}
	m.row = state
	m.committedRunning = m.committedRunning || m.row == primrosespar.GangRunning
	m.assembler.Committed(state, m.now)
}

func (m *model) checkInvariants(t *rapid.T) {
	started, running := 0, 0
	for _, w := range m.workers {
		if w.state != "" {
			started++
		}
		if w.state == primrosespar.TaskRunning {
			running++
		}
	}
	if m.committedRunning && started < members {
		t.Fatalf("the row is running with %d of %d members held", started, members)
	}
	if running > 0 && !m.committedRunning {
		t.Fatalf("%d members work but the row is not running", running)
	}
	if m.assembler.Ended() && m.row != m.assembler.Gang().State {
		t.Fatalf("the attempt ended as %s but the row is %s", m.assembler.Gang().State, m.row)
	}
	if m.assembler.Ended() && running > 0 {
		t.Fatalf("%d members work after the attempt ended", running)
	}
}

// runUntilStable runs without faults for long enough that nothing changes any
// more.
func (m *model) runUntilStable() {
	for range 200 {
		m.now = m.now.Add(200 * time.Millisecond)
		m.step()
		for len(m.inFlight) > 0 {
			m.deliver(0, true)
		}
		m.commit(true)
	}
}

// TestLostMemberStopsAll guards against members that continue after one is
// lost.
func TestLostMemberStopsAll(t *testing.T) {
	m := newModel()
	m.runUntilStable()
	require.True(t, m.assembler.Running())
	m.workers[2].dead, m.workers[2].state = true, primrosespar.TaskStopped
	m.report(2)
	m.runUntilStable()
	require.True(t, m.assembler.Ended())
	require.Equal(t, primrosespar.GangQueued, m.row)
	for _, w := range m.workers {
		require.Equal(t, primrosespar.TaskStopped, w.state)
	}
}

// TestUnreachableMemberDelaysTheNextAttempt guards against a second attempt
// while a member on an unreachable worker may still work: the first ends only
// after the worker's lease has expired.
func TestUnreachableMemberDelaysTheNextAttempt(t *testing.T) {
	m := newModel()
	m.runUntilStable()
	m.workers[0].dead = true
	m.report(0)
	lost := m.now
	for !m.assembler.Ended() {
		m.now = m.now.Add(100 * time.Millisecond)
		m.step()
		for len(m.inFlight) > 0 {
			m.deliver(0, true)
		}
		m.commit(true)
	}
	require.GreaterOrEqual(t, m.now.Sub(lost), 10*time.Second)
}

// TestPreemptionIsBounded guards against waiting for a checkpoint without end:
// the gang is stopped at most 4 s after the preemption.
func TestPreemptionIsBounded(t *testing.T) {
	m := newModel()
	m.runUntilStable()
	m.assembler.Preempt(m.now)
	preemptedAt := m.now
	for m.workers[0].state == primrosespar.TaskRunning {
		m.now = m.now.Add(100 * time.Millisecond)
		m.step()
		others := m.inFlight[:0]
		for _, c := range m.inFlight {
			if c.Kind != primrosespar.CommandCheckpoint {
				others = append(others, c)
			}
		}
		m.inFlight = others
		for len(m.inFlight) > 0 {
			m.deliver(0, true)
		}
	}
	require.LessOrEqual(t, m.now.Sub(preemptedAt), 4200*time.Millisecond)
}

// TestRecoveredReservationIsStopped guards against a new holder that treats the
// members started by its predecessor as a complete gang.
func TestRecoveredReservationIsStopped(t *testing.T) {
	m := newModel()
	gang := m.assembler.Gang()
	m.workers[1].state = primrosespar.TaskHeld
	m.assembler = assembler.Resume(gang, m.now)
	m.runUntilStable()
	require.True(t, m.assembler.Ended())
	require.Equal(t, primrosespar.GangQueued, m.row)
	require.NotEqual(t, primrosespar.TaskHeld, m.workers[1].state)
}

// TestRefusedCommandIsNotRepeatedAtOnce guards against sending a refused
// command again without delay, as fast as the worker service answers.
func TestRefusedCommandIsNotRepeatedAtOnce(t *testing.T) {
	m := newModel()
	m.step()
	m.commit(true)
	sent := 0
	for range 100 {
		m.now = m.now.Add(10 * time.Millisecond)
		m.step()
		for _, c := range m.inFlight {
			sent++
			m.assembler.HandleResult(c, primrosespar.CommandResult{Code: primrosespar.CodeOutOfRange}, m.now)
		}
		m.inFlight = nil
	}
	require.LessOrEqual(t, sent, 2*members, "commands in one second with a resend interval of 500 ms")
}
