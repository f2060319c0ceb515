package maintainer_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/fleet/maintainer"
)

// fakeFleet is a maintainer.Fleet with the state that a test sets: the work
// that busy workers would lose and the workers with a disruption limit.
type fakeFleet struct {
	busy    map[primrosespar.Worker]float64
	limited map[primrosespar.Worker]bool
}

// Idle implements maintainer.Fleet.
func (f *fakeFleet) Idle(w primrosespar.Worker) bool { return f.busy[w] == 0 }

// HasDisruptionLimit implements maintainer.Fleet.
func (f *fakeFleet) HasDisruptionLimit(w primrosespar.Worker) bool { return f.limited[w] }

// Loss implements maintainer.Fleet.
func (f *fakeFleet) Loss(w primrosespar.Worker, _ time.Time) float64 { return f.busy[w] }

// fixture is a Maintainer with one wave of four machines.
type fixture struct {
	maintainer *maintainer.Maintainer
	fleet      *fakeFleet
	now        time.Time
	machines   []primrosespar.MachineState
	// incomplete is set if the lists of machines are not complete.
	incomplete bool
}

// newFixture returns a fixture whose wave allows maxUnavailable machines to be
// down at once.
func newFixture(maxUnavailable int, window time.Duration) *fixture {
	f := &fixture{
		maintainer: maintainer.New(maintainer.WithDowntime(3 * time.Second)), now: time.Unix(1_000_000, 0),
		fleet: &fakeFleet{busy: map[primrosespar.Worker]float64{}, limited: map[primrosespar.Worker]bool{}},
	}
	w := primrosespar.Wave{Number: 7, Window: window, MaxUnavailable: maxUnavailable}
	for _, name := range []string{"a", "b", "c", "d"} {
		w.Machines = append(w.Machines, primrosespar.Machine(name))
		f.machines = append(f.machines, primrosespar.MachineState{
			Machine: primrosespar.Machine(name), Worker: primrosespar.Worker("w-" + name), Up: true,
		})
	}
	f.maintainer.SetWaves([]primrosespar.Wave{w}, f.now)
	f.refreshMachines()
	return f
}

// refreshMachines passes the current list of machines to the maintainer.
func (f *fixture) refreshMachines() {
	f.maintainer.SetMachines(primrosespar.MachineList{Machines: f.machines, Complete: !f.incomplete}, f.now)
}

// step advances the time, refreshes the list of machines and plans.
func (f *fixture) step(elapsed time.Duration) maintainer.Changes {
	f.now = f.now.Add(elapsed)
	f.refreshMachines()
	return f.maintainer.Plan(f.fleet, f.now)
}

// TestNoMoreMachinesAreDownThanAllowed guards against more machines being down
// at once than the wave allows. A machine whose order got no answer may be
// down, and one that accepted its order is down until a later list shows it up.
func TestNoMoreMachinesAreDownThanAllowed(t *testing.T) {
	f := newFixture(1, time.Minute)
	first := f.step(0)
	require.Len(t, first.Orders, 1)
	require.Len(t, first.Records, 1)
	require.Equal(t, []primrosespar.Machine{first.Orders[0].Machine}, first.Records[0].Started)
	f.maintainer.HandleOrderResult(first.Orders[0], primrosespar.CodePeerUnavailable, f.now)
	again := f.step(time.Second)
	require.Equal(t, first.Orders, again.Orders)
	// After a refusal the outcome of the first attempt is still unknown.
	f.maintainer.HandleOrderResult(again.Orders[0], primrosespar.CodeMachineBusy, f.now)
	again = f.step(time.Second)
	require.Equal(t, first.Orders, again.Orders)
	f.maintainer.HandleOrderResult(again.Orders[0], primrosespar.CodeOK, f.now)
	require.Empty(t, f.maintainer.Plan(f.fleet, f.now).Orders, "the list was requested before the answer")
	f.machines[0].Up = false
	require.Empty(t, f.step(time.Second).Orders)
	f.machines[0] = primrosespar.MachineState{Machine: "a", Worker: "w-new", Up: true}
	next := f.step(time.Second)
	require.Len(t, next.Orders, 1)
	require.NotEqual(t, first.Orders[0].Machine, next.Orders[0].Machine)
}

// TestBusyMachinesAreClearedAfterMaxWait guards against work that is lost
// although the wave has time left, and against a wave that is late because it
// waits for work.
func TestBusyMachinesAreClearedAfterMaxWait(t *testing.T) {
	f := newFixture(1, 40*time.Second)
	for _, s := range f.machines {
		f.fleet.busy[s.Worker] = 5
	}
	f.fleet.busy["w-c"] = 1
	changes := f.step(0)
	require.Empty(t, changes.Orders)
	require.Equal(t, map[primrosespar.Worker]bool{"w-c": true}, changes.Cordoned)
	require.Empty(t, changes.Cleared)
	// The maximum wait is the window divided by four rounds, minus the downtime:
	// 40 s / 4 - 3 s = 7 s.
	changes = f.step(8 * time.Second)
	require.Equal(t, map[primrosespar.Worker]bool{"w-c": true}, changes.Cleared)
	delete(f.fleet.busy, "w-c")
	changes = f.step(500 * time.Millisecond)
	require.Equal(t, []maintainer.Order{{Wave: 7, Machine: "c"}}, changes.Orders)
}

