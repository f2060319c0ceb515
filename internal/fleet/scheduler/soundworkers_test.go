package scheduler_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"primrosespar.example/primrosespar/internal/fleet/encoder"
)

// dropOrders loses the orders that were sent and not answered.
func (m *stateMachine) dropOrders() { m.pending, m.delayed = nil, nil }

// killHolder replaces the holder at one of the points between a decision and the
// answers to its orders. Orders that are under way are lost.
func (m *stateMachine) killHolder(t *rapid.T) {
	m.advance(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond)
	m.plan()
	if rapid.Bool().Draw(t, "sent") {
		m.sendUnsent()
		for _, o := range m.pending {
			if rapid.Bool().Draw(t, "carried out") {
				m.apply(o)
			}
		}
	}
	m.dropOrders()
	m.changeHolder()
	m.advance(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond)
	m.pollAll()
}

// cutOff cuts a worker off from the holder until the leases of its runs have
// expired, and the holder may be replaced meanwhile.
func (m *stateMachine) cutOff(t *rapid.T) {
	w := m.pickWorker(t)
	w.unresponsive = true
	if rapid.Bool().Draw(t, "new holder") {
		m.changeHolder()
	}
	for range 13 {
		m.advance(time.Second)
		m.cycle()
	}
	if rapid.Bool().Draw(t, "another holder") {
		m.changeHolder()
	}
	w.unresponsive = false
	m.pollAll()
}

// TestSoundWorkersGiveUpNoTask guards against jobs that are shown as failed, and
// workers that are quarantined, although no run failed and no worker crashed,
// while holders are killed and workers are cut off.
func TestSoundWorkersGiveUpNoTask(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newStateMachine(t, encoder.PieceTasks)
		m.pollAll()
		m.submit(t)
		for range rapid.IntRange(1, 20).Draw(t, "faults") {
			if rapid.IntRange(0, 3).Draw(t, "cut off") == 0 {
				m.cutOff(t)
			} else {
				m.killHolder(t)
			}
		}
		require.Zero(t, count(m.events, "worker_quarantined"))
		require.Zero(t, count(m.events, "task_given_up"))
	})
}
