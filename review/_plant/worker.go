package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Figures of a worker.
const (
	accelerators = 8
	stopTime     = 300 * time.Millisecond
	longestLease = 10 * time.Second
	// startUp is how long a task that lasts takes to be at work.
	startUp = 500 * time.Millisecond
	// lastingSpec begins the spec of a task that lasts, and other specs are the
	// time that the task takes.
	lastingSpec = "lasting"
)

// worker is a worker that runs tasks that last, whose percent is 100 while they
// are at work.
type worker struct {
	play     *play
	id       string
	listener net.Listener
	server   *http.Server
	born     time.Time

	mu         sync.Mutex
	token      uint64
	leaseUntil time.Duration
	runs       map[string]*workerRun
	highest    map[string]uint64
	ended      [][]any
	sequence   uint64
	changed    chan struct{}
}

// workerRun is a run on a worker.
type workerRun struct {
	number  uint64
	began   time.Time
	lasting bool
	takes   time.Duration
	stopAt  time.Time
}

// startWorkers starts n workers and registers them.
func (p *play) startWorkers(n int) error {
	for i := range n {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		w := &worker{
			play: p, id: fmt.Sprintf("i-%08x", 0x5c0e7a00+i), listener: listener, born: time.Now(),
			runs: map[string]*workerRun{}, highest: map[string]uint64{}, changed: make(chan struct{}),
		}
		w.server = &http.Server{Handler: w, ReadHeaderTimeout: time.Minute}
		go func() { _ = w.server.Serve(listener) }()
		p.workers = append(p.workers, w)
		row, err := json.Marshal(map[string]any{
			"service": "pool", "address": listener.Addr().String(), "zone": "zone-a", "state": "ready", "born": w.born.UnixMilli(),
			"capacity": map[string]int{"cpu": 128_000, "memMb": 524_288, "gpu": accelerators}, "labels": []string{"a", "r0"},
		})
		if err != nil {
			return err
		}
		if err := p.writeRows(map[string]any{
			"precondition": []any{}, "remove": []any{},
			"puts": []any{map[string]any{"table": "servers", "part": "", "key": w.id, "value": row}},
		}); err != nil {
			return err
		}
	}
	return nil
}

// writeRows makes a transaction at the store, as the operator and the workers do.
func (p *play) writeRows(transaction map[string]any) error {
	body, err := json.Marshal(transaction)
	if err != nil {
		return err
	}
	resp, err := http.Post("http://"+p.fleet.StoreAddress().String()+"/rows-tx", "application/json", bytes.NewReader(body))
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("the store refused the rows: %d", resp.StatusCode)
	}
	return nil
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	var req struct {
		Task   string  `json:"task"`
		Run    uint64  `json:"runId"`
		Spec   string  `json:"spec"`
		Until  float64 `json:"deadlineMs"`
		Token  uint64  `json:"fencingToken"`
		Cursor uint64  `json:"ackCursor"`
		Wait   int     `json:"waitMs"`
	}
	if json.NewDecoder(r.Body).Decode(&req) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.mu.Lock()
	w.update()
	if req.Token < w.token {
		w.refuse(rw, "fence")
		return
	}
	w.token = req.Token
	until := min(time.Duration(req.Until*float64(time.Millisecond)), w.clock()+longestLease)
	run := w.runs[req.Task]
	switch r.URL.Path {
	case "/run-start":
		switch {
		case run != nil && run.number == req.Run:
		case w.clock() >= until:
			w.refuse(rw, "late")
			return
		case run != nil || req.Run <= w.highest[req.Task]:
			w.leaseUntil = max(w.leaseUntil, until)
			w.refuse(rw, "old")
			return
		default:
			w.leaseUntil = max(w.leaseUntil, until)
			w.begin(req.Task, req.Run, req.Spec)
		}
	case "/run-stop":
		w.highest[req.Task] = max(w.highest[req.Task], req.Run)
		if run != nil && run.number == req.Run && run.stopAt.IsZero() {
			run.stopAt = time.Now().Add(stopTime)
			time.AfterFunc(stopTime, w.wake)
		}
	case "/hold":
		w.leaseUntil = max(w.leaseUntil, until)
		for len(w.ended) > 0 && w.ended[0][0].(uint64) <= req.Cursor {
			w.ended = w.ended[1:]
		}
		w.report(rw, r, time.Duration(req.Wait)*time.Millisecond)
		return
	}
	answer := map[string]any{"clockMs": w.clock().Milliseconds()}
	w.mu.Unlock()
	write(rw, http.StatusOK, answer)
}

