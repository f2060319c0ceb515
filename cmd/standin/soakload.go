package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"primrosespar.example/primrosespar/platform/standin"
)

// Limits of the callers and their jobs.
const (
	soakAttempts = 5
	soakTimeout  = 3 * time.Second
	// soakVisibilityDelay is how long after its acceptance a job may be unknown
	// to the hosts.
	soakVisibilityDelay = 3 * time.Second
	soakPollInterval    = 300 * time.Millisecond
	// A repeated job is due within maxSoakStartDelay, and again after
	// soakRepeatInterval.
	maxSoakStartDelay  = 2 * time.Second
	soakRepeatInterval = 1100 * time.Millisecond
)

// soakJob is one job as its caller sees it.
type soakJob struct {
	id          string
	queuePrefix string
	body        string
	taskIDs     []string
	// acceptedAt is when a host answered 200, or zero. refusals counts the 503
	// and 429 answers. unknown is set if a call left it open whether the job
	// was accepted.
	acceptedAt time.Time
	refusals   int
	unknown    bool
	// cancelled is set once the caller has requested the cancellation, whether
	// or not it was acknowledged.
	cancelled bool
	// state is the last state that a host reported.
	state string
}

// soakLoad submits the jobs of a soak's callers.
type soakLoad struct {
	soak     *soak
	random   *rand.Rand
	jobCount int

	mu   sync.Mutex
	jobs []*soakJob
}

// newSoakLoad returns the load of a soak without any jobs.
func newSoakLoad(s *soak, random *rand.Rand) *soakLoad { return &soakLoad{soak: s, random: random} }

// run submits jobs for the duration and cancels some of them. It returns once
// the callers of all jobs have finished.
func (l *soakLoad) run(ctx context.Context, d time.Duration) {
	var callers conc.WaitGroup
	defer callers.Wait()
	end := time.Now().Add(d)
	for time.Now().Before(end) && ctx.Err() == nil {
		j := l.newJob()
		hostIndex := l.random.IntN(len(l.soak.hosts))
		shouldCancel := l.random.IntN(8) == 0
		callers.Go(func() {
			l.submit(ctx, j, hostIndex)
			if shouldCancel && !j.acceptedAt.IsZero() {
				l.cancel(ctx, j, hostIndex+1)
			}
		})
		time.Sleep(time.Duration(l.random.ExpFloat64() / l.soak.Rate * float64(time.Second)))
	}
}

