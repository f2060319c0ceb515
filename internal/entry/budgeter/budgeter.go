// Package budgeter decides which connections of a port are cut when clients
// together hold more than a host can give them, or when a client is too slow.
//
// The load it answers: many clients that the operator does not control send
// heads or bodies without an end, or stop just short of it and stay connected.
// The host must keep within its memory and descriptors and still serve ordinary
// clients. Bytes are charged when they arrive, not when they are announced.
//
// When room is short, the connections that hold the most and have moved the
// least for the longest time go first; a request that makes progress goes last,
// and one that is at work is never cut. Connections from one address count
// together, so that a crowd from one machine gives way to clients elsewhere.
//
// # Usage
//
//	b := budgeter.New(limits)
//	id, cuts, ok := b.Open(address, now)
//	cuts, reason := b.Receive(id, n, now)   // bytes of a head or a body
//	cuts, ok := b.Charge(id, n, now)        // memory that a body takes
//	b.Enter(id, budgeter.Work, now)
//	b.Close(id)
//	cuts := b.Expire(now)
//
// The caller closes the connections in cuts.
package budgeter

import (
	"cmp"
	"net/netip"
	"slices"
	"sync"
	"time"
)

// Memory that a connection takes, in bytes.
const (
	// ConnectionCost is that of an open connection with its buffers.
	ConnectionCost = 16 << 10
	// headCost is the memory that a byte of a head takes while it is parsed.
	headCost = 2
	// headSlack is the part of a body that may arrive with its head.
	headSlack = 4096
)

// Figures of the order in which connections are cut.
const (
	// slackShare is the inverse of the share of a limit that is freed when it is
	// reached, so that not every new connection has to look for room.
	slackShare = 16
	// leavingShare is the inverse share of the memory that connections which were
	// cut may take before others wait for them.
	leavingShare = 4
	// steadyRate is the number of bytes a second of a client that is not slow.
	steadyRate = 64 << 10
	// minStall is the least time for which a connection counts as not moving.
	minStall = 10 * time.Millisecond
	// answeredCredit divides the weight of a connection between two requests.
	answeredCredit = 4
)

// minBodyRate is the number of bytes a second that a body has to reach beside
// the time that each body gets.
const minBodyRate = 16 << 10

// ID identifies a connection.
type ID uint64

// Phase says what a connection is doing.
type Phase int

// Phases of a connection.
const (
	// Opened connections have sent nothing yet.
	Opened Phase = iota
	// Head connections are sending the head of a request.
	Head
	// Body connections are sending the body of a request.
	Body
	// Queue connections have sent a whole request, which waits for its turn.
	Queue
	// Work connections wait for the answer to a request at work.
	Work
	// Answer connections are being sent an answer.
	Answer
	// Drain connections were answered before all of their request had come.
	Drain
	// Idle connections are between two requests.
	Idle
)

// Reason says why a connection is cut.
type Reason int

// Reasons of a cut.
const (
	None Reason = iota
	// HeadTooLarge: the head of a request exceeds the limit.
	HeadTooLarge
	// SlowHead and SlowBody: the head or the body did not arrive in time.
	SlowHead
	SlowBody
	// IdleTooLong: no request came for a long time.
	IdleTooLong
	// ShortOfMemory and ShortOfConnections: others needed the room.
	ShortOfMemory
	ShortOfConnections
	// AnswerNotRead: the client did not read its answer.
	AnswerNotRead
)

// Reasons returns the names of all reasons, as they are logged and counted.
func Reasons() map[Reason]string {
	return map[Reason]string{
		HeadTooLarge: "head_too_large", SlowHead: "slow_head", SlowBody: "slow_body", IdleTooLong: "idle",
		ShortOfMemory: "memory", ShortOfConnections: "connections", AnswerNotRead: "answer_not_read",
	}
}

// Limits bound the connections of one port. A time of 0 means no limit.
type Limits struct {
	// Connections and Bytes bound all connections together.
	Connections int
	Bytes       int64
	// HeadBytes bounds the head of one request.
	HeadBytes int64
	// HeadTimeout, BodyTimeout and IdleTimeout bound the time for a head, for a
	// body without the time that its bytes take at the least rate, and between
	// requests. AnswerTimeout bounds the time in which a client takes each part
	// of an answer.
	HeadTimeout   time.Duration
	BodyTimeout   time.Duration
	IdleTimeout   time.Duration
	AnswerTimeout time.Duration
}

// Cut names a connection that has to be closed and what it was doing.
type Cut struct {
	ID     ID
	Phase  Phase
	Reason Reason
}