// clock returns the clock of the worker.
func (w *worker) clock() time.Duration { return time.Since(w.born) }

// refuse refuses an order. The caller holds the lock, which is released.
func (w *worker) refuse(rw http.ResponseWriter, reason string) {
	answer := map[string]any{"clockMs": w.clock().Milliseconds(), "reason": reason}
	w.mu.Unlock()
	write(rw, http.StatusConflict, answer)
}

// write writes an answer.
func write(rw http.ResponseWriter, status int, body any) {
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(body)
}

// begin begins a run. The caller holds the lock.
func (w *worker) begin(task string, number uint64, spec string) {
	run := &workerRun{number: number, began: time.Now(), lasting: strings.HasPrefix(spec, lastingSpec)}
	if ms, err := strconv.Atoi(spec); err == nil {
		run.takes = time.Duration(ms) * time.Millisecond
	}
	if !run.lasting {
		time.AfterFunc(run.takes, w.wake)
	}
	w.runs[task] = run
	w.play.note("worker %s: task %s run %d begins", w.id, task, number)
}

// update ends the runs that are over. The caller holds the lock.
func (w *worker) update() {
	for task, run := range w.runs {
		switch {
		case !run.stopAt.IsZero() && !time.Now().Before(run.stopAt):
			w.end(task, run, "stopped")
		case !run.lasting && time.Since(run.began) >= run.takes:
			w.end(task, run, "done")
		case w.clock() >= w.leaseUntil:
			w.end(task, run, "lapsed")
		}
	}
}

// end ends a run. The caller holds the lock.
func (w *worker) end(task string, run *workerRun, how string) {
	delete(w.runs, task)
	w.highest[task] = max(w.highest[task], run.number)
	w.sequence++
	w.ended = append(w.ended, []any{w.sequence, task, run.number, how, ""})
	close(w.changed)
	w.changed = make(chan struct{})
	w.play.note("worker %s: task %s run %d ends, %s", w.id, task, run.number, how)
}

// wake ends the runs that are over.
func (w *worker) wake() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.update()
}

// report answers with the runs, after a wait for an end. The caller holds the lock,
// which is released.
func (w *worker) report(rw http.ResponseWriter, r *http.Request, wait time.Duration) {
	if wait > 0 && len(w.ended) == 0 {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-time.After(wait):
		}
		w.mu.Lock()
		w.update()
	}
	active := [][]any{}
	for task, run := range w.runs {
		percent := 0
		switch {
		case run.lasting && time.Since(run.began) >= startUp:
			percent = 100
		case !run.lasting:
			percent = int(100 * time.Since(run.began) / max(run.takes, 1))
		}
		active = append(active, []any{task, run.number, "", min(percent, 100), 0})
	}
	answer := map[string]any{
		"clockMs": w.clock().Milliseconds(), "born": w.born.UnixMilli(), "active": active, "finished": append([][]any{}, w.ended...),
	}
	w.mu.Unlock()
	write(rw, http.StatusOK, answer)
}

// lose loses the worker with all that it runs, for good.
func (w *worker) lose() {
	w.mu.Lock()
	w.runs = map[string]*workerRun{}
	w.mu.Unlock()
	_ = w.server.Close()
}

// atWork returns how many tasks of the job are on workers.
func (p *play) atWork(job string) int {
	n := 0
	for _, w := range p.workers {
		w.mu.Lock()
		for task := range w.runs {
			if job == "" || strings.HasPrefix(task, job+".") {
				n++
			}
		}
		w.mu.Unlock()
	}
	return n
}
