package maintainer_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/fleet/maintainer"
)

// fleet answers as the test says.
type fleet struct {
	busy  map[primrosespar.Worker]float64
	bound map[primrosespar.Worker]bool
}

// Idle implements maintainer.Fleet.
func (f *fleet) Idle(w primrosespar.Worker) bool { return f.busy[w] == 0 }

// HasDisruptionLimit implements maintainer.Fleet.
func (f *fleet) HasDisruptionLimit(w primrosespar.Worker) bool { return f.bound[w] }

// Loss implements maintainer.Fleet.
func (f *fleet) Loss(w primrosespar.Worker, _ time.Time) float64 { return f.busy[w] }

// rig is a Maintainer with one wave of four machines.
type rig struct {
	m        *maintainer.Maintainer
	fleet    *fleet
	now      time.Time
	machines []primrosespar.MachineState
}

// newRig returns a rig whose wave lets most machines be down at once.
func newRig(most int, window time.Duration) *rig {
	r := &rig{
		m: maintainer.New(maintainer.WithDowntime(3 * time.Second)), now: time.Unix(1_000_000, 0),
		fleet: &fleet{busy: map[primrosespar.Worker]float64{}, bound: map[primrosespar.Worker]bool{}},
	}
	w := primrosespar.Wave{Number: 7, Window: window, MaxUnavailable: most}
	for _, name := range []string{"a", "b", "c", "d"} {
		w.Machines = append(w.Machines, primrosespar.Machine(name))
		r.machines = append(r.machines, primrosespar.MachineState{
			Machine: primrosespar.Machine(name), Worker: primrosespar.Worker("w-" + name), Up: true,
		})
	}
	r.m.SetWaves([]primrosespar.Wave{w}, r.now)
	r.list()
	return r
}

// list reads the machines.
func (r *rig) list() { r.m.SetMachines(r.machines, r.now) }

// step lets time pass, reads the machines and plans.
func (r *rig) step(d time.Duration) maintainer.Changes {
	r.now = r.now.Add(d)
	r.list()
	return r.m.Plan(r.fleet, r.now)
}

// TestNoMoreMachinesAreDownThanAllowed guards against maintenance that begins
// while as many machines as the wave allows are down: one without an answer
// may be, and one that has answered is until a later list shows it up.
func TestNoMoreMachinesAreDownThanAllowed(t *testing.T) {
	r := newRig(1, time.Minute)
	first := r.step(0)
	require.Len(t, first.Orders, 1)
	require.Len(t, first.Records, 1)
	require.Equal(t, []primrosespar.Machine{first.Orders[0].Machine}, first.Records[0].Started)
	r.m.Ordered(first.Orders[0], primrosespar.CodePeerUnavailable, r.now)
	again := r.step(time.Second)
	require.Equal(t, first.Orders, again.Orders)
	// Even a refusal leaves open what became of the first attempt.
	r.m.Ordered(again.Orders[0], primrosespar.CodeMachineBusy, r.now)
	again = r.step(time.Second)
	require.Equal(t, first.Orders, again.Orders)
	r.m.Ordered(again.Orders[0], primrosespar.CodeOK, r.now)
	require.Empty(t, r.m.Plan(r.fleet, r.now).Orders, "the list is older than the answer")
	r.machines[0].Up = false
	require.Empty(t, r.step(time.Second).Orders)
	r.machines[0] = primrosespar.MachineState{Machine: "a", Worker: "w-new", Up: true}
	next := r.step(time.Second)
	require.Len(t, next.Orders, 1)
	require.NotEqual(t, first.Orders[0].Machine, next.Orders[0].Machine)
}

// TestBusyMachinesWaitTheirTurn guards against work that is thrown away though
// the wave has time, and against a wave that is late because of work.
func TestBusyMachinesWaitTheirTurn(t *testing.T) {
	r := newRig(1, 40*time.Second)
	for _, s := range r.machines {
		r.fleet.busy[s.Worker] = 5
	}
	r.fleet.busy["w-c"] = 1
	changes := r.step(0)
	require.Empty(t, changes.Orders)
	require.Equal(t, map[primrosespar.Worker]bool{"w-c": true}, changes.Cordoned)
	require.Empty(t, changes.Drain)
	// A fourth of the window, less the round itself.
	changes = r.step(8 * time.Second)
	require.Equal(t, map[primrosespar.Worker]bool{"w-c": true}, changes.Drain)
	delete(r.fleet.busy, "w-c")
	changes = r.step(500 * time.Millisecond)
	require.Equal(t, []maintainer.Order{{Wave: 7, Machine: "c"}}, changes.Orders)
}

// TestBoundMachinesAreDeferred guards against long-running tasks that end with their
// machine while too many of their step are away, and against a machine that is
// kept free for long though it cannot be taken down.
func TestBoundMachinesAreDeferred(t *testing.T) {
	r := newRig(1, 8*time.Second)
	for _, s := range r.machines {
		r.fleet.busy[s.Worker], r.fleet.bound[s.Worker] = 5, true
	}
	require.Len(t, r.step(0).Drain, 1)
	changes := r.step(time.Second)
	require.Len(t, changes.Drain, 1)
	require.Empty(t, changes.Orders)
	changes = r.step(time.Second)
	require.Empty(t, changes.Orders)
	require.Empty(t, changes.Drain)
	require.Len(t, r.step(100*time.Millisecond).Drain, 1, "another machine is tried")
}

// TestWaveIsCompletedOnce guards against a wave that is said to be completed
// before each machine that stays has had its maintenance.
func TestWaveIsCompletedOnce(t *testing.T) {
	r := newRig(4, time.Minute)
	changes := r.step(0)
	require.Equal(t, []maintainer.Report{{Wave: 7}}, changes.Reports)
	require.Len(t, changes.Orders, 4)
	_, stored := r.m.Reported(changes.Reports[0], true, r.now)
	require.False(t, stored)
	for _, o := range changes.Orders[:3] {
		r.m.Ordered(o, primrosespar.CodeOK, r.now)
	}
	r.m.Ordered(changes.Orders[3], primrosespar.CodeMachineBusy, r.now)
	require.Empty(t, r.step(100*time.Millisecond).Reports)
	// The fourth leaves; one list without it may have skipped it.
	r.machines = r.machines[:3]
	require.Empty(t, r.step(100*time.Millisecond).Reports)
	changes = r.step(100 * time.Millisecond)
	require.Equal(t, []maintainer.Report{{Wave: 7, Completed: true}}, changes.Reports)
	record, stored := r.m.Reported(changes.Reports[0], true, r.now)
	require.True(t, stored)
	require.True(t, record.Completed)
	require.False(t, r.m.Active())
}

// TestNextHolderCountsWhatWasBegun guards against machines that are taken down
// beside one whose order an earlier holder has sent.
func TestNextHolderCountsWhatWasBegun(t *testing.T) {
	r := newRig(1, time.Minute)
	record := r.step(0).Records[0]
	next := newRig(1, time.Minute)
	next.m = maintainer.New()
	next.m.Restore(record)
	next.m.SetWaves([]primrosespar.Wave{{
		Number: 7, Machines: []primrosespar.Machine{"a", "b", "c", "d"}, Window: time.Minute, MaxUnavailable: 1,
	}}, next.now)
	require.Equal(t, []maintainer.Order{{Wave: 7, Machine: record.Started[0]}}, next.step(0).Orders)
	require.Empty(t, next.step(time.Second).Orders)
}
