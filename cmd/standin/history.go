package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/operator/caller"
)

// call is one call of a caller and what came back.
type call struct {
	Account primrosespar.Account `json:"account"`
	Class   primrosespar.Class   `json:"class"`
	Key     string               `json:"key"`
	Host    string               `json:"host"`
	// Process is the host's process, which differs from that of a restarted
	// host of the same name.
	Process int                `json:"process"`
	Place   primrosespar.Place `json:"place"`
	Once    bool               `json:"once,omitempty"`
	Minted  bool               `json:"minted,omitempty"`
	First   bool               `json:"first,omitempty"`
	Start   time.Time          `json:"start"`
	End     time.Time          `json:"end"`
	Status  int                `json:"status"`
	Code    string             `json:"code"`
	Ran     primrosespar.Ran   `json:"ran"`
	// Answer is the body of an answer of the upstream.
	Answer string `json:"answer,omitempty"`
	// Dialled is set if the connection was made; Cut if it then broke or ended
	// before the whole answer; Late if the caller's time ran out.
	Dialled bool `json:"dialled,omitempty"`
	Cut     bool `json:"cut,omitempty"`
	Late    bool `json:"late,omitempty"`
}

// ok reports whether the call returned the whole answer of a run.
func (c call) ok() bool { return c.Status == http.StatusOK }

// notRun reports whether the call was refused as not run. A connection that
// was never made carried nothing, but such a call makes no statement.
func (c call) notRun() bool { return !c.ok() && c.Ran == primrosespar.RanNot }

// history records calls.
type history struct {
	mu    sync.Mutex
	calls []call
}

func (h *history) add(c call) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.calls = append(h.calls, c)
}

// callers plays the callers of a trial.
type callers struct {
	deployment *deployment
	history    *history
	client     *http.Client
	seed       uint64
}

func newCallers(d *deployment, seed uint64) *callers {
	// Each call has a connection of its own, so that a broken connection
	// belongs to exactly one call.
	transport := &http.Transport{DisableKeepAlives: true}
	return &callers{deployment: d, history: &history{}, seed: seed, client: &http.Client{Timeout: callTimeout, Transport: transport}}
}

// Pauses between the requests of one account in one place. Minted keys stay
// below the offline rates of the example contracts, which are 10 per second
// and place and are shared by its hosts.
const (
	trialOncePause     = 120 * time.Millisecond
	trialFrequentPause = 150 * time.Millisecond
	trialMintedPause   = 500 * time.Millisecond
)

// Shares of requests that are sent at one instant to two hosts, of first calls
// that say so, of answers that are asked for again, and of calls that are
// repeated in another place.
const (
	pairShare      = 0.2
	firstShare     = 0.5
	repeatShare    = 0.1
	elsewhereShare = 0.15
)

// run sends requests of every kind until ctx ends and waits for the answers.
func (l *callers) run(ctx context.Context, s scenario) {
	var wg sync.WaitGroup
	for _, account := range []primrosespar.Account{s.owner, s.borrower} {
		for i, p := range l.deployment.settings.Places {
			streams := []call{
				{Account: account, Class: s.once, Place: p.Place, Once: true},
				{Account: account, Class: s.frequent, Place: p.Place},
				{Account: account, Class: s.once, Place: p.Place, Once: true, Minted: true},
			}
			pauses := []time.Duration{trialOncePause, trialFrequentPause, trialMintedPause}
			for k, kind := range streams {
				random := rand.New(rand.NewPCG(l.seed, uint64(len(account)*1000+i*10+k)))
				wg.Go(func() { l.stream(ctx, kind, pauses[k], random) })
			}
		}
	}
	wg.Go(func() { l.repeat(ctx) })
	wg.Wait()
}

// repeatPause is the time between calls of keys that have had their answer.
const repeatPause = 50 * time.Millisecond

// repeat calls old keys again at any host, also while a fault keeps the host
// from knowing what became of them.
func (l *callers) repeat(ctx context.Context) {
	random := rand.New(rand.NewPCG(l.seed, 2))
	var wg sync.WaitGroup
	defer wg.Wait()
	for ctx.Err() == nil {
		time.Sleep(repeatPause)
		if old, ok := l.history.any(random); ok && old.Once {
			again := call{Account: old.Account, Class: old.Class, Key: old.Key, Once: true, Minted: old.Minted}
			host := l.deployment.pick(old.Place, random.IntN(1<<16))
			wg.Go(func() { l.call(context.WithoutCancel(ctx), again, host) })
		}
	}
}

// any returns one of the calls.
func (h *history) any(random *rand.Rand) (call, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.calls) == 0 {
		return call{}, false
	}
	return h.calls[random.IntN(len(h.calls))], true
}

