package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"primrosespar.example/primrosespar/platform/standin"
)

// Bounds of the callers.
const (
	soakTries   = 5
	soakTimeout = 3 * time.Second
	// soakVisible is how long after its acceptance a job may be unknown.
	soakVisible = 3 * time.Second
	soakPoll    = 300 * time.Millisecond
	// soakSoon bounds when a repeated job is first due, soakEvery is the time to
	// the second.
	soakSoon  = 2 * time.Second
	soakEvery = 1100 * time.Millisecond
)

// soakJob is one job as its caller knows it.
type soakJob struct {
	id     string
	prefix string
	body   string
	tasks  []string
	// accepted is when the first 2xx came; refusals counts 503 answers and
	// unknown is set once an answer left the outcome open.
	accepted time.Time
	refusals int
	unknown  bool
	// cancelled is set once the caller has asked for a cancellation, answered or
	// not.
	cancelled bool
	state     string
}

// soakLoad is the callers of a soak.
type soakLoad struct {
	soak   *soak
	random *rand.Rand
	total  int

	mu   sync.Mutex
	jobs []*soakJob
}

// newSoakLoad returns callers without jobs.
func newSoakLoad(s *soak, random *rand.Rand) *soakLoad { return &soakLoad{soak: s, random: random} }

// run hands jobs in for the time; callers go on until their jobs are accepted
// or refused.
func (l *soakLoad) run(ctx context.Context, d time.Duration) {
	var callers conc.WaitGroup
	defer callers.Wait()
	end := time.Now().Add(d)
	for time.Now().Before(end) && ctx.Err() == nil {
		j := l.newJob()
		first := l.random.IntN(len(l.soak.hosts))
		cancel := l.random.IntN(8) == 0
		callers.Go(func() {
			l.submit(ctx, j, first)
			if cancel && !j.accepted.IsZero() {
				l.cancel(ctx, j, first+1)
			}
		})
		time.Sleep(time.Duration(l.random.ExpFloat64() / l.soak.Rate * float64(time.Second)))
	}
}

// newJob draws a job.
func (l *soakLoad) newJob() *soakJob {
	l.total++
	j := &soakJob{id: fmt.Sprintf("%016x", l.random.Uint64()), prefix: standin.Plain}
	count, gpu := 1+l.random.IntN(4), []int{1, 2, 4, 8}[l.random.IntN(4)]
	if l.random.IntN(2) == 0 {
		j.prefix = standin.Urgent
	}
	end := "done"
	if l.random.IntN(12) == 0 {
		end = "failed"
	}
	step := map[string]any{
		"count": count, "cpu": 4000, "memMb": 1000, "gpu": gpu, "estimateMs": 1500, "gang": l.random.IntN(2) == 0,
	}
	steps := []any{step}
	if l.random.IntN(4) == 0 {
		steps = append(steps, map[string]any{"count": 1, "cpu": 1000, "memMb": 100, "estimateMs": 500, "after": []int{0}})
		j.tasks = append(j.tasks, j.id+".0.1.0")
	}
	for i := range count {
		j.tasks = append(j.tasks, fmt.Sprintf("%s.0.0.%d", j.id, i))
	}
	body := map[string]any{"spec": fmt.Sprintf("ms=%d end=%s", 200+l.random.IntN(2500), end), "steps": steps}
	if l.random.IntN(6) == 0 {
		l.repeat(j, body)
	}
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	j.body = string(data)
	l.mu.Lock()
	l.jobs = append(l.jobs, j)
	l.mu.Unlock()
	return j
}

// repeat makes the job run twice, from a time soon.
func (l *soakLoad) repeat(j *soakJob, body map[string]any) {
	start := time.Now().Add(time.Duration(l.random.Float64() * float64(soakSoon))).Truncate(time.Millisecond)
	body["repeatCount"], body["startAtMs"], body["intervalMs"] = 2, start.UnixMilli(), soakEvery.Milliseconds()
	l.soak.fleet.Due(j.id, start, soakEvery)
	for _, task := range j.tasks {
		again := strings.Replace(task, j.id+".0.", j.id+".1.", 1)
		j.tasks = append(j.tasks, again)
	}
}

