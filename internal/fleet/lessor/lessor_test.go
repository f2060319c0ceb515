package lessor_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosespar.example/primrosespar/internal/fleet/lessor"
)

// model is a holder and a worker whose clocks a test moves: the clock of the
// holder stands still in a suspension, that of the worker is slow.
type model struct {
	real        time.Duration
	suspended   time.Duration
	rate        float64
	confirmedAt time.Time
	// committedAt is the real time of the last confirmed commit.
	committedAt time.Duration
	lessor      *lessor.Lessor
}

// newModel returns a model that has just committed, with a worker clock of the
// given rate.
func newModel(rate float64) *model {
	m := &model{rate: rate, real: time.Minute}
	m.lessor = lessor.New(lessor.DefaultLease, func() time.Time { return m.confirmedAt })
	m.report()
	m.pass(time.Millisecond)
	m.commit()
	return m
}

// now returns the reading of the holder's clock.
func (m *model) now() time.Time { return time.Unix(1000, 0).Add(m.real - m.suspended) }

// workerClock returns the reading of the worker's clock.
func (m *model) workerClock() time.Duration { return time.Duration(m.rate * float64(m.real)) }

// report delivers a report of the worker.
func (m *model) report() { m.lessor.Observe(m.workerClock(), m.now()) }

// commit confirms a commit that is sent now.
func (m *model) commit() { m.confirmedAt, m.committedAt = m.now(), m.real }

// pass lets time pass.
func (m *model) pass(d time.Duration) { m.real += d }

// suspend lets time pass while the holder is suspended.
func (m *model) suspend(d time.Duration) {
	m.pass(d)
	m.suspended += d
}

// end returns the real time at which a lease that is granted now ends.
func (m *model) end() time.Duration {
	grant, ok := m.lessor.Extend(m.now())
	if !ok {
		return 0
	}
	return time.Duration(float64(grant.Until) / m.rate)
}

// TestLeasesEndBeforeTheNextHolderStarts guards against runs that a holder
// without the store keeps alive for longer than the next one waits.
func TestLeasesEndBeforeTheNextHolderStarts(t *testing.T) {
	for _, rate := range []float64{0.98, 1} {
		for name, disturb := range map[string]func(*model){
			"no answer":                 func(m *model) { m.pass(7 * time.Second) },
			"suspended":                 func(m *model) { m.suspend(20 * time.Second) },
			"suspended, then reports":   func(m *model) { m.suspend(20 * time.Second); m.report(); m.pass(time.Second); m.report() },
			"reports for a while":       func(m *model) { m.pass(3 * time.Second); m.report(); m.pass(30 * time.Second); m.report() },
			"suspended between reports": func(m *model) { m.pass(time.Second); m.report(); m.suspend(time.Minute); m.report() },
			"suspended in a commit": func(m *model) {
				m.pass(time.Second)
				m.commit()
				m.suspend(20 * time.Second)
				m.report()
			},
			"commit after an old reading": func(m *model) { m.pass(time.Minute); m.commit(); m.pass(2 * time.Second) },
		} {
			m := newModel(rate)
			disturb(m)
			require.LessOrEqual(t, m.end()-m.committedAt, lessor.TakeoverWait(lessor.DefaultLease), "%s, rate %v", name, rate)
		}
	}
}

// TestLeasesOutliveAShortOutage guards against work that is thrown away in an
// outage of the store in which no other host can take over.
func TestLeasesOutliveAShortOutage(t *testing.T) {
	m := newModel(1)
	for range 8 {
		require.Greater(t, m.end()-m.real, 1500*time.Millisecond)
		m.pass(time.Second)
		m.report()
	}
	m.commit()
	require.Greater(t, m.end()-m.real, lessor.DefaultLease-500*time.Millisecond)
}

// TestExpiryCoversTheLease guards against runs that a holder gives up while the
// worker may still keep them.
func TestExpiryCoversTheLease(t *testing.T) {
	for _, rate := range []float64{0.98, 1} {
		m := newModel(rate)
		for range 20 {
			grant, ok := m.lessor.Extend(m.now())
			if !ok {
				break
			}
			end := time.Duration(float64(grant.Until) / rate)
			require.LessOrEqual(t, end-m.real, grant.Expiry.Sub(m.now()))
			m.pass(time.Second)
			m.report()
		}
	}
}