// connection is the state of one connection.
type connection struct {
	id      ID
	address netip.Addr
	phase   Phase
	// held is the memory that the connection takes, received the number of
	// bytes that came in this phase.
	held     int64
	received int64
	// since is when the phase began, movedAt when bytes last came.
	since   time.Time
	movedAt time.Time
	// answered is the number of requests that were answered.
	answered int
}

// Budgeter keeps the budget of one port. It is safe for concurrent use.
type Budgeter struct {
	mu          sync.Mutex
	limits      Limits
	lastID      ID
	connections map[ID]*connection
	// bytes is the memory that all connections take, byAddress that of the
	// connections from each address.
	bytes     int64
	byAddress map[netip.Addr]int64
	// leaving is the memory of each connection that was cut and not closed yet.
	leaving      map[ID]int64
	leavingBytes int64
}

// New returns a Budgeter without connections.
func New(limits Limits) *Budgeter {
	return &Budgeter{
		limits: limits, connections: map[ID]*connection{}, byAddress: map[netip.Addr]int64{}, leaving: map[ID]int64{},
	}
}

// SetLimits changes the limits. They hold for open connections, too.
func (b *Budgeter) SetLimits(limits Limits) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limits = limits
}

// Usage returns the number of connections and the memory that they take.
func (b *Budgeter) Usage() (connections int, bytes int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.connections), b.bytes
}

// Open adds a connection. It reports false if there is no room for it, because
// all others are at work.
func (b *Budgeter) Open(address netip.Addr, now time.Time) (id ID, cuts []Cut, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lastID++
	c := &connection{id: b.lastID, address: address, since: now, movedAt: now}
	b.connections[c.id] = c
	b.hold(c, ConnectionCost)
	cuts, ok = b.makeRoom(c, true, now)
	return c.id, cuts, ok
}

// Receive records bytes that came from a connection. It returns the reason if
// the connection itself has to be cut.
func (b *Budgeter) Receive(id ID, n int, now time.Time) ([]Cut, Reason) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.connections[id]
	if c == nil {
		return nil, ShortOfMemory
	}
	if c.phase == Opened || c.phase == Idle {
		b.enter(c, Head, now)
	}
	c.movedAt = now
	c.received += int64(n)
	if c.phase != Head {
		return nil, None
	}
	if c.received > b.limits.HeadBytes+headSlack {
		b.drop(c)
		return nil, HeadTooLarge
	}
	b.hold(c, headCost*int64(n))
	cuts, ok := b.makeRoom(c, false, now)
	if !ok {
		return cuts, ShortOfMemory
	}
	return cuts, None
}

// Charge adds n bytes to what the connection holds until its request ends. It
// reports false if the connection has to be cut instead.
func (b *Budgeter) Charge(id ID, n int64, now time.Time) ([]Cut, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.connections[id]
	if c == nil {
		return nil, false
	}
	b.hold(c, n)
	return b.makeRoom(c, false, now)
}

// Enter begins a phase. With Idle, the request has ended and what it held is
// released. It reports false if the connection was cut.
func (b *Budgeter) Enter(id ID, phase Phase, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.connections[id]
	if c != nil {
		b.enter(c, phase, now)
	}
	return c != nil
}

// Answer records that a part of an answer is being sent. Other parts of the
// protocol, such as the permission to send a body, begin no answer.
func (b *Budgeter) Answer(id ID, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if c := b.connections[id]; c != nil && (c.phase == Work || c.phase == Answer) {
		b.enter(c, Answer, now)
	}
}

// Close removes a connection whose memory is free. That of one that was cut is
// not before.
func (b *Budgeter) Close(id ID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if c := b.connections[id]; c != nil {
		b.remove(c)
	}
	b.leavingBytes -= b.leaving[id]
	delete(b.leaving, id)
}

// Releasing reports whether connections that were cut still take much memory.
// Nothing should be read until they have been closed.
func (b *Budgeter) Releasing() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.leavingBytes > b.limits.Bytes/leavingShare
}

// Expire removes and returns the connections whose time is over.
func (b *Budgeter) Expire(now time.Time) []Cut {
	b.mu.Lock()
	defer b.mu.Unlock()
	var cuts []Cut
	for _, c := range b.connections {
		if reason := b.expired(c, now); reason != None {
			cuts = append(cuts, Cut{c.id, c.phase, reason})
			b.drop(c)
		}
	}
	return cuts
}

