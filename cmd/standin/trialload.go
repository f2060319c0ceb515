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

// call is one call of a caller and its response.
type call struct {
	Account primrosespar.Account `json:"account"`
	Class   primrosespar.Class   `json:"class"`
	Key     string               `json:"key"`
	Host    string               `json:"host"`
	// PID is the process ID of the host; a restarted host of the same name has
	// another.
	PID           int                `json:"process"`
	Place         primrosespar.Place `json:"place"`
	NonIdempotent bool               `json:"once,omitempty"`
	Minted        bool               `json:"minted,omitempty"`
	FirstAttempt  bool               `json:"first,omitempty"`
	Start         time.Time          `json:"start"`
	End           time.Time          `json:"end"`
	Status        int                `json:"status"`
	Code          string             `json:"code"`
	Ran           primrosespar.Ran   `json:"ran"`
	// Answer is the body of the upstream's answer.
	Answer string `json:"answer,omitempty"`
	// Connected is set if the connection was made, Broken if it then ended
	// before the whole answer, and TimedOut if the caller's timeout expired.
	Connected bool `json:"dialled,omitempty"`
	Broken    bool `json:"cut,omitempty"`
	TimedOut  bool `json:"late,omitempty"`
}

// answered reports whether the call returned the complete answer of a run.
func (c call) answered() bool { return c.Status == http.StatusOK }

// notRun reports whether the response says that the request was not run. A
// failed connection carried no request either, but nothing stated so.
func (c call) notRun() bool { return !c.answered() && c.Ran == primrosespar.RanNot }

// callHistory records calls; it is safe for concurrent use.
type callHistory struct {
	mu    sync.Mutex
	calls []call
}

func (h *callHistory) add(c call) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.calls = append(h.calls, c)
}

// trialLoad sends the requests of a trial's callers.
type trialLoad struct {
	deployment *deployment
	history    *callHistory
	client     *http.Client
	seed       uint64
}

func newTrialLoad(d *deployment, seed uint64) *trialLoad {
	// Each call has a connection of its own, so that a broken connection
	// affects exactly one call.
	transport := &http.Transport{DisableKeepAlives: true}
	return &trialLoad{deployment: d, history: &callHistory{}, seed: seed, client: &http.Client{Timeout: callTimeout, Transport: transport}}
}

// Pauses between the requests of one account in one place. Minted keys stay
// below the offline rate of the example contracts: 10 per second for all hosts
// of a place together.
const (
	trialNonIdempotentInterval = 120 * time.Millisecond
	trialIdempotentInterval    = 150 * time.Millisecond
	trialMintedInterval        = 500 * time.Millisecond
)

const (
	// pairShare of the requests are sent to two hosts at the same time.
	pairShare = 0.2
	// firstAttemptShare of the first attempts are marked as such.
	firstAttemptShare = 0.5
	// repeatShare of the answered calls are repeated.
	repeatShare = 0.1
	// otherPlaceShare of the retries without a minted key go to a random place.
	otherPlaceShare = 0.15
)

// run sends requests of both classes and with minted keys until ctx ends, and
// waits for the answers.
func (l *trialLoad) run(ctx context.Context, sc scenario) {
	var wg sync.WaitGroup
	for _, account := range []primrosespar.Account{sc.owner, sc.borrower} {
		for i, p := range l.deployment.settings.Places {
			templates := []call{
				{Account: account, Class: sc.nonIdempotent, Place: p.Place, NonIdempotent: true},
				{Account: account, Class: sc.idempotent, Place: p.Place},
				{Account: account, Class: sc.nonIdempotent, Place: p.Place, NonIdempotent: true, Minted: true},
			}
			intervals := []time.Duration{trialNonIdempotentInterval, trialIdempotentInterval, trialMintedInterval}
			for j, template := range templates {
				random := rand.New(rand.NewPCG(l.seed, uint64(len(account)*1000+i*10+j)))
				wg.Go(func() { l.sendPeriodically(ctx, template, intervals[j], random) })
			}
		}
	}
	wg.Go(func() { l.repeatOldCalls(ctx) })
	wg.Wait()
}

// repeatInterval is the time between calls with keys that were used before.
const repeatInterval = 50 * time.Millisecond

// repeatOldCalls repeats earlier calls of non-idempotent classes at a random
// host of their place, also while a fault prevents the host from knowing their
// outcome.
func (l *trialLoad) repeatOldCalls(ctx context.Context) {
	random := rand.New(rand.NewPCG(l.seed, 2))
	var wg sync.WaitGroup
	defer wg.Wait()
	for ctx.Err() == nil {
		time.Sleep(repeatInterval)
		if old, ok := l.history.randomCall(random); ok && old.NonIdempotent {
			repeated := call{Account: old.Account, Class: old.Class, Key: old.Key, NonIdempotent: true, Minted: old.Minted}
			host := l.deployment.pickHost(old.Place, random.IntN(1<<16))
			wg.Go(func() { l.sendOnce(context.WithoutCancel(ctx), repeated, host) })
		}
	}
}

// randomCall returns a random recorded call, and false if there is none.
func (h *callHistory) randomCall(random *rand.Rand) (call, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.calls) == 0 {
		return call{}, false
	}
	return h.calls[random.IntN(len(h.calls))], true
}

