// Package minter makes idempotency keys that need no table.
//
// A minted key names the place, the host, the incarnation of its process and a
// sequence number. Only that process runs it, and it remembers which keys it
// has used, so a key runs at most once even if the host dies: no later process
// has the same incarnation. A MAC under a secret of the process keeps callers
// from inventing keys; it covers the client account.
//
// # Usage
//
//	key, err := m.Mint(account)
//	claim := m.Begin(ctx, call)
//	if claim.Status == minter.Run {
//		m.Finish(claim, answer, sent)
//	}
package minter

import (
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"sync"
	"time"

	"primrosespar.example/primrosespar"
)

// Status says what a caller may do with its minted key.
type Status int

// Statuses. Foreign is a key of another process, Invalid one that no process
// minted for this account.
const (
	Run Status = iota + 1
	Replay
	InProgress
	Unknown
	KeyReused
	Expired
	Foreign
	Invalid
)

// Claim is the result of Begin.
type Claim struct {
	Status Status
	// Answer is the first answer for Replay.
	Answer primrosespar.Answer
	// Minted is the parsed key, except for Invalid.
	Minted Minted
}

// Options are the parts and bounds of a Minter.
type Options struct {
	Place       primrosespar.Place
	Host        primrosespar.Host
	Incarnation primrosespar.Incarnation
	// Secret is the random key of the MAC; it must differ in each process.
	Secret []byte
	Clock  primrosespar.Clock
	// Life is how long a key can be used and its answer is kept.
	Life time.Duration
	// MaxKeys bounds the keys that are remembered at once.
	MaxKeys int
	// MaxBytes bounds the answers that are remembered at once.
	MaxBytes int
}

// Option sets one of the Options.
type Option func(*Options)

// WithProcess sets the names that keys carry and the secret of the MAC.
func WithProcess(place primrosespar.Place, host primrosespar.Host, incarnation primrosespar.Incarnation, secret []byte) Option {
	return func(o *Options) {
		o.Place, o.Host, o.Incarnation, o.Secret = place, host, incarnation, secret
	}
}

// WithClock sets the clock.
func WithClock(clock primrosespar.Clock) Option {
	return func(o *Options) { o.Clock = clock }
}

// WithBounds sets the life of keys and the bounds of the memory.
func WithBounds(life time.Duration, keys, bytes int) Option {
	return func(o *Options) { o.Life, o.MaxKeys, o.MaxBytes = life, keys, bytes }
}

// Minter mints keys and remembers their use. It is safe for concurrent use.
type Minter struct {
	opts Options

	mu sync.Mutex
	// first is the lowest sequence in uses; uses[i] belongs to first+i.
	first uint64
	uses  []*use
	bytes int
}

// use is what is known about one key.
type use struct {
	expires time.Time
	digest  [sha256.Size]byte
	// ended is closed at the end of the attempt in flight, nil without one.
	ended  chan struct{}
	answer *primrosespar.Answer
	// lost is set once the answer was dropped for lack of memory.
	lost bool
}

// New returns a Minter.
func New(opts ...Option) *Minter {
	o := Options{Life: 10 * time.Minute, MaxKeys: 16384, MaxBytes: 8 << 20}
	for _, set := range opts {
		set(&o)
	}
	return &Minter{opts: o, first: 1}
}

// Mint returns a new key for the account.
func (m *Minter) Mint(account primrosespar.Account) (string, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.forget()
	if len(m.uses) >= m.opts.MaxKeys {
		return "", primrosespar.Fail(primrosespar.CodeQueueFull, "%d minted keys are still in use", len(m.uses))
	}
	sequence := m.first + uint64(len(m.uses))
	m.uses = append(m.uses, &use{expires: m.opts.Clock.Now().Add(m.opts.Life)})
	return m.key(account, sequence).String(), nil
}

