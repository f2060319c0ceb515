package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	holdMax     = 6 * time.Second
	stopTimeout = 200 * time.Millisecond
	workerBeat  = 1500 * time.Millisecond
	workerCPU   = 64_000
	workerMemMB = 131_072
	workerGPUs  = 8
)

// run is one run of a task as its worker saw it.
type run struct {
	task    string
	number  uint64
	worker  *worker
	started time.Time
	work    time.Duration
	stopAt  time.Time
	ended   time.Time
	how     string
	// acked is when ackCursor reached the end of the run.
	acked time.Time
	n     uint64
}

// worker is a runner of the pages.
type worker struct {
	w       *world
	id      string
	zone    string
	rack    string
	kind    string
	address string

	mu       sync.Mutex
	born     time.Time
	deadline time.Duration
	fence    uint64
	active   map[string]*run
	highest  map[string]uint64
	finished []*run
	lastN    uint64
	sequence int
	changed  chan struct{}
	// cutOff is set while the worker cannot reach the store.
	cutOff bool
	silent time.Duration
}

func newWorker(w *world, id, zone, rack, kind, address string) *worker {
	return &worker{
		w: w, id: id, zone: zone, rack: rack, kind: kind, address: address, born: time.Now(),
		active: map[string]*run{}, highest: map[string]uint64{}, changed: make(chan struct{}),
	}
}

func (k *worker) clock() time.Duration { return time.Since(k.born) }

// beat writes the worker's entry. An entry is removed after three intervals of
// silence.
func (k *worker) beat() {
	k.mu.Lock()
	cut, born := k.cutOff, k.born
	clock := k.clock().Milliseconds()
	k.sequence++
	sequence := k.sequence
	if cut {
		k.silent += workerBeat
	} else {
		k.silent = 0
	}
	silent := k.silent
	k.mu.Unlock()
	if cut {
		if silent > 3*workerBeat {
			k.w.store.remove("servers", k.id)
		}
		return
	}
	k.w.store.put("servers", k.id, map[string]any{
		"service": serviceName, "address": k.address, "zone": k.zone, "version": "v1", "slots": 8, "state": "ready",
		"coldRemainingMs": 0, "capacity": map[string]int{"cpu": workerCPU, "memMb": workerMemMB, "gpu": workerGPUs},
		"labels": []string{k.kind, k.rack}, "clockMs": clock, "sequence": sequence, "born": born.UnixMilli(),
	})
}

// settle ends the runs that are due. The caller holds the lock.
func (k *worker) settle() {
	now := time.Now()
	for _, r := range k.active {
		switch {
		case k.clock() >= k.deadline:
			k.end(r, "lapsed", now)
		case !r.stopAt.IsZero() && !now.Before(r.stopAt):
			k.end(r, "stopped", now)
		case r.stopAt.IsZero() && now.Sub(r.started) >= r.work:
			k.end(r, "done", now)
		}
	}
}

func (k *worker) end(r *run, how string, now time.Time) {
	delete(k.active, r.task)
	k.highest[r.task] = max(k.highest[r.task], r.number)
	k.lastN++
	r.n, r.how, r.ended = k.lastN, how, now
	k.finished = append(k.finished, r)
	k.w.note("end    %s run %d on %s: %s", r.task, r.number, k.id, how)
	close(k.changed)
	k.changed = make(chan struct{})
}

// tick settles the runs several times a second, as a worker's own timers do.
func (k *worker) tick() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.settle()
}

type order struct {
	Task       string  `json:"task"`
	Run        uint64  `json:"runId"`
	Spec       string  `json:"spec"`
	Deadline   float64 `json:"deadlineMs"`
	Token      uint64  `json:"fencingToken"`
	Checkpoint string  `json:"checkpoint"`
	Ack        uint64  `json:"ackCursor"`
	Wait       int     `json:"waitMs"`
}

