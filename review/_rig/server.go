package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// taskRun is a run of a task on a server.
type taskRun struct {
	task   string
	number uint64
	began  time.Time
	spec   string
	works  time.Duration
	stopAt time.Time
	room   room
	gang   int
	waits  bool
}

// room is what tasks need and servers have.
type room struct {
	CPU int `json:"cpu"`
	Mem int `json:"memMb"`
	GPU int `json:"gpu"`
}

// server plays one runner. Each power-on begins a new lifetime.
type server struct {
	w        *world
	id       string
	address  string
	zone     string
	rack     string
	capacity room

	mu       sync.Mutex
	kind     string
	on       bool
	draining bool
	// born is on the real clock. The time of day of the server is ahead of it by
	// ahead, and was by aheadAtStart when it started.
	born         time.Time
	ahead        time.Duration
	aheadAtStart time.Duration
	lifetime     int
	token        uint64
	lease        time.Duration
	runs         map[string]*taskRun
	highest      map[string]uint64
	ended        [][]any
	endCount     uint64
	changed      chan struct{}
	// late returns for an order whether it gets no answer and, if so, after what
	// time it is carried out.
	late func(path string) (time.Duration, bool)
	// cut is set while the server reaches neither the hosts nor the store, and
	// cuts counts the changes of it.
	cut   bool
	cuts  int
	beats int
}

func (s *server) powerOn(kind string) {
	s.mu.Lock()
	s.kind, s.on, s.draining, s.born, s.aheadAtStart = kind, true, false, time.Now(), s.ahead
	s.lifetime++
	s.token, s.lease, s.endCount, s.ended = 0, 0, 0, nil
	s.runs, s.highest, s.changed = map[string]*taskRun{}, map[string]uint64{}, make(chan struct{})
	life := s.lifetime
	s.mu.Unlock()
	s.w.rec("server %s starts, kind %s", s.id, kind)
	s.beat()
	go s.live(life)
}

// age makes the present lifetime of the server older.
func (s *server) age(by time.Duration) {
	s.mu.Lock()
	s.born = s.born.Add(-by)
	s.mu.Unlock()
	s.beat()
}

// setAhead sets by how much the server's time of day is ahead.
func (s *server) setAhead(by time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ahead = by
	s.w.rec("the time of day of server %s is %v ahead", s.id, by)
}

// setCut cuts the server off from the hosts and the store, or ends that. Calls to
// it are reset. The store drops its entry after three intervals of silence.
func (s *server) setCut(cut bool) {
	s.mu.Lock()
	s.cut = cut
	s.cuts++
	cuts := s.cuts
	// Wakes the calls that wait.
	close(s.changed)
	s.changed = make(chan struct{})
	s.mu.Unlock()
	if !cut {
		s.w.rec("server %s is no longer cut off", s.id)
		s.beat()
		return
	}
	s.w.rec("server %s is cut off from the hosts and the store", s.id)
	time.AfterFunc(3*beat, func() {
		s.mu.Lock()
		still := s.cuts == cuts
		s.mu.Unlock()
		if still {
			s.w.store.remove("servers", s.id)
		}
	})
}

// powerOff ends all that runs, without a word to anyone.
func (s *server) powerOff() {
	s.mu.Lock()
	for task, r := range s.runs {
		s.w.runEnded(s, r, "crashed")
		delete(s.runs, task)
	}
	s.on = false
	close(s.changed)
	s.changed = make(chan struct{})
	s.mu.Unlock()
	s.w.rec("server %s crashes", s.id)
}

// live sends reports to the store and ends runs in time, for one lifetime.
func (s *server) live(life int) {
	next := time.Now().Add(beat)
	for {
		time.Sleep(5 * time.Millisecond)
		s.mu.Lock()
		if !s.on || s.lifetime != life {
			s.mu.Unlock()
			return
		}
		s.settle()
		s.mu.Unlock()
		if time.Now().After(next) {
			next = time.Now().Add(beat)
			s.beat()
		}
	}
}