// TestMachinesWithDisruptionLimitAreDeferred guards against long-running tasks
// that are stopped while too many tasks of their step are unavailable, and
// against a machine that stays cordoned for long although it cannot be taken
// down.
func TestMachinesWithDisruptionLimitAreDeferred(t *testing.T) {
	f := newFixture(1, 8*time.Second)
	for _, s := range f.machines {
		f.fleet.busy[s.Worker], f.fleet.limited[s.Worker] = 5, true
	}
	require.Len(t, f.step(0).Cleared, 1)
	changes := f.step(time.Second)
	require.Len(t, changes.Cleared, 1)
	require.Empty(t, changes.Orders)
	changes = f.step(time.Second)
	require.Empty(t, changes.Orders)
	require.Empty(t, changes.Cleared)
	require.Len(t, f.step(100*time.Millisecond).Cleared, 1, "another machine is tried")
}

// TestWaveIsCompletedOnce guards against a wave that is reported as completed
// before every remaining machine has had its maintenance.
func TestWaveIsCompletedOnce(t *testing.T) {
	f := newFixture(4, time.Minute)
	changes := f.step(0)
	require.Equal(t, []maintainer.Report{{Wave: 7}}, changes.Reports)
	require.Len(t, changes.Orders, 4)
	_, stored := f.maintainer.HandleReportResult(changes.Reports[0], true, f.now)
	require.False(t, stored)
	for _, o := range changes.Orders[:3] {
		f.maintainer.HandleOrderResult(o, primrosespar.CodeOK, f.now)
	}
	f.maintainer.HandleOrderResult(changes.Orders[3], primrosespar.CodeMachineBusy, f.now)
	require.Empty(t, f.step(100*time.Millisecond).Reports)
	// The fourth machine leaves; a single list may omit it by accident.
	f.machines = f.machines[:3]
	require.Empty(t, f.step(100*time.Millisecond).Reports)
	changes = f.step(100 * time.Millisecond)
	require.Equal(t, []maintainer.Report{{Wave: 7, Completed: true}}, changes.Reports)
	record, stored := f.maintainer.HandleReportResult(changes.Reports[0], true, f.now)
	require.True(t, stored)
	require.True(t, record.Completed)
	require.False(t, f.maintainer.Active())
}

// TestMachineOfIncompleteListHasNotLeft guards against a wave that is reported as
// completed although a machine of it, which the list does not name, was not
// maintained.
func TestMachineOfIncompleteListHasNotLeft(t *testing.T) {
	f := newFixture(4, time.Minute)
	f.machines = f.machines[:3]
	for _, incomplete := range []bool{true, false} {
		f.incomplete = incomplete
		left := false
		for range 10 {
			for _, e := range f.step(time.Second).Events {
				left = left || strings.Contains(e.Detail, "has left")
			}
		}
		require.Equal(t, !incomplete, left)
	}
}

// TestNextHolderDoesNotRepeatOrdersAtOnce guards against orders for one machine
// from two holders in turn: the earlier one may have sent its order a moment ago.
func TestNextHolderDoesNotRepeatOrdersAtOnce(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	m := maintainer.New(maintainer.WithRepeatFrom(now.Add(5 * time.Second)))
	m.Restore(maintainer.Record{Number: 7, Started: []primrosespar.Machine{"a"}, Deadline: now.Add(time.Minute)})
	m.SetWaves([]primrosespar.Wave{{Number: 7, Machines: []primrosespar.Machine{"a", "b"}, Window: time.Minute, MaxUnavailable: 2}}, now)
	machines := []primrosespar.MachineState{{Machine: "a", Worker: "w-a", Up: true}, {Machine: "b", Worker: "w-b", Up: true}}
	m.SetMachines(primrosespar.MachineList{Machines: machines, Complete: true}, now)
	fleet := &fakeFleet{}
	require.Equal(t, []maintainer.Order{{Wave: 7, Machine: "b"}}, m.Plan(fleet, now).Orders, "no holder has ordered it")
	now = now.Add(5 * time.Second)
	m.SetMachines(primrosespar.MachineList{Machines: machines, Complete: true}, now)
	require.Equal(t, []maintainer.Order{{Wave: 7, Machine: "a"}}, m.Plan(fleet, now).Orders)
}

// TestNextHolderCountsStartedMachines guards against a new holder that does not
// count machines whose order an earlier holder has sent, and so takes down too
// many.
func TestNextHolderCountsStartedMachines(t *testing.T) {
	f := newFixture(1, time.Minute)
	record := f.step(0).Records[0]
	next := newFixture(1, time.Minute)
	next.maintainer = maintainer.New()
	next.maintainer.Restore(record)
	next.maintainer.SetWaves([]primrosespar.Wave{{
		Number: 7, Machines: []primrosespar.Machine{"a", "b", "c", "d"}, Window: time.Minute, MaxUnavailable: 1,
	}}, next.now)
	require.Equal(t, []maintainer.Order{{Wave: 7, Machine: record.Started[0]}}, next.step(0).Orders)
	require.Empty(t, next.step(time.Second).Orders)
}
