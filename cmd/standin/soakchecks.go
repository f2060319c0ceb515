package main

import (
	"context"
	"encoding/json"
	"net/http"
	"time"
)

// Times of the checks.
const (
	// soakVisibilityDelay is how long after its acceptance a job may be unknown
	// to the hosts.
	soakVisibilityDelay = 3 * time.Second
	// soakContactTime is how long after the faults a host may still be without
	// contact to the others.
	soakContactTime = 4 * time.Second
	// minTimeAtWork is how long each open task of a long job has to have been at
	// work at the end.
	minTimeAtWork = 10 * time.Second
	// soakIdleTime is how long a job may have nothing at work while it could.
	soakIdleTime = 3 * time.Second
	// maxDrainExtension is how much longer a job may take that is at work when
	// the timeout expires: one lasting task after the other, in two steps.
	maxDrainExtension = 2 * maxLastingWork
)

// drain polls all accepted jobs until they have ended or the timeout expires,
// and then checks them. It goes on while each open job is at work.
func (l *soakLoad) drain(ctx context.Context, timeout time.Duration) {
	l.faultsEndedAt = time.Now()
	end, busyAt := time.Now().Add(timeout), time.Now()
	for hostIndex := 0; time.Now().Before(end.Add(maxDrainExtension)); hostIndex++ {
		unfinished, idle := 0, 0
		for _, j := range l.jobs {
			if j.acceptedAt.IsZero() || j.ended() {
				continue
			}
			l.pollState(ctx, j, hostIndex)
			if j.kind == refusedJob || l.atWork(j) {
				continue
			}
			unfinished++
			if !l.runs(j) {
				idle++
			}
		}
		if unfinished == 0 && time.Since(l.faultsEndedAt) > soakContactTime {
			break
		}
		if idle == 0 {
			busyAt = time.Now()
		}
		if time.Now().After(end) && time.Since(busyAt) > soakIdleTime {
			break
		}
		time.Sleep(soakPollInterval)
	}
	for _, j := range l.jobs {
		l.checkJob(j)
	}
}

// atWork reports whether the job is a long one and each of its tasks has either
// succeeded or been at work for some time.
func (l *soakLoad) atWork(j *soakJob) bool {
	if j.kind != longJob {
		return false
	}
	for _, task := range j.Tasks() {
		if !l.soak.fleet.Succeeded(task) && l.soak.fleet.TimeAtWork(task) < minTimeAtWork {
			return false
		}
	}
	return true
}

// runs reports whether a task of the job is at work.
func (l *soakLoad) runs(j *soakJob) bool {
	for _, task := range j.Tasks() {
		if l.soak.fleet.TimeAtWork(task) > 0 {
			return true
		}
	}
	return false
}

// pollState requests the state of a job from a host.
func (l *soakLoad) pollState(ctx context.Context, j *soakJob, hostIndex int) {
	status, body := l.soak.call(ctx, http.MethodGet, j.Path(), "", hostIndex)
	visible := time.Since(j.acceptedAt) > soakVisibilityDelay && time.Since(l.faultsEndedAt) > soakContactTime
	if status == http.StatusGone && visible && j.kind != refusedJob {
		l.soak.fleet.ReportViolation("job %s: accepted, but unknown %v later", j.ID, time.Since(j.acceptedAt))
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
// without an answer is not checked, and a refused one only if it completed.
func (l *soakLoad) checkJob(j *soakJob) {
	report := l.soak.fleet.ReportViolation
	switch {
	case j.acceptedAt.IsZero() && j.unknown:
	case j.acceptedAt.IsZero():
		for _, task := range j.Tasks() {
			if l.soak.fleet.Started(task) {
				report("job %s: refused %d times and never accepted, but ran", j.ID, j.refusals)
			}
		}
	case j.state == "completed" && j.kind == deadlyJob:
		report("job %s: reported as completed, but its task crashes its workers", j.ID)
	case j.state == "completed":
		if task := l.soak.fleet.Unsuccessful(j.Job); task != "" {
			report("job %s: reported as completed, but task %s did not succeed", j.ID, task)
		}
	case j.kind == refusedJob:
	case j.state == "cancelled" && !j.cancelled:
		report("job %s: reported as cancelled, but no cancellation was requested", j.ID)
	case j.state == "failed" && !l.soak.fleet.MayFail(j.Job):
		report("job %s: reported as failed without a cause", j.ID)
	case !j.ended() && !l.atWork(j):
		report("job %s: still %q at the end", j.ID, j.state)
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
