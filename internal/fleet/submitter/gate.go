package submitter

import (
	"context"
	"sync"
	"time"

	"primrosespar.example/primrosespar"
)

// Times of the gate.
const (
	// probeInterval is the time between two attempts while the gate is closed.
	probeInterval = 100 * time.Millisecond
	// maxFailureAge is for how long after a failed attempt another one belongs
	// to the same outage. Without calls nobody has tried in between.
	maxFailureAge = 2 * time.Second
	// acceptTime is after how long a holder that has not refused a change is
	// taken to store it. The other calls go into the same commit then.
	acceptTime = 150 * time.Millisecond
	// maxProbeTime is how long a call that tries may take before another one
	// tries as well.
	maxProbeTime = time.Second
)

// gate keeps calls from a service that does not answer. While it is closed, one
// call at a time tries, and the others wait until the holder takes it.
type gate struct {
	clock primrosespar.Clock

	mu sync.Mutex
	// opened is closed when the gate opens; nil while it is open.
	opened   chan struct{}
	closedAt time.Time
	// failedAt is when the last attempt that was not served ended.
	failedAt time.Time
	probing  bool
	probedAt time.Time
	// sentAt is when the call that tries was sent to the holder, zero while it
	// is not there.
	sentAt    time.Time
	held      int
	heldBytes int64
}

// enter reports whether a call may try now. After it has tried, leave has to be
// called with the probe that is returned.
func (g *gate) enter() (probe, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.opened == nil {
		return false, true
	}
	now := g.clock.Now()
	if g.probing && now.Sub(g.probedAt) < maxProbeTime {
		return false, !g.sentAt.IsZero() && now.Sub(g.sentAt) >= acceptTime
	}
	if now.Sub(g.probedAt) < probeInterval {
		return false, false
	}
	g.probing, g.probedAt = true, now
	return true, true
}

// leave records an attempt: that it was served, which opens the gate, or that it
// was not, which closes it. An attempt that says nothing of the service changes
// nothing. It reports whether it has closed the gate.
func (g *gate) leave(probe, served, unserved bool) (closed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if probe {
		g.probing, g.probedAt, g.sentAt = false, g.clock.Now(), time.Time{}
	}
	switch {
	case served && g.opened != nil:
		close(g.opened)
		g.opened = nil
	case unserved:
		now := g.clock.Now()
		closed = g.opened == nil
		if closed {
			g.opened, g.probedAt = make(chan struct{}), now
		}
		if closed || now.Sub(g.failedAt) > maxFailureAge {
			g.closedAt = now
		}
		g.failedAt = now
	}
	return closed
}

// setSent records whether the call that tries waits for the holder.
func (g *gate) setSent(sent bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sentAt = time.Time{}
	if sent {
		g.sentAt = g.clock.Now()
	}
}

// outage returns for how long the gate has been closed and what is held.
func (g *gate) outage() (age time.Duration, held int, heldBytes int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.opened != nil && g.clock.Since(g.failedAt) <= maxFailureAge {
		age = g.clock.Since(g.closedAt)
	}
	return age, g.held, g.heldBytes
}

// reserve takes room for a call to be held if there is room beside what is held,
// which hold gives back.
func (g *gate) reserve(bytes int64, hasRoom func(held int, heldBytes int64) bool) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !hasRoom(g.held, g.heldBytes) {
		return false
	}
	g.held++
	g.heldBytes += bytes
	return true
}

// hold waits until the gate opens or the next attempt is due, at most for d. Its
// room has been reserved.
func (g *gate) hold(ctx context.Context, d time.Duration, bytes int64) {
	g.mu.Lock()
	opened := g.opened
	g.mu.Unlock()
	defer func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.held--
		g.heldBytes -= bytes
	}()
	if opened == nil {
		return
	}
	select {
	case <-ctx.Done():
	case <-opened:
	case <-g.clock.After(min(d, probeInterval)):
	}
}