// beat writes the server's entry in the store.
func (s *server) beat() {
	s.mu.Lock()
	if s.cut || !s.on {
		s.mu.Unlock()
		return
	}
	s.beats++
	state := "ready"
	if s.draining {
		state = "draining"
	}
	entry := map[string]any{
		"service": serviceName, "address": s.address, "zone": s.zone, "version": "1", "slots": 8, "state": state,
		"coldRemainingMs": 0, "sequence": s.beats, "born": s.born.Add(s.aheadAtStart).UnixMilli(), "capacity": s.capacity, "labels": []string{s.kind, s.rack},
	}
	s.mu.Unlock()
	s.w.store.put("servers", s.id, entry)
}

// settle ends the runs that are over. The caller holds the lock.
func (s *server) settle() {
	now := time.Now()
	lapsed := now.Sub(s.born) >= s.lease
	for _, r := range s.runs {
		switch {
		case !r.stopAt.IsZero() && !now.Before(r.stopAt):
			s.end(r, "stopped")
		case lapsed:
			s.end(r, "lapsed")
		case r.waits && now.Sub(r.began) >= gangTimeout:
			s.end(r, "alone")
		case !r.waits && now.Sub(r.began) >= r.works:
			s.end(r, "done")
		}
	}
}

// end lists the end of a run. The caller holds the lock.
func (s *server) end(r *taskRun, how string) {
	delete(s.runs, r.task)
	if r.gang > 0 && how != "done" && how != "broken" {
		// The other members end with it.
		group := r.task[:strings.LastIndex(r.task, ".")]
		for _, other := range s.runs {
			if other.number == r.number && strings.HasPrefix(other.task, group+".") {
				s.end(other, "broken")
			}
		}
	}
	s.highest[r.task] = max(s.highest[r.task], r.number)
	s.endCount++
	s.ended = append(s.ended, []any{s.endCount, r.task, r.number, how, ""})
	s.w.runEnded(s, r, how)
	close(s.changed)
	s.changed = make(chan struct{})
}

type order struct {
	Task     string  `json:"task"`
	Run      uint64  `json:"runId"`
	Spec     string  `json:"spec"`
	Deadline float64 `json:"deadlineMs"`
	Token    uint64  `json:"fencingToken"`
	Ack      uint64  `json:"ackCursor"`
	Wait     int     `json:"waitMs"`
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	delay := s.w.delayTo(s)
	time.Sleep(delay)
	defer time.Sleep(delay)
	var o order
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	on, cut, late := s.on, s.cut, s.late
	s.mu.Unlock()
	switch {
	case cut, !on:
		panic(http.ErrAbortHandler)
	}
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	from := strings.Split(r.RemoteAddr, ":")[0]
	if r.URL.Path != "/hold" && late != nil {
		if delay, is := late(r.URL.Path); is {
			s.w.rec("server %s gives no answer to %s %s run %d token %d, and carries it out in %v", s.id, r.URL.Path, o.Task, o.Run, o.Token, delay)
			time.AfterFunc(delay, func() {
				status, reason := s.carryOut(r.URL.Path, o, from+" (late)")
				s.w.rec("server %s carries out late %s %s run %d: %d %s", s.id, r.URL.Path, o.Task, o.Run, status, reason)
			})
			<-r.Context().Done()
			return
		}
	}
	if r.URL.Path == "/hold" {
		s.hold(w, r, o)
		return
	}
	status, reason := s.carryOut(r.URL.Path, o, from)
	s.mu.Lock()
	body := map[string]any{"clockMs": time.Since(s.born).Milliseconds()}
	s.mu.Unlock()
	if reason != "" {
		body["reason"] = reason
	}
	reply(w, status, body)
}

