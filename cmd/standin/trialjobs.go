package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/operator/caller"
	"primrosespar.example/primrosespar/internal/standin/executor"
	"primrosespar.example/primrosespar/internal/standin/server"
)

// submittedJob is one job that a host accepted.
type submittedJob struct {
	ID    primrosespar.JobID
	Place primrosespar.Place
	Claim bool
	// Sent is when the accepted call began.
	Sent time.Time
}

// jobSubmitter submits jobs and claims and cancels some of the jobs.
type jobSubmitter struct {
	deployment *deployment
	scenario   scenario
	seed       uint64

	mu   sync.Mutex
	jobs []submittedJob
}

// Intervals and run times of the jobs.
const (
	jobInterval   = 900 * time.Millisecond
	claimInterval = 4 * time.Second
	jobRunTime    = 3 * time.Second
	// longRunTime is longer than maxPartialTime, because a partial gang that
	// ends earlier is not counted. One of longJobPeriod jobs takes that long.
	longRunTime   = 18 * time.Second
	longJobPeriod = 6
	claimRunTime  = 500 * time.Millisecond
	// One of cancelPeriod jobs is cancelled.
	cancelPeriod = 4
	// jobEndTimeout is how long jobs may take to end after the load.
	jobEndTimeout = 25 * time.Second
)

// run submits gangs of the borrower in every place, cancels some of them and
// submits claims of the owner to its guaranteed rack until ctx ends.
func (s *jobSubmitter) run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for i, p := range s.deployment.settings.Places {
		random := rand.New(rand.NewPCG(s.seed, uint64(100+i)))
		wg.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				members, block := 2+random.IntN(4), 1<<random.IntN(4)
				runTime := jobRunTime
				if n%longJobPeriod == 1 {
					runTime = longRunTime
				}
				id, ok := s.submit(ctx, s.scenario.borrower, p.Place, fmt.Sprintf("gang-%s-%d", p.Place, n), members, block, runTime, false)
				if ok && n%cancelPeriod == 0 {
					sleepContext(ctx, time.Duration(random.IntN(1500))*time.Millisecond)
					if h := s.deployment.pickHost(p.Place, n); h != nil {
						_, _ = operatorClientAt(s.deployment, h).Cancel(ctx, id)
					}
				}
				sleepContext(ctx, jobInterval)
			}
		})
	}
	for n := 0; ctx.Err() == nil; n++ {
		_, _ = s.submit(ctx, s.scenario.owner, s.scenario.place, fmt.Sprintf("claim-%d", n), 1, workersPerRack*acceleratorsPerWorker, claimRunTime, true)
		sleepContext(ctx, claimInterval)
	}
}

// operatorClientAt returns a client with an operator's token for the host.
func operatorClientAt(d *deployment, h *entryHost) *caller.Caller {
	return caller.New(caller.WithServer("http://"+h.addresses.Operators.String()), caller.WithToken(string(d.settings.Operators[0].Token)))
}

// submit submits a job and repeats a failed call at another host with the same
// key.
func (s *jobSubmitter) submit(ctx context.Context, account primrosespar.Account, place primrosespar.Place, key string, members, block int, runTime time.Duration, claim bool) (primrosespar.JobID, bool) {
	for attempt := range 3 {
		h := s.deployment.pickHost(place, attempt)
		if h == nil {
			return "", false
		}
		sent := time.Now()
		sc := s.scenario
		sc.place = place
		id, err := submitGang(ctx, operatorClientAt(s.deployment, h), sc, account, key, members, block, runTime, claim)
		if err != nil {
			sleepContext(ctx, retryInterval)
			continue
		}
		s.mu.Lock()
		s.jobs = append(s.jobs, submittedJob{ID: id, Place: place, Claim: claim, Sent: sent})
		s.mu.Unlock()
		return id, true
	}
	return "", false
}

// checkJobs checks the jobs against the history and the counts of the workers.
func (t *trial) checkJobs(ctx context.Context) error {
	t.checkJobEnds(ctx)
	history, err := fetchWorkerHistory(ctx, t.deployment)
	if err != nil {
		return err
	}
	var counts struct {
		Workers executor.Counts `json:"workers"`
	}
	if err := t.deployment.callAdmin(ctx, http.MethodGet, "/admin/counts", nil, &counts); err != nil {
		return err
	}
	t.observed["gangs_started"] = history.Summary.GangsStarted
	for _, id := range history.Summary.Partial {
		t.violations.add("gang_partial", "gang %s ran without all of its members for longer than %s", id, maxPartialTime)
	}
	if n := counts.Workers.DoubleStarts; n > 0 {
		t.violations.add("given_twice", "%d starts on accelerators of another task", n)
	}
	checkClaims(&t.violations, t.observed, t.submitter.jobs, history, t.faults.windows)
	return nil
}

// checkJobEnds waits until every job has ended and reports those that have
// neither ended nor are queued with a reason.
func (t *trial) checkJobEnds(ctx context.Context) {
	answers := map[primrosespar.JobID]caller.JobAnswer{}
	for deadline := time.Now().Add(jobEndTimeout); time.Now().Before(deadline); time.Sleep(time.Second) {
		unfinished := 0
		for _, j := range t.submitter.jobs {
			if answers[j.ID].State.Ended() {
				continue
			}
			answer, err := operatorClientAt(t.deployment, t.deployment.pickHost(j.Place, 0)).Job(ctx, j.ID)
			if err == nil {
				answers[j.ID] = answer
			}
			if !answers[j.ID].State.Ended() {
				unfinished++
			}
		}
		if unfinished == 0 {
			break
		}
	}
	for _, j := range t.submitter.jobs {
		job := answers[j.ID]
		switch {
		case job.State.Ended():
			t.observed["jobs_ended"]++
		case job.State == primrosespar.GangQueued && job.Reason != primrosespar.CodeOK:
			t.observed["jobs_waiting"]++
		default:
			t.violations.add("job_stuck", "job %s of %s is %q (%s) %s after the load", j.ID, j.Place, job.State, job.Reason, jobEndTimeout)
		}
	}
}

// maxTakeoverTime is how long a place may have no lease holder after a host
// fault: 6 s until the takeover, and 2 s for the next renewal and the scan.
const maxTakeoverTime = 8 * time.Second

// checkClaims checks that claims start within maxClaimDelay. A claim is excused
// only if a fault that affects its platform or its lease holder overlaps that
// time: a fault of the store (outage, slow, lose), or one of its place (cut,
// kill, freeze, replace, stop, and those of workers), each until
// maxTakeoverTime after its end.
func checkClaims(v *violations, observed map[string]int, jobs []submittedJob, history server.History, windows []faultWindow) {
	released := map[primrosespar.JobID]time.Time{}
	for _, e := range history.Events {
		if e.Kind == executor.EventReleased && released[e.Gang].IsZero() {
			released[e.Gang] = e.At
		}
	}
	for _, j := range jobs {
		if !j.Claim {
			continue
		}
		due := j.Sent.Add(maxClaimDelay)
		if slices.ContainsFunc(windows, func(w faultWindow) bool {
			harmless := w.Fault == "misbehave" || w.Fault == "leave"
			return !harmless && (w.Place == "" || w.Place == j.Place) && w.From.Before(due) && w.To.Add(maxTakeoverTime).After(j.Sent)
		}) {
			observed["claims_excused"]++
			continue
		}
		observed["claims_judged"]++
		if releasedAt := released[j.ID]; releasedAt.IsZero() || releasedAt.After(due) {
			v.add("claim_late", "claim %s started %s after its submission", j.ID, releasedAt.Sub(j.Sent))
		}
	}
}