// expired returns why the time of a connection is over, or None.
func (b *Budgeter) expired(c *connection, now time.Time) Reason {
	elapsed := now.Sub(c.since)
	over := func(limit time.Duration) bool { return limit > 0 && elapsed >= limit }
	switch {
	case (c.phase == Opened || c.phase == Idle) && over(b.limits.IdleTimeout):
		return IdleTooLong
	case c.phase == Head && over(b.limits.HeadTimeout):
		return SlowHead
	case c.phase == Answer && over(b.limits.AnswerTimeout):
		return AnswerNotRead
	case (c.phase == Body || c.phase == Drain) && b.limits.BodyTimeout > 0 && over(b.limits.BodyTimeout+transferTime(c.received, minBodyRate)):
		return SlowBody
	}
	return None
}

// enter begins a phase of a connection.
func (b *Budgeter) enter(c *connection, phase Phase, now time.Time) {
	if phase == Idle {
		b.hold(c, ConnectionCost-c.held)
		c.answered++
	}
	c.phase, c.since, c.movedAt, c.received = phase, now, now, 0
}

// hold changes the memory that a connection takes by n bytes.
func (b *Budgeter) hold(c *connection, n int64) {
	c.held += n
	b.bytes += n
	b.byAddress[c.address] += n
}

// drop removes a connection that is cut.
func (b *Budgeter) drop(c *connection) {
	b.leaving[c.id] = c.held
	b.leavingBytes += c.held
	b.remove(c)
}

// remove forgets a connection.
func (b *Budgeter) remove(c *connection) {
	b.hold(c, -c.held)
	if b.byAddress[c.address] == 0 {
		delete(b.byAddress, c.address)
	}
	delete(b.connections, c.id)
}

// makeRoom cuts connections until the limits hold again. It reports whether the
// connection for which it makes room may stay; a new one does if any other can
// be cut.
func (b *Budgeter) makeRoom(wanting *connection, isNew bool, now time.Time) (cuts []Cut, ok bool) {
	reason := b.shortage(0)
	if reason == None {
		return nil, true
	}
	for _, c := range b.byWeight(now) {
		if b.shortage(slackShare) == None {
			break
		}
		if c == wanting {
			// Freeing some extra room is no reason to cut it.
			if !isNew && b.shortage(0) != None {
				b.drop(c)
				return cuts, false
			}
			continue
		}
		cuts = append(cuts, Cut{c.id, c.phase, reason})
		b.drop(c)
	}
	if b.shortage(0) != None {
		b.drop(wanting)
		return cuts, false
	}
	return cuts, true
}

// shortage returns which limit is exceeded. A share above 0 leaves that part of
// the limits free.
func (b *Budgeter) shortage(share int) Reason {
	connections, bytes := b.limits.Connections, b.limits.Bytes
	if share > 0 {
		connections -= connections / share
		bytes -= bytes / int64(share)
	}
	switch {
	case len(b.connections) > connections:
		return ShortOfConnections
	case b.bytes > bytes:
		return ShortOfMemory
	}
	return None
}

// byWeight returns the connections that may be cut, the one to cut first at the
// start.
func (b *Budgeter) byWeight(now time.Time) []*connection {
	type weighed struct {
		*connection
		weight float64
	}
	list := make([]weighed, 0, len(b.connections))
	for _, c := range b.connections {
		if c.phase != Work {
			list = append(list, weighed{c, b.weight(c, now)})
		}
	}
	slices.SortFunc(list, func(x, y weighed) int {
		return cmp.Or(cmp.Compare(y.weight, x.weight), cmp.Compare(x.id, y.id))
	})
	ordered := make([]*connection, len(list))
	for i := range list {
		ordered[i] = list[i].connection
	}
	return ordered
}

// weight grows with what a connection holds, for how long it has not moved and
// what its address holds. Among those that wait for their turn, clients that had
// more answers give way.
func (b *Budgeter) weight(c *connection, now time.Time) float64 {
	late := now.Sub(c.since) - transferTime(c.received, steadyRate)
	stall := max(minStall, now.Sub(c.movedAt), late)
	weight := float64(c.held) * stall.Seconds() * float64(b.byAddress[c.address])
	if c.phase == Idle {
		weight /= answeredCredit
	}
	if c.phase == Queue {
		weight *= float64(1 + c.answered)
	}
	return weight
}

// transferTime returns how long the bytes take at the rate.
func transferTime(bytes int64, rate int64) time.Duration {
	return time.Duration(float64(bytes) / float64(rate) * float64(time.Second))
}