// call makes one call and returns its status, 0 without an answer.
func (l *soakLoad) call(ctx context.Context, method, path, body string, host int) (int, string) {
	ctx, cancel := context.WithTimeout(ctx, soakTimeout)
	defer cancel()
	h := l.soak.hosts[host%len(l.soak.hosts)]
	req, err := http.NewRequestWithContext(ctx, method, "http://"+h.callers+path, strings.NewReader(body))
	if err != nil {
		return 0, ""
	}
	req.Host = standin.Host
	req.Header.Set("X-Api-Key", standin.Key)
	req.Header.Set("Deadline-Ms", fmt.Sprint(soakTimeout.Milliseconds()))
	resp, err := l.soak.client.Do(req)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, ""
	}
	return resp.StatusCode, string(data)
}

// submit hands a job in as the platform's clients do: again at another host
// after no answer, 502 or 504.
func (l *soakLoad) submit(ctx context.Context, j *soakJob, host int) {
	for try := range soakTries {
		status, _ := l.call(ctx, http.MethodPost, j.prefix+j.id, j.body, host+try)
		l.mu.Lock()
		switch status {
		case http.StatusOK:
			j.accepted = time.Now()
		case http.StatusServiceUnavailable, http.StatusTooManyRequests:
			j.refusals++
		default:
			j.unknown = true
		}
		accepted := !j.accepted.IsZero()
		l.mu.Unlock()
		if accepted {
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// cancel cancels a job until that is acknowledged.
func (l *soakLoad) cancel(ctx context.Context, j *soakJob, host int) {
	l.mu.Lock()
	j.cancelled = true
	l.mu.Unlock()
	for try := range soakTries {
		status, _ := l.call(ctx, http.MethodDelete, j.prefix+j.id, "", host+try)
		if status == http.StatusOK {
			l.soak.fleet.Cancelled(j.id)
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// drain asks for all jobs until they have ended or the time is over, and
// judges what it sees.
func (l *soakLoad) drain(ctx context.Context, limit time.Duration) {
	end := time.Now().Add(limit)
	for host := 0; time.Now().Before(end); host++ {
		open := 0
		for _, j := range l.jobs {
			if j.accepted.IsZero() || j.state == "completed" || j.state == "failed" || j.state == "cancelled" {
				continue
			}
			l.look(ctx, j, host)
			open++
		}
		if open == 0 {
			break
		}
		time.Sleep(soakPoll)
	}
	for _, j := range l.jobs {
		l.judge(j)
	}
}

// look asks for the state of a job.
func (l *soakLoad) look(ctx context.Context, j *soakJob, host int) {
	status, body := l.call(ctx, http.MethodGet, j.prefix+j.id, "", host)
	if status == http.StatusGone && time.Since(j.accepted) > soakVisible {
		l.soak.fleet.ReportViolation("job %s: accepted, but not known %v later", j.id, time.Since(j.accepted))
		j.state = "failed"
		return
	}
	var state struct {
		State string `json:"state"`
	}
	if status == http.StatusOK && json.Unmarshal([]byte(body), &state) == nil {
		j.state = state.State
	}
}

// judge checks a job at the end of the soak.
func (l *soakLoad) judge(j *soakJob) {
	violate := l.soak.fleet.ReportViolation
	switch {
	case j.accepted.IsZero() && j.unknown:
	case j.accepted.IsZero():
		for _, task := range j.tasks {
			if l.soak.fleet.Started(task) {
				violate("job %s: refused %d times, but ran", j.id, j.refusals)
			}
		}
	case j.state == "completed":
		for _, task := range j.tasks {
			if !l.soak.fleet.Succeeded(task) && !strings.Contains(j.body, `"gang":true`) {
				violate("job %s: shown as completed, but %s has not ended so", j.id, task)
			}
		}
	case j.state == "cancelled" && !j.cancelled:
		violate("job %s: shown as cancelled, but nobody cancelled it", j.id)
	case j.state == "failed" && !strings.Contains(j.body, "end=failed") && l.soak.Calm:
		violate("job %s: shown as failed without a cause", j.id)
	case j.state == "queued" || j.state == "active" || j.state == "":
		violate("job %s: still %q at the end", j.id, j.state)
	}
}

// accepted, refused and ended count the jobs.
func (l *soakLoad) accepted() int {
	return l.count(func(j *soakJob) bool { return !j.accepted.IsZero() })
}

func (l *soakLoad) refused() int {
	return l.count(func(j *soakJob) bool { return j.accepted.IsZero() && !j.unknown })
}

func (l *soakLoad) ended() int { return l.count(func(j *soakJob) bool { return j.state != "" }) }

// count counts the jobs that pass.
func (l *soakLoad) count(passes func(*soakJob) bool) int {
	n := 0
	for _, j := range l.jobs {
		if passes(j) {
			n++
		}
	}
	return n
}