// newJob draws a random job.
func (l *soakLoad) newJob() *soakJob {
	l.jobCount++
	j := &soakJob{id: fmt.Sprintf("%016x", l.random.Uint64()), queuePrefix: standin.PlainPrefix}
	count, gpu := 1+l.random.IntN(4), []int{1, 2, 4, 8}[l.random.IntN(4)]
	if l.random.IntN(2) == 0 {
		j.queuePrefix = standin.UrgentPrefix
	}
	outcome := "done"
	if l.random.IntN(12) == 0 {
		outcome = "failed"
	}
	step := map[string]any{
		"count": count, "cpu": 4000, "memMb": 1000, "gpu": gpu, "estimateMs": 1500, "gang": l.random.IntN(2) == 0,
	}
	steps := []any{step}
	if l.random.IntN(4) == 0 {
		steps = append(steps, map[string]any{"count": 1, "cpu": 1000, "memMb": 100, "estimateMs": 500, "after": []int{0}})
		j.taskIDs = append(j.taskIDs, j.id+".0.1.0")
	}
	for i := range count {
		j.taskIDs = append(j.taskIDs, fmt.Sprintf("%s.0.0.%d", j.id, i))
	}
	body := map[string]any{"spec": fmt.Sprintf("ms=%d end=%s", 200+l.random.IntN(2500), outcome), "steps": steps}
	repeats := l.random.IntN(6) == 0
	if deadly(j.id) {
		j.taskIDs = []string{j.id + ".0.0.0"}
		step["count"], step["gang"] = 1, false
		body["spec"], body["steps"] = "end=crash", []any{step}
	} else if repeats {
		l.makeRepeated(j, body)
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

// deadly reports whether the task of the job crashes each worker that starts it.
// It depends on the ID, so that the other jobs of a seed stay as they were.
func deadly(id string) bool { return strings.HasPrefix(id, "0") }

// makeRepeated makes the job run twice, for the first time within
// maxSoakStartDelay.
func (l *soakLoad) makeRepeated(j *soakJob, body map[string]any) {
	start := time.Now().Add(time.Duration(l.random.Float64() * float64(maxSoakStartDelay))).Truncate(time.Millisecond)
	body["repeatCount"], body["startAtMs"], body["intervalMs"] = 2, start.UnixMilli(), soakRepeatInterval.Milliseconds()
	l.soak.fleet.SetSchedule(j.id, start, soakRepeatInterval)
	for _, task := range j.taskIDs {
		repeated := strings.Replace(task, j.id+".0.", j.id+".1.", 1)
		j.taskIDs = append(j.taskIDs, repeated)
	}
}

// submit submits a job and repeats the call at another host until it is
// accepted or soakAttempts is reached.
func (l *soakLoad) submit(ctx context.Context, j *soakJob, hostIndex int) {
	for attempt := range soakAttempts {
		status, _ := l.soak.call(ctx, http.MethodPost, j.queuePrefix+j.id, j.body, hostIndex+attempt)
		l.mu.Lock()
		switch status {
		case http.StatusOK:
			j.acceptedAt = time.Now()
		case http.StatusServiceUnavailable, http.StatusTooManyRequests:
			j.refusals++
		default:
			j.unknown = true
		}
		accepted := !j.acceptedAt.IsZero()
		l.mu.Unlock()
		if accepted {
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// cancel requests the cancellation of a job until a host acknowledges it or
// soakAttempts is reached.
func (l *soakLoad) cancel(ctx context.Context, j *soakJob, hostIndex int) {
	l.mu.Lock()
	j.cancelled = true
	l.mu.Unlock()
	for attempt := range soakAttempts {
		status, _ := l.soak.call(ctx, http.MethodDelete, j.queuePrefix+j.id, "", hostIndex+attempt)
		if status == http.StatusOK {
			l.soak.fleet.RecordCancellation(j.id)
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// drain polls all accepted jobs until they have ended or the timeout expires,
// and then checks them.
func (l *soakLoad) drain(ctx context.Context, timeout time.Duration) {
	end := time.Now().Add(timeout)
	for hostIndex := 0; time.Now().Before(end); hostIndex++ {
		unfinished := 0
		for _, j := range l.jobs {
			if j.acceptedAt.IsZero() || j.state == "completed" || j.state == "failed" || j.state == "cancelled" {
				continue
			}
			l.pollState(ctx, j, hostIndex)
			unfinished++
		}
		if unfinished == 0 {
			break
		}
		time.Sleep(soakPollInterval)
	}
	for _, j := range l.jobs {
		l.checkJob(j)
	}
}

// pollState requests the state of a job from a host.
func (l *soakLoad) pollState(ctx context.Context, j *soakJob, hostIndex int) {
	status, body := l.soak.call(ctx, http.MethodGet, j.queuePrefix+j.id, "", hostIndex)
	if status == http.StatusGone && time.Since(j.acceptedAt) > soakVisibilityDelay {
		l.soak.fleet.ReportViolation("job %s: accepted, but unknown %v later", j.id, time.Since(j.acceptedAt))
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

// checkJob checks the final state of a job. A job that may have been accepted
// without an answer is not checked.
func (l *soakLoad) checkJob(j *soakJob) {
	report := l.soak.fleet.ReportViolation
	switch {
	case j.acceptedAt.IsZero() && j.unknown:
	case j.acceptedAt.IsZero():
		for _, task := range j.taskIDs {
			if l.soak.fleet.Started(task) {
				report("job %s: refused %d times and never accepted, but ran", j.id, j.refusals)
			}
		}
	case j.state == "completed" && deadly(j.id):
		report("job %s: reported as completed, but its task crashes its workers", j.id)
	case j.state == "completed":
		for _, task := range j.taskIDs {
			if !l.soak.fleet.Succeeded(task) && !strings.Contains(j.body, `"gang":true`) {
				report("job %s: reported as completed, but task %s did not succeed", j.id, task)
			}
		}
	case j.state == "cancelled" && !j.cancelled:
		report("job %s: reported as cancelled, but no cancellation was requested", j.id)
	case j.state == "failed" && !strings.Contains(j.body, "end=failed") && !deadly(j.id) && l.soak.Calm:
		report("job %s: reported as failed without a cause", j.id)
	case j.state == "queued" || j.state == "active" || j.state == "":
		report("job %s: still %q at the end", j.id, j.state)
	}
}

// accepted returns the number of accepted jobs.
func (l *soakLoad) accepted() int {
	return l.countJobs(func(j *soakJob) bool { return !j.acceptedAt.IsZero() })
}

// refused returns the number of jobs that were refused on every attempt.
func (l *soakLoad) refused() int {
	return l.countJobs(func(j *soakJob) bool { return j.acceptedAt.IsZero() && !j.unknown })
}

// reported returns the number of jobs whose state was reported at least once.
func (l *soakLoad) reported() int { return l.countJobs(func(j *soakJob) bool { return j.state != "" }) }

// countJobs returns the number of jobs that match.
func (l *soakLoad) countJobs(matches func(*soakJob) bool) int {
	n := 0
	for _, j := range l.jobs {
		if matches(j) {
			n++
		}
	}
	return n
}