// carryOut carries out an order to start or stop a run or to pace it.
func (s *server) carryOut(path string, o order, from string) (int, string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.on {
		return http.StatusServiceUnavailable, ""
	}
	if o.Token < s.token {
		return http.StatusConflict, "fence"
	}
	s.token = o.Token
	s.settle()
	r := s.runs[o.Task]
	switch path {
	case "/run-stop":
		s.highest[o.Task] = max(s.highest[o.Task], o.Run)
		if r != nil && r.number <= o.Run && r.stopAt.IsZero() {
			r.stopAt = time.Now().Add(stopTime)
		}
		return http.StatusOK, ""
	case "/pace":
		return http.StatusOK, ""
	case "/run-start":
	default:
		return http.StatusNotFound, ""
	}
	if r != nil && r.number == o.Run {
		return http.StatusOK, ""
	}
	deadline := time.Duration(o.Deadline * float64(time.Millisecond))
	if deadline <= time.Since(s.born) {
		return http.StatusConflict, "late"
	}
	s.extend(deadline)
	if o.Run <= s.highest[o.Task] || r != nil {
		return http.StatusConflict, "old"
	}
	run := &taskRun{task: o.Task, number: o.Run, began: time.Now(), spec: o.Spec, works: time.Second, room: s.w.need(o.Task)}
	for _, field := range strings.Fields(o.Spec) {
		name, value, _ := strings.Cut(field, "=")
		if ms, err := strconv.Atoi(value); err == nil && name == "ms" {
			run.works = time.Duration(ms) * time.Millisecond
		}
	}
	s.runs[o.Task] = run
	if run.gang = s.w.gang(o.Task); run.gang > 0 {
		s.gather(run)
	}
	s.w.runBegan(s, run, from)
	return http.StatusOK, ""
}

// gather lets a gang work once all of its tasks are there. The caller holds the
// lock.
func (s *server) gather(run *taskRun) {
	run.waits = true
	group := run.task[:strings.LastIndex(run.task, ".")]
	var members []*taskRun
	for _, r := range s.runs {
		if r.number == run.number && strings.HasPrefix(r.task, group+".") {
			members = append(members, r)
		}
	}
	if len(members) < run.gang {
		return
	}
	for _, r := range members {
		r.waits, r.began = false, time.Now()
	}
}

// extend makes the lease longer, never shorter. The caller holds the lock.
func (s *server) extend(deadline time.Duration) {
	s.lease = max(s.lease, min(deadline, time.Since(s.born)+holdMax))
}

func (s *server) hold(w http.ResponseWriter, r *http.Request, o order) {
	s.mu.Lock()
	if o.Token < s.token {
		body := map[string]any{"clockMs": time.Since(s.born).Milliseconds(), "reason": "fence"}
		s.mu.Unlock()
		reply(w, http.StatusConflict, body)
		return
	}
	s.token = o.Token
	s.settle()
	s.extend(time.Duration(o.Deadline * float64(time.Millisecond)))
	for len(s.ended) > 0 && s.ended[0][0].(uint64) <= o.Ack {
		s.ended = s.ended[1:]
	}
	life, changed, waits := s.lifetime, s.changed, o.Wait > 0 && len(s.ended) == 0
	s.mu.Unlock()
	if waits {
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-time.After(time.Duration(min(o.Wait, 2000)) * time.Millisecond):
		}
	}
	s.mu.Lock()
	if !s.on || s.cut || s.lifetime != life {
		s.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	s.settle()
	active, finished := [][]any{}, [][]any{}
	for _, run := range s.runs {
		percent := 0
		if !run.waits {
			percent = int(min(99, 100*time.Since(run.began)/max(run.works, 1)))
		}
		active = append(active, []any{run.task, run.number, "", percent, run.room.CPU})
	}
	finished = append(finished, s.ended[:min(500, len(s.ended))]...)
	body := map[string]any{"clockMs": time.Since(s.born).Milliseconds(), "born": s.born.Add(s.aheadAtStart).UnixMilli(), "active": active, "finished": finished}
	s.mu.Unlock()
	reply(w, http.StatusOK, body)
}

func (s *server) String() string { return fmt.Sprintf("%s (%s)", s.id, s.kind) }