// Begin claims the minted key of the call and waits up to the call's deadline
// for an attempt in flight under the same key.
func (m *Minter) Begin(ctx context.Context, call primrosespar.Call) Claim {
	minted, err := Parse(call.Key)
	if err != nil {
		return Claim{Status: Invalid}
	}
	own := minted.Incarnation == m.opts.Incarnation
	if !own {
		return Claim{Status: Foreign, Minted: minted}
	}
	if !hmac.Equal([]byte(m.key(call.Account, minted.Sequence).String()), []byte(call.Key)) {
		return Claim{Status: Invalid}
	}
	for {
		claim, ended := m.try(call, minted)
		if ended == nil {
			return claim
		}
		left := call.Deadline.Sub(m.opts.Clock.Now())
		select {
		case <-ended:
		case <-ctx.Done():
			return claim
		case <-m.opts.Clock.After(left):
			return claim
		}
	}
}

// try claims the key, or returns the channel that closes with the attempt in
// flight.
func (m *Minter) try(call primrosespar.Call, minted Minted) (Claim, <-chan struct{}) {
	digest := digestOf(call)
	m.mu.Lock()
	defer m.mu.Unlock()
	u := m.find(minted.Sequence)
	claim := Claim{Minted: minted}
	switch {
	case u == nil:
		claim.Status = Expired
	case (u.ended != nil || u.answer != nil || u.lost) && u.digest != digest:
		claim.Status = KeyReused
	case u.ended != nil:
		claim.Status = InProgress
		return claim, u.ended
	case u.lost:
		claim.Status = Unknown
	case u.answer != nil:
		claim.Status = Replay
		claim.Answer = *u.answer
	case !m.opts.Clock.Now().Before(u.expires):
		claim.Status = Expired
	default:
		u.digest = digest
		u.ended = make(chan struct{})
		claim.Status = Run
	}
	return claim, nil
}

// Finish ends a claim with status Run. The key becomes free again only if the
// call cannot have run: no byte of it was sent, or the upstream refused it.
func (m *Minter) Finish(claim Claim, answer primrosespar.Answer, mayHaveRun bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	u := m.find(claim.Minted.Sequence)
	if u == nil || u.ended == nil {
		return
	}
	close(u.ended)
	u.ended = nil
	if !mayHaveRun && answer.Ran == primrosespar.RanNot {
		return
	}
	u.answer = &answer
	m.bytes += len(answer.Body)
	for _, old := range m.uses {
		if m.bytes <= m.opts.MaxBytes {
			return
		}
		m.drop(old)
	}
}

// forget removes expired keys from the front. A key in flight is kept, and
// what follows it waits: calls end within their deadlines.
func (m *Minter) forget() {
	now := m.opts.Clock.Now()
	for len(m.uses) > 0 {
		u := m.uses[0]
		if u.ended != nil || now.Before(u.expires) {
			return
		}
		m.drop(u)
		m.uses = m.uses[1:]
		m.first++
	}
}

// drop frees the answer of a key; the key never runs again.
func (m *Minter) drop(u *use) {
	if u.answer == nil {
		return
	}
	m.bytes -= len(u.answer.Body)
	u.answer = nil
	u.lost = true
}

// find returns what is known of the sequence, nil if it was forgotten or
// never minted.
func (m *Minter) find(sequence uint64) *use {
	if sequence < m.first || sequence-m.first >= uint64(len(m.uses)) {
		return nil
	}
	return m.uses[sequence-m.first]
}

// key builds the key of a sequence with its MAC.
func (m *Minter) key(account primrosespar.Account, sequence uint64) Minted {
	minted := Minted{Place: m.opts.Place, Host: m.opts.Host, Incarnation: m.opts.Incarnation, Sequence: sequence}
	mac := hmac.New(sha256.New, m.opts.Secret)
	mac.Write([]byte(minted.String()))
	mac.Write([]byte(account))
	minted.mac = base64.RawURLEncoding.EncodeToString(mac.Sum(nil)[:macBytes])
	return minted
}

// digestOf identifies what a key was used for: the class and the body.
func digestOf(call primrosespar.Call) [sha256.Size]byte {
	return sha256.Sum256(append([]byte(string(call.Class)+"\x00"), call.Body...))
}