// sendPeriodically sends one request per interval until ctx ends, and waits for
// the answers.
func (l *trialLoad) sendPeriodically(ctx context.Context, template call, interval time.Duration, random *rand.Rand) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for index := 0; ctx.Err() == nil; index++ {
		request := template
		request.Key = fmt.Sprintf("%s-%s-%s-%d", template.Class, template.Account, template.Place, index)
		seed := random.Uint64()
		wg.Go(func() { l.sendUntilAnswered(context.WithoutCancel(ctx), request, rand.New(rand.NewPCG(seed, 0))) })
		time.Sleep(interval)
	}
}

// sendUntilAnswered sends one request, first to one host or to two at the same
// time, and repeats it with the same key at other hosts until it is answered or
// maxAttempts is reached.
func (l *trialLoad) sendUntilAnswered(ctx context.Context, request call, random *rand.Rand) {
	hostIndex := random.IntN(1 << 16)
	if request.Minted {
		host := l.deployment.pickHost(request.Place, hostIndex)
		if host == nil || !l.mintKey(ctx, &request, host) {
			return
		}
		// Half of the minted keys are first sent to the host that minted them.
		hostIndex += random.IntN(2)
	}
	paired := random.Float64() < pairShare
	if paired {
		l.sendPair(ctx, request, hostIndex)
	}
	for attempt := range maxAttempts {
		place := request.Place
		if attempt > 0 && !request.Minted && random.Float64() < otherPlaceShare {
			places := l.deployment.settings.Places
			place = places[random.IntN(len(places))].Place
		}
		c := request
		c.FirstAttempt = attempt == 0 && !paired && random.Float64() < firstAttemptShare
		done := l.sendOnce(ctx, c, l.deployment.pickHost(place, hostIndex+attempt))
		if done && random.Float64() >= repeatShare {
			return
		}
		time.Sleep(retryInterval)
	}
}

// sendPair sends the request to two hosts of the place at the same time.
func (l *trialLoad) sendPair(ctx context.Context, request call, hostIndex int) {
	var wg sync.WaitGroup
	for i := range 2 {
		wg.Go(func() { l.sendOnce(ctx, request, l.deployment.pickHost(request.Place, hostIndex+i)) })
	}
	wg.Wait()
}

// mintKey requests a key from the host and reports whether it got one.
func (l *trialLoad) mintKey(ctx context.Context, request *call, host *entryHost) bool {
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+host.addresses.Callers.String()+"/v1/keys", nil)
	if err != nil {
		return false
	}
	httpRequest.Header.Set("Authorization", "Bearer "+l.deployment.callerToken(request.Account))
	response, err := l.client.Do(httpRequest)
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

// sendOnce sends the request once, records the call and reports whether it was
// answered.
func (l *trialLoad) sendOnce(ctx context.Context, c call, host *entryHost) bool {
	if host == nil {
		return false
	}
	c.Host, c.PID, c.Place = string(host.name), host.process.cmd.Process.Pid, host.place
	c.Start = time.Now()
	l.exchange(ctx, &c, host)
	c.End = time.Now()
	l.history.add(c)
	return c.answered()
}

// requestBody returns the body of every call with the key.
func requestBody(key string) []byte { return []byte("body of " + key) }

// exchange sends the request and fills in the response.
func (l *trialLoad) exchange(ctx context.Context, c *call, host *entryHost) {
	url := "http://" + host.addresses.Callers.String() + "/v1/requests/" + string(c.Class)
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(requestBody(c.Key)))
	if err != nil {
		return
	}
	httpRequest.Header.Set("Authorization", "Bearer "+l.deployment.callerToken(c.Account))
	httpRequest.Header.Set(caller.HeaderRequestKey, c.Key)
	if c.FirstAttempt {
		httpRequest.Header.Set("X-First-Attempt", "1")
	}
	c.Code, c.Connected = "no_answer", true
	response, err := l.client.Do(httpRequest)
	if err != nil {
		l.recordFailure(c, err)
		return
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		l.recordFailure(c, err)
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

// recordFailure records why a call has no complete answer.
func (l *trialLoad) recordFailure(c *call, err error) {
	var op *net.OpError
	var timeout net.Error
	c.Connected = !errors.As(err, &op) || op.Op != "dial"
	c.TimedOut = errors.As(err, &timeout) && timeout.Timeout()
	c.Broken = c.Connected && !c.TimedOut
}

// replayCalls repeats up to limit calls of non-idempotent classes once all
// faults are over, so that replays after every kind of fault are checked.
func (l *trialLoad) replayCalls(ctx context.Context, limit int) {
	seen := map[string]bool{}
	var repeated []call
	l.history.mu.Lock()
	for _, c := range l.history.calls {
		if c.NonIdempotent && !seen[c.Key] && len(repeated) < limit {
			seen[c.Key] = true
			repeated = append(repeated, call{Account: c.Account, Class: c.Class, Key: c.Key, Place: c.Place, NonIdempotent: true, Minted: c.Minted})
		}
	}
	l.history.mu.Unlock()
	for i, c := range repeated {
		l.sendOnce(ctx, c, l.deployment.pickHost(c.Place, i))
	}
}
