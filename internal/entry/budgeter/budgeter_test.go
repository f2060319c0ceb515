package budgeter_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosespar.example/primrosespar/internal/entry/budgeter"
)

// limits are those of a small host.
func limits() budgeter.Limits {
	return budgeter.Limits{
		Connections: 100, Bytes: 8 << 20, HeadBytes: 16 << 10,
		HeadTimeout: 3 * time.Second, BodyTimeout: 10 * time.Second, IdleTimeout: 15 * time.Second, AnswerTimeout: 12 * time.Second,
	}
}

// port is a port with a budget at a time that the test sets.
type port struct {
	*budgeter.Budgeter
	t   *testing.T
	now time.Time
	cut map[budgeter.ID]budgeter.Cut
}

func newPort(t *testing.T) *port {
	return &port{Budgeter: budgeter.New(limits()), t: t, now: time.Unix(1000, 0), cut: map[budgeter.ID]budgeter.Cut{}}
}

func (p *port) note(cuts []budgeter.Cut) {
	for _, cut := range cuts {
		p.cut[cut.ID] = cut
		p.Close(cut.ID)
	}
}

// open opens a connection from 10.0.0.host.
func (p *port) open(host byte) (budgeter.ID, bool) {
	id, cuts, ok := p.Open(netip.AddrFrom4([4]byte{10, 0, 0, host}), p.now)
	p.note(cuts)
	return id, ok
}

func (p *port) receive(id budgeter.ID, n int) budgeter.Reason {
	cuts, reason := p.Receive(id, n, p.now)
	p.note(cuts)
	return reason
}

// body sends a whole head and n bytes of a body in pieces. It reports whether
// the connection is still open.
func (p *port) body(id budgeter.ID, n int) bool {
	const piece = 16 << 10
	if p.receive(id, 300) != budgeter.None || !p.Enter(id, budgeter.Body, p.now) {
		return false
	}
	for ; n > 0; n -= piece {
		if p.receive(id, min(n, piece)) != budgeter.None {
			return false
		}
		cuts, ok := p.Charge(id, int64(min(n, piece)), p.now)
		p.note(cuts)
		if !ok {
			return false
		}
	}
	return true
}

// ordinary plays an ordinary request, with the crowd between its steps. It
// reports whether it was served.
func (p *port) ordinary(host byte, crowd func()) bool {
	id, ok := p.open(host)
	if !ok {
		return false
	}
	crowd()
	if !p.body(id, 2000) {
		return false
	}
	crowd()
	if !p.Enter(id, budgeter.Queue, p.now) {
		return false
	}
	crowd()
	return p.Enter(id, budgeter.Work, p.now) && p.Enter(id, budgeter.Answer, p.now) && p.Enter(id, budgeter.Idle, p.now)
}

// TestOrdinaryCallerIsServedBesideStalledBodies answers a crowd of clients, at
// one address with all others, whose bodies stop just short of their end.
func TestOrdinaryCallerIsServedBesideStalledBodies(t *testing.T) {
	p := newPort(t)
	crowd := func() {
		for range 20 {
			id, ok := p.open(1)
			require.True(t, ok)
			p.body(id, 256<<10)
			p.now = p.now.Add(time.Millisecond)
			connections, bytes := p.Usage()
			require.LessOrEqual(t, connections, limits().Connections)
			require.LessOrEqual(t, bytes, limits().Bytes)
		}
	}
	for range 20 {
		crowd()
		require.True(t, p.ordinary(1, crowd))
	}
	require.NotEmpty(t, p.cut)
}

// TestOrdinaryCallerIsServedBesideSilentConnections answers a crowd that opens
// connections and sends nothing.
func TestOrdinaryCallerIsServedBesideSilentConnections(t *testing.T) {
	p := newPort(t)
	crowd := func() {
		for range 20 {
			_, ok := p.open(1)
			require.True(t, ok)
			p.now = p.now.Add(time.Millisecond)
		}
	}
	for range 20 {
		crowd()
		require.True(t, p.ordinary(1, crowd))
	}
	require.NotEmpty(t, p.cut)
}

