package main

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"primrosespar.example/primrosespar/platform/standin"
)

// Limits of the callers.
const (
	soakAttempts      = 5
	soakTimeout       = 3 * time.Second
	soakRetryInterval = 200 * time.Millisecond
	soakPollInterval  = 300 * time.Millisecond
	// foreignInterval is the number of jobs of which another tenant calls about
	// one.
	foreignInterval = 6
)

// soakLoad submits the jobs of a soak's callers.
type soakLoad struct {
	soak   *soak
	random *rand.Rand
	drawer *jobDrawer
	ends   endsDisturber

	mu   sync.Mutex
	jobs []*soakJob
	// faultsEndedAt is when the faults ended, and the jobs are only checked.
	faultsEndedAt time.Time
}

// newSoakLoad returns the load of a soak without any jobs.
func newSoakLoad(s *soak, random *rand.Rand) *soakLoad {
	drawer := &jobDrawer{random: random, troubles: s.troubles, drawn: map[jobKind]int{}}
	for _, w := range s.fleet.Workers() {
		drawer.racks = append(drawer.racks, w.Rack())
	}
	return &soakLoad{soak: s, random: random, drawer: drawer, ends: endsDisturber{soak: s}}
}

// run submits jobs for the duration and cancels some of them. It returns once
// the callers of all jobs have finished.
func (l *soakLoad) run(ctx context.Context, d time.Duration) {
	var callers conc.WaitGroup
	defer callers.Wait()
	end := time.Now().Add(d)
	for time.Now().Before(end) && ctx.Err() == nil {
		j := l.drawer.next()
		l.add(j)
		hostIndex := l.random.IntN(len(l.soak.hosts))
		cancels, foreign := l.random.IntN(8) == 0, l.random.IntN(foreignInterval) == 0
		callers.Go(func() {
			l.submit(ctx, j, hostIndex)
			if j.acceptedAt.IsZero() {
				return
			}
			switch j.kind {
			case refusedJob:
				l.soak.fleet.Store().RefuseJob(j.ID)
			case endsJob:
				l.ends.disturb(ctx, j)
			default:
			}
			if foreign && l.soak.troubles[troubleForeign] {
				l.callAsOther(ctx, j, hostIndex)
			}
			if cancels {
				l.cancel(ctx, j, hostIndex+1)
			}
		})
		time.Sleep(time.Duration(l.random.ExpFloat64() / l.soak.Rate * float64(time.Second)))
	}
}

// add adds a job that is about to be submitted.
func (l *soakLoad) add(j *soakJob) {
	if j.RepeatCount > 0 {
		l.soak.fleet.SetSchedule(j.ID, time.UnixMilli(j.StartAtMS), time.Duration(j.IntervalMS)*time.Millisecond)
	}
	if j.kind == killJob {
		l.soak.kills.add(j.ID)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.jobs = append(l.jobs, j)
}

// submit submits a job and repeats the call at another host until it is
// accepted or soakAttempts is reached.
func (l *soakLoad) submit(ctx context.Context, j *soakJob, hostIndex int) {
	body, err := j.Body()
	if err != nil {
		l.soak.fleet.ReportViolation("job %s: %v", j.ID, err)
		return
	}
	for attempt := range soakAttempts {
		status, _ := l.soak.call(ctx, http.MethodPost, j.Path(), string(body), hostIndex+attempt)
		l.mu.Lock()
		switch status {
		case http.StatusOK:
			j.acceptedAt = time.Now()
		case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusBadRequest, http.StatusRequestEntityTooLarge:
			j.refusals++
		default:
			j.unknown = true
		}
		accepted := !j.acceptedAt.IsZero()
		l.mu.Unlock()
		if accepted {
			return
		}
		time.Sleep(soakRetryInterval)
	}
}

// cancel requests the cancellation of a job until a host acknowledges it or
// soakAttempts is reached.
func (l *soakLoad) cancel(ctx context.Context, j *soakJob, hostIndex int) {
	l.mu.Lock()
	j.cancelled = true
	l.mu.Unlock()
	for attempt := range soakAttempts {
		status, _ := l.soak.call(ctx, http.MethodDelete, j.Path(), "", hostIndex+attempt)
		if status == http.StatusOK {
			l.soak.fleet.RecordCancellation(j.ID)
			return
		}
		time.Sleep(soakRetryInterval)
	}
}

// callAsOther reads and cancels a job with the key of another tenant, which may
// not succeed.
func (l *soakLoad) callAsOther(ctx context.Context, j *soakJob, hostIndex int) {
	for _, method := range []string{http.MethodGet, http.MethodDelete} {
		status, _ := l.soak.callAs(ctx, standin.OtherAPIKey, method, j.Path(), "", hostIndex)
		if status == http.StatusOK {
			l.soak.fleet.ReportViolation("job %s: %s with the key of another tenant succeeded", j.ID, method)
		}
	}
}