// stream sends one request after each pause.
func (l *callers) stream(ctx context.Context, kind call, pause time.Duration, random *rand.Rand) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for turn := 0; ctx.Err() == nil; turn++ {
		request := kind
		request.Key = fmt.Sprintf("%s-%s-%s-%d", kind.Class, kind.Account, kind.Place, turn)
		seed := random.Uint64()
		wg.Go(func() { l.request(context.WithoutCancel(ctx), request, rand.New(rand.NewPCG(seed, 0))) })
		time.Sleep(pause)
	}
}

// request asks for one request until it has an answer, each time with the same
// key: at one host, or at the same instant at two, then at others.
func (l *callers) request(ctx context.Context, request call, random *rand.Rand) {
	turn := random.IntN(1 << 16)
	if request.Minted {
		host := l.deployment.pick(request.Place, turn)
		if host == nil || !l.mint(ctx, &request, host) {
			return
		}
		// Half of the minted keys go first to the process that minted them.
		turn += random.IntN(2)
	}
	paired := random.Float64() < pairShare
	if paired {
		l.pair(ctx, request, turn)
	}
	for n := range maxCalls {
		place := request.Place
		if n > 0 && !request.Minted && random.Float64() < elsewhereShare {
			places := l.deployment.settings.Places
			place = places[random.IntN(len(places))].Place
		}
		one := request
		one.First = n == 0 && !paired && random.Float64() < firstShare
		done := l.call(ctx, one, l.deployment.pick(place, turn+n))
		if done && random.Float64() >= repeatShare {
			return
		}
		time.Sleep(callPause)
	}
}

// pair sends the request at the same instant to two hosts of the place.
func (l *callers) pair(ctx context.Context, request call, turn int) {
	var wg sync.WaitGroup
	for i := range 2 {
		wg.Go(func() { l.call(ctx, request, l.deployment.pick(request.Place, turn+i)) })
	}
	wg.Wait()
}

// mint asks the host for a key.
func (l *callers) mint(ctx context.Context, request *call, host *entryHost) bool {
	out, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+host.addresses.Callers.String()+"/v1/keys", nil)
	if err != nil {
		return false
	}
	out.Header.Set("Authorization", "Bearer "+l.deployment.token(request.Account))
	response, err := l.client.Do(out)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	var answer struct {
		Key string `json:"key"`
	}
	if json.NewDecoder(response.Body).Decode(&answer) != nil || answer.Key == "" {
		return false
	}
	request.Key = answer.Key
	return true
}

// call sends the request once, records the call and reports whether it brought
// the answer.
func (l *callers) call(ctx context.Context, c call, host *entryHost) bool {
	if host == nil {
		return false
	}
	c.Host, c.Process, c.Place = string(host.name), host.process.cmd.Process.Pid, host.place
	c.Start = time.Now()
	l.exchange(ctx, &c, host)
	c.End = time.Now()
	l.history.add(c)
	return c.ok()
}

// bodyOf is the body of every call with the key.
func bodyOf(key string) []byte { return []byte("body of " + key) }

func (l *callers) exchange(ctx context.Context, c *call, host *entryHost) {
	url := "http://" + host.addresses.Callers.String() + "/v1/requests/" + string(c.Class)
	out, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(bodyOf(c.Key)))
	if err != nil {
		return
	}
	out.Header.Set("Authorization", "Bearer "+l.deployment.token(c.Account))
	out.Header.Set(caller.HeaderRequestKey, c.Key)
	if c.First {
		out.Header.Set("X-First-Attempt", "1")
	}
	c.Code, c.Dialled = "no_answer", true
	response, err := l.client.Do(out)
	if err != nil {
		l.broken(c, err)
		return
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		l.broken(c, err)
		return
	}
	c.Status = response.StatusCode
	c.Code = response.Header.Get(caller.HeaderResultCode)
	var refusal caller.Refusal
	if json.Unmarshal(data, &refusal) == nil && refusal.Name != "" {
		c.Code, c.Ran = refusal.Name, refusal.Ran
		return
	}
	c.Answer = string(data)
}

// broken records a call without a whole answer.
func (l *callers) broken(c *call, err error) {
	var op *net.OpError
	var timeout net.Error
	c.Dialled = !errors.As(err, &op) || op.Op != "dial"
	c.Late = errors.As(err, &timeout) && timeout.Timeout()
	c.Cut = c.Dialled && !c.Late
}

// askAgain repeats calls of keys of non-idempotent classes once all faults are
// over, so that replays after every fault are seen.
func (l *callers) askAgain(ctx context.Context, limit int) {
	seen := map[string]bool{}
	var again []call
	l.history.mu.Lock()
	for _, c := range l.history.calls {
		if c.Once && !seen[c.Key] && len(again) < limit {
			seen[c.Key] = true
			again = append(again, call{Account: c.Account, Class: c.Class, Key: c.Key, Place: c.Place, Once: true, Minted: c.Minted})
		}
	}
	l.history.mu.Unlock()
	for i, c := range again {
		l.call(ctx, c, l.deployment.pick(c.Place, i))
	}
}