// TestNewClientDisplacesOneThatWasAnsweredOften answers a crowd that pipelines
// valid requests, so that all others wait for their turn.
func TestNewClientDisplacesOneThatWasAnsweredOften(t *testing.T) {
	p := newPort(t)
	id, ok := p.open(1)
	require.True(t, ok)
	require.Equal(t, budgeter.None, p.receive(id, 300))
	require.True(t, p.Enter(id, budgeter.Queue, p.now))
	p.now = p.now.Add(20 * time.Millisecond)
	for range limits().Connections + 50 {
		other, ok := p.open(1)
		require.True(t, ok)
		for range 50 {
			p.receive(other, 300)
			p.Enter(other, budgeter.Idle, p.now)
		}
		p.receive(other, 300)
		require.True(t, p.Enter(other, budgeter.Queue, p.now))
	}
	p.now = p.now.Add(20 * time.Millisecond)
	_, ok = p.open(1)
	require.True(t, ok)
	require.True(t, p.Enter(id, budgeter.Work, p.now))
}

// TestCrowdAtOneAddressGivesWay answers clients of one address that hold as much
// as single clients elsewhere.
func TestCrowdAtOneAddressGivesWay(t *testing.T) {
	p := newPort(t)
	single, _ := p.open(2)
	require.True(t, p.body(single, 64<<10))
	for range 200 {
		id, _ := p.open(1)
		p.body(id, 64<<10)
	}
	require.NotEmpty(t, p.cut)
	require.NotContains(t, p.cut, single)
}

// TestRequestAtWorkIsNotCut checks that a connection is refused rather than one
// cut whose request may have run.
func TestRequestAtWorkIsNotCut(t *testing.T) {
	p := newPort(t)
	for range limits().Connections {
		id, ok := p.open(1)
		require.True(t, ok)
		require.True(t, p.Enter(id, budgeter.Work, p.now))
	}
	_, ok := p.open(1)
	require.False(t, ok)
	require.Empty(t, p.cut)
}

// TestHeadIsBounded checks that a head without end is cut, and the largest legal
// one is not.
func TestHeadIsBounded(t *testing.T) {
	p := newPort(t)
	id, _ := p.open(1)
	require.Equal(t, budgeter.None, p.receive(id, 16<<10))
	require.Equal(t, budgeter.None, p.receive(id, 4096))
	require.Equal(t, budgeter.HeadTooLarge, p.receive(id, 1))
}

// TestSlowClientsAreCut checks the time of each phase, which a client that makes
// progress does not exceed.
func TestSlowClientsAreCut(t *testing.T) {
	p := newPort(t)
	ids := map[budgeter.Reason]budgeter.ID{}
	ids[budgeter.IdleTooLong], _ = p.open(1)
	ids[budgeter.SlowHead], _ = p.open(1)
	p.receive(ids[budgeter.SlowHead], 1)
	ids[budgeter.SlowBody], _ = p.open(1)
	require.True(t, p.body(ids[budgeter.SlowBody], 1000))
	ids[budgeter.AnswerNotRead], _ = p.open(1)
	require.True(t, p.Enter(ids[budgeter.AnswerNotRead], budgeter.Work, p.now))
	p.Answer(ids[budgeter.AnswerNotRead], p.now)
	atWork, _ := p.open(1)
	require.True(t, p.Enter(atWork, budgeter.Work, p.now))
	steady, _ := p.open(1)
	require.True(t, p.Enter(steady, budgeter.Body, p.now))
	for range 15 {
		p.now = p.now.Add(time.Second)
		p.receive(steady, 17<<10)
		p.note(p.Expire(p.now))
	}
	for reason, id := range ids {
		require.Equal(t, reason, p.cut[id].Reason)
	}
	require.Len(t, p.cut, len(ids))
}

// TestCutConnectionHoldsItsMemoryUntilItIsClosed checks that nothing is read
// while connections that were cut still take much memory.
func TestCutConnectionHoldsItsMemoryUntilItIsClosed(t *testing.T) {
	b := budgeter.New(limits())
	now := time.Unix(1000, 0)
	var cuts []budgeter.Cut
	for range 40 {
		id, _, _ := b.Open(netip.Addr{}, now)
		more, _ := b.Charge(id, 1<<20, now)
		cuts = append(cuts, more...)
	}
	require.True(t, b.Releasing())
	for _, cut := range cuts {
		b.Close(cut.ID)
	}
	require.False(t, b.Releasing())
}

// TestClosedConnectionsLeaveNothing checks that the budget is whole again.
func TestClosedConnectionsLeaveNothing(t *testing.T) {
	p := newPort(t)
	var ids []budgeter.ID
	for i := range 200 {
		id, _ := p.open(byte(i))
		p.body(id, i*1000)
		ids = append(ids, id)
	}
	for _, id := range ids {
		p.Close(id)
	}
	connections, bytes := p.Usage()
	require.Zero(t, connections)
	require.Zero(t, bytes)
}
