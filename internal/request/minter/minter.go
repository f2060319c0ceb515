// Package minter mints idempotency keys that need no row in the table.
//
// A minted key contains the place, the host, the incarnation of the process and
// a sequence number. Only the process that minted a key runs it, and it keeps
// the used keys in memory. A key thus runs at most once even if the host
// crashes, because no later process has the same incarnation. A MAC, made with
// a secret of the process and covering the client account, prevents callers
// from forging keys.
//
// # Usage
//
//	key, err := m.Mint(account)
//	claim := m.Begin(ctx, call)
//	if claim.Status == minter.Run {
//		m.Finish(claim, answer, mayHaveRun)
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

// Status is the state of a minted key as it concerns one call.
type Status int

const (
	// Run means that this call holds the claim and has to run.
	Run Status = iota + 1
	// Replay means that an attempt has ended and its answer is in the Claim.
	Replay
	// InProgress means that an attempt under the key had not ended by the
	// deadline of the call.
	InProgress
	// Unknown means that the key may have run and its answer was dropped.
	Unknown
	// KeyReused means that the key was used for another class or body.
	KeyReused
	// Expired means that the key can no longer be used, or is no longer known.
	Expired
	// Foreign means that another process minted the key.
	Foreign
	// Invalid means that the key is malformed or that its MAC does not match
	// the account.
	Invalid
)

// Claim is the result of Begin.
type Claim struct {
	Status Status
	// Answer is the first answer of the key, for Replay.
	Answer primrosespar.Answer
	// Minted is the parsed key; empty for Invalid.
	Minted Minted
}

// Options are the identity, dependencies and limits of a Minter.
type Options struct {
	Place       primrosespar.Place
	Host        primrosespar.Host
	Incarnation primrosespar.Incarnation
	// Secret is the random key of the MAC. Each process must have its own.
	Secret []byte
	Clock  primrosespar.Clock
	// KeyLifetime is how long a key can be used and its answer is kept after
	// the key was minted.
	KeyLifetime time.Duration
	// MaxKeys limits the number of keys kept in memory.
	MaxKeys int
	// MaxAnswerBytes limits the total size of the answers kept in memory.
	MaxAnswerBytes int
}

// Option sets one option.
type Option func(*Options)

// WithProcess sets the identity that the keys contain and the secret of the
// MAC.
func WithProcess(place primrosespar.Place, host primrosespar.Host, incarnation primrosespar.Incarnation, secret []byte) Option {
	return func(o *Options) {
		o.Place, o.Host, o.Incarnation, o.Secret = place, host, incarnation, secret
	}
}

// WithClock sets the clock.
func WithClock(clock primrosespar.Clock) Option {
	return func(o *Options) { o.Clock = clock }
}

// WithBounds sets the lifetime of keys and the limits on memory.
func WithBounds(lifetime time.Duration, maxKeys, maxAnswerBytes int) Option {
	return func(o *Options) { o.KeyLifetime, o.MaxKeys, o.MaxAnswerBytes = lifetime, maxKeys, maxAnswerBytes }
}

// Minter mints keys and keeps the state of each. It is safe for concurrent use.
type Minter struct {
	opts Options

	mu sync.Mutex
	// firstSequence is the sequence number of keys[0]; keys[i] has that of
	// firstSequence+i.
	firstSequence uint64
	keys          []*keyState
	answerBytes   int
}

// keyState is the state of one minted key.
type keyState struct {
	expiresAt time.Time
	digest    [sha256.Size]byte
	// inFlight is closed when the attempt in flight ends; nil without an
	// attempt.
	inFlight chan struct{}
	answer   *primrosespar.Answer
	// answerDropped is set when the answer was dropped to free memory or
	// because the key expired.
	answerDropped bool
}

// New returns a Minter.
func New(opts ...Option) *Minter {
	o := Options{KeyLifetime: 10 * time.Minute, MaxKeys: 16384, MaxAnswerBytes: 8 << 20}
	for _, set := range opts {
		set(&o)
	}
	return &Minter{opts: o, firstSequence: 1}
}

// Mint returns a new key for the account.
func (m *Minter) Mint(account primrosespar.Account) (string, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.removeExpired()
	if len(m.keys) >= m.opts.MaxKeys {
		return "", primrosespar.Fail(primrosespar.CodeQueueFull, "%d minted keys have not expired yet, the limit is reached", len(m.keys))
	}
	sequence := m.firstSequence + uint64(len(m.keys))
	m.keys = append(m.keys, &keyState{expiresAt: m.opts.Clock.Now().Add(m.opts.KeyLifetime)})
	return m.newKey(account, sequence).String(), nil
}

