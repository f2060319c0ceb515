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
// key for this account.
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
	// KeyLifetime is how long a key can be used and its answer is kept.
	KeyLifetime time.Duration
	// MaxKeys bounds the keys that are remembered at once.
	MaxKeys int
	// MaxAnswerBytes bounds the answers that are remembered at once.
	MaxAnswerBytes int
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
func WithBounds(lifetime time.Duration, maxKeys, maxAnswerBytes int) Option {
	return func(o *Options) { o.KeyLifetime, o.MaxKeys, o.MaxAnswerBytes = lifetime, maxKeys, maxAnswerBytes }
}

// Minter mints keys and remembers their use. It is safe for concurrent use.
type Minter struct {
	opts Options

	mu sync.Mutex
	// firstSequence is the lowest sequence in uses; uses[i] belongs to first+i.
	firstSequence uint64
	keys          []*keyState
	answerBytes   int
}

// keyState is what is known about one key.
type keyState struct {
	expiresAt time.Time
	digest    [sha256.Size]byte
	// inFlight is closed at the end of the attempt in flight, nil without one.
	inFlight chan struct{}
	answer   *primrosespar.Answer
	// answerDropped is set once the answer was dropped for lack of memory.
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
		return "", primrosespar.Fail(primrosespar.CodeQueueFull, "%d minted keys are still in use", len(m.keys))
	}
	sequence := m.firstSequence + uint64(len(m.keys))
	m.keys = append(m.keys, &keyState{expiresAt: m.opts.Clock.Now().Add(m.opts.KeyLifetime)})
	return m.newKey(account, sequence).String(), nil
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

// tryClaim claims the key, or returns the channel that closes with the attempt in
// flight.
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

// Finish ends a claim with status Run. The key becomes free again only if the
// call cannot have run: no byte of it was sent, or the upstream refused it.
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

// removeExpired removes expired keys from the front. A key in flight is kept, and
// what follows it waits: calls end within their deadlines.
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

// dropAnswer frees the answer of a key; the key never runs again.
func (m *Minter) dropAnswer(state *keyState) {
	if state.answer == nil {
		return
	}
	m.answerBytes -= len(state.answer.Body)
	state.answer = nil
	state.answerDropped = true
}

// find returns what is known of the sequence, nil if it was forgotten or
// never minted.
func (m *Minter) find(sequence uint64) *keyState {
	if sequence < m.firstSequence || sequence-m.firstSequence >= uint64(len(m.keys)) {
		return nil
	}
	return m.keys[sequence-m.firstSequence]
}

// newKey builds the key of a sequence with its MAC.
func (m *Minter) newKey(account primrosespar.Account, sequence uint64) Minted {
	key := Minted{Place: m.opts.Place, Host: m.opts.Host, Incarnation: m.opts.Incarnation, Sequence: sequence}
	mac := hmac.New(sha256.New, m.opts.Secret)
	mac.Write([]byte(key.String()))
	mac.Write([]byte(account))
	key.mac = base64.RawURLEncoding.EncodeToString(mac.Sum(nil)[:macBytes])
	return key
}

// digestOf identifies what a key was used for: the class and the body.
func digestOf(call primrosespar.Call) [sha256.Size]byte {
	return sha256.Sum256(append([]byte(string(call.Class)+"\x00"), call.Body...))
}