func (k *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet && r.URL.Path == "/healthz" {
		rw.Header().Set("Instance-Id", k.id)
		rw.WriteHeader(http.StatusOK)
		return
	}
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != k.id {
		writeJSON(rw, http.StatusMisdirectedRequest, map[string]any{"clockMs": k.clock().Milliseconds()})
		return
	}
	switch r.URL.Path {
	case "/run-start", "/run-stop", "/pace":
		status, reason := k.carryOut(r.URL.Path, o)
		body := map[string]any{"clockMs": k.clock().Milliseconds()}
		if reason != "" {
			body["reason"] = reason
		}
		writeJSON(rw, status, body)
	case "/hold":
		k.hold(rw, r, o)
	default:
		rw.WriteHeader(http.StatusNotFound)
	}
}

// extend lets the lease end at the deadline, at most holdMax from now. It never
// shortens it. The caller holds the lock.
func (k *worker) extend(o order) {
	deadline := min(time.Duration(o.Deadline)*time.Millisecond, k.clock()+holdMax)
	k.deadline = max(k.deadline, deadline)
}

func (k *worker) carryOut(path string, o order) (int, string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if o.Token < k.fence {
		return http.StatusConflict, "fence"
	}
	k.fence = o.Token
	k.settle()
	current := k.active[o.Task]
	if path == "/pace" {
		return http.StatusOK, ""
	}
	if path == "/run-stop" {
		k.highest[o.Task] = max(k.highest[o.Task], o.Run)
		if current != nil && current.number == o.Run && current.stopAt.IsZero() {
			current.stopAt = time.Now().Add(stopTimeout)
		}
		return http.StatusOK, ""
	}
	if time.Duration(o.Deadline)*time.Millisecond <= k.clock() {
		return http.StatusConflict, "late"
	}
	k.extend(o)
	switch {
	case current != nil && current.number == o.Run:
		return http.StatusOK, ""
	case current != nil || o.Run <= k.highest[o.Task]:
		return http.StatusConflict, "old"
	}
	started := &run{task: o.Task, number: o.Run, worker: k, started: time.Now(), work: workOf(o.Spec)}
	k.active[o.Task] = started
	k.w.began(started, o)
	return http.StatusOK, ""
}

// workOf returns the time that a task works, which its spec says.
func workOf(spec string) time.Duration {
	for _, field := range strings.Fields(spec) {
		if value, ok := strings.CutPrefix(field, "ms="); ok {
			if ms, err := strconv.Atoi(value); err == nil {
				return time.Duration(ms) * time.Millisecond
			}
		}
	}
	return time.Second
}

func (k *worker) hold(rw http.ResponseWriter, r *http.Request, o order) {
	k.mu.Lock()
	if o.Token < k.fence {
		k.mu.Unlock()
		writeJSON(rw, http.StatusConflict, map[string]any{"clockMs": k.clock().Milliseconds(), "reason": "fence"})
		return
	}
	k.fence = o.Token
	k.settle()
	k.extend(o)
	for len(k.finished) > 0 && k.finished[0].n <= o.Ack {
		k.finished[0].acked = time.Now()
		k.finished = k.finished[1:]
	}
	wait, changed := len(k.finished) == 0, k.changed
	k.mu.Unlock()
	if wait && o.Wait > 0 {
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-time.After(time.Duration(min(o.Wait, 2000)) * time.Millisecond):
		}
	}
	k.mu.Lock()
	k.settle()
	active, finished := [][]any{}, [][]any{}
	for _, a := range k.active {
		percent := int(min(99, 100*time.Since(a.started)/a.work))
		active = append(active, []any{a.task, a.number, "", percent, 0})
	}
	sort.Slice(active, func(i, j int) bool { return fmt.Sprint(active[i]) < fmt.Sprint(active[j]) })
	for _, f := range k.finished[:min(500, len(k.finished))] {
		finished = append(finished, []any{f.n, f.task, f.number, f.how, ""})
	}
	body := map[string]any{
		"clockMs": k.clock().Milliseconds(), "born": k.born.UnixMilli(), "active": active, "finished": finished,
	}
	k.mu.Unlock()
	writeJSON(rw, http.StatusOK, body)
}