// Begin claims the minted key of the call. It waits for an attempt in flight
// under the same key to end, at most until the deadline of the call.
func (m *Minter) Begin(ctx context.Context, call primrosespar.Call) Claim {
	minted, err := Parse(call.Key)
	if err != nil {
		return Claim{Status: Invalid}
	}
	own := minted.Incarnation == m.opts.Incarnation
	if !own {
		return Claim{Status: Foreign, Minted: minted}
	}
	if !hmac.Equal([]byte(m.newKey(call.Account, minted.Sequence).String()), []byte(call.Key)) {
		return Claim{Status: Invalid}
	}
	for {
		claim, ended := m.tryClaim(call, minted)
		if ended == nil {
			return claim
		}
		timeLeft := call.Deadline.Sub(m.opts.Clock.Now())
		select {
		case <-ended:
		case <-ctx.Done():
			return claim
		case <-m.opts.Clock.After(timeLeft):
			return claim
		}
	}
}

// tryClaim claims the key. If an attempt is in flight, it also returns the
// channel that is closed when that ends.
func (m *Minter) tryClaim(call primrosespar.Call, minted Minted) (Claim, <-chan struct{}) {
	digest := digestOf(call)
	m.mu.Lock()
	defer m.mu.Unlock()
	state := m.find(minted.Sequence)
	claim := Claim{Minted: minted}
	switch {
	case state == nil:
		claim.Status = Expired
	case (state.inFlight != nil || state.answer != nil || state.answerDropped) && state.digest != digest:
		claim.Status = KeyReused
	case state.inFlight != nil:
		claim.Status = InProgress
		return claim, state.inFlight
	case state.answerDropped:
		claim.Status = Unknown
	case state.answer != nil:
		claim.Status = Replay
		claim.Answer = *state.answer
	case !m.opts.Clock.Now().Before(state.expiresAt):
		claim.Status = Expired
	default:
		state.digest = digest
		state.inFlight = make(chan struct{})
		claim.Status = Run
	}
	return claim, nil
}

// Finish records the outcome of a claim with status Run. The key becomes free
// again only if the call cannot have run: no byte of it was sent, or the
// upstream refused it.
func (m *Minter) Finish(claim Claim, answer primrosespar.Answer, mayHaveRun bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	state := m.find(claim.Minted.Sequence)
	if state == nil || state.inFlight == nil {
		return
	}
	close(state.inFlight)
	state.inFlight = nil
	if !mayHaveRun && answer.Ran == primrosespar.RanNot {
		return
	}
	state.answer = &answer
	m.answerBytes += len(answer.Body)
	for _, old := range m.keys {
		if m.answerBytes <= m.opts.MaxAnswerBytes {
			return
		}
		m.dropAnswer(old)
	}
}

// removeExpired removes expired keys, oldest first, and stops at the first key
// that has not expired or is in flight. A key in flight delays the removal of
// later ones only until the deadline of its call.
func (m *Minter) removeExpired() {
	now := m.opts.Clock.Now()
	for len(m.keys) > 0 {
		state := m.keys[0]
		if state.inFlight != nil || now.Before(state.expiresAt) {
			return
		}
		m.dropAnswer(state)
		m.keys = m.keys[1:]
		m.firstSequence++
	}
}

// dropAnswer frees the answer of the key. The key cannot run again.
func (m *Minter) dropAnswer(state *keyState) {
	if state.answer == nil {
		return
	}
	m.answerBytes -= len(state.answer.Body)
	state.answer = nil
	state.answerDropped = true
}

// find returns the state of the key with the sequence number, nil if the key
// was removed or never minted.
func (m *Minter) find(sequence uint64) *keyState {
	if sequence < m.firstSequence || sequence-m.firstSequence >= uint64(len(m.keys)) {
		return nil
	}
	return m.keys[sequence-m.firstSequence]
}

// newKey returns the key with the sequence number and its MAC.
func (m *Minter) newKey(account primrosespar.Account, sequence uint64) Minted {
	key := Minted{Place: m.opts.Place, Host: m.opts.Host, Incarnation: m.opts.Incarnation, Sequence: sequence}
	mac := hmac.New(sha256.New, m.opts.Secret)
	mac.Write([]byte(key.String()))
	mac.Write([]byte(account))
	key.mac = base64.RawURLEncoding.EncodeToString(mac.Sum(nil)[:macBytes])
	return key
}

// digestOf returns a digest of the class and the body of the call, to detect a
// key that is reused for another request.
func digestOf(call primrosespar.Call) [sha256.Size]byte {
	return sha256.Sum256(append([]byte(string(call.Class)+"\x00"), call.Body...))
}
