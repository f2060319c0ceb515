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

// submitted is one job that a host accepted.
type submitted struct {
	ID    primrosespar.JobID
	Place primrosespar.Place
	Claim bool
	// Sent is when the accepted call began.
	Sent time.Time
}

// submitters submits jobs, claims and cancellations.
type submitters struct {
	deployment *deployment
	scenario   scenario
	seed       uint64

	mu   sync.Mutex
	jobs []submitted
}

// Pauses, run time and sizes of the jobs.
const (
	jobPause   = 900 * time.Millisecond
	claimPause = 4 * time.Second
	jobTime    = 3 * time.Second
	// longTime is above partialBound: a partial gang that ends sooner is not
	// counted.
	longTime   = 18 * time.Second
	longPart   = 6
	claimTime  = 500 * time.Millisecond
	cancelPart = 4
	// endTime is how long jobs have to end after the load.
	endTime = 25 * time.Second
)

// run submits borrowed gangs in every place, of which some are cancelled, and
// claims the guaranteed rack of the scenario's place again and again.
func (s *submitters) run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for i, p := range s.deployment.settings.Places {
		random := rand.New(rand.NewPCG(s.seed, uint64(100+i)))
		wg.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				members, block := 2+random.IntN(4), 1<<random.IntN(4)
				run := jobTime
				if n%longPart == 1 {
					run = longTime
				}
				id, ok := s.submit(ctx, s.scenario.borrower, p.Place, fmt.Sprintf("gang-%s-%d", p.Place, n), members, block, run, false)
				if ok && n%cancelPart == 0 {
					pause(ctx, time.Duration(random.IntN(1500))*time.Millisecond)
					if h := s.deployment.pick(p.Place, n); h != nil {
						_, _ = operatorAt(s.deployment, h).Cancel(ctx, id)
					}
				}
				pause(ctx, jobPause)
			}
		})
	}
	for n := 0; ctx.Err() == nil; n++ {
		_, _ = s.submit(ctx, s.scenario.owner, s.scenario.place, fmt.Sprintf("claim-%d", n), 1, workersPerRack*accelerators, claimTime, true)
		pause(ctx, claimPause)
	}
}

func operatorAt(d *deployment, h *entryHost) *caller.Caller {
	return caller.New(caller.WithServer("http://"+h.addresses.Operators.String()), caller.WithToken(string(d.settings.Operators[0].Token)))
}

// submit submits a job, with the same key at another host if no answer came.
func (s *submitters) submit(ctx context.Context, account primrosespar.Account, place primrosespar.Place, key string, members, block int, run time.Duration, claim bool) (primrosespar.JobID, bool) {
	for turn := range 3 {
		h := s.deployment.pick(place, turn)
		if h == nil {
			return "", false
		}
		sent := time.Now()
		job := s.scenario
		job.place = place
		id, err := submit(ctx, operatorAt(s.deployment, h), job, account, key, members, block, run, claim)
		if err != nil {
			pause(ctx, callPause)
			continue
		}
		s.mu.Lock()
		s.jobs = append(s.jobs, submitted{ID: id, Place: place, Claim: claim, Sent: sent})
		s.mu.Unlock()
		return id, true
	}
	return "", false
}

// judgeGangs judges jobs by the history of the workers.
func (t *trial) judgeGangs(ctx context.Context) error {
	t.awaitEnds(ctx)
	history, err := historyOf(ctx, t.deployment)
	if err != nil {
		return err
	}
	var counts struct {
		Workers executor.Counts `json:"workers"`
	}
	if err := t.deployment.admin(ctx, http.MethodGet, "/admin/counts", nil, &counts); err != nil {
		return err
	}
	t.seen["gangs_started"] = history.Summary.GangsStarted
	for _, id := range history.Summary.Partial {
		t.findings.add("gang_partial", "gang %s ran partially for longer than %s", id, partialBound)
	}
	if n := counts.Workers.DoubleStarts; n > 0 {
		t.findings.add("given_twice", "%d starts on accelerators that another task has", n)
	}
	judgeClaims(&t.findings, t.seen, t.submitters.jobs, history, t.schedule.windows)
	return nil
}

// awaitEnds waits for the end of every job and reports those that neither
// ended nor wait for a stated reason.
func (t *trial) awaitEnds(ctx context.Context) {
	states := map[primrosespar.JobID]caller.JobAnswer{}
	for deadline := time.Now().Add(endTime); time.Now().Before(deadline); time.Sleep(time.Second) {
		open := 0
		for _, j := range t.submitters.jobs {
			if states[j.ID].State.Ended() {
				continue
			}
			answer, err := operatorAt(t.deployment, t.deployment.pick(j.Place, 0)).Job(ctx, j.ID)
			if err == nil {
				states[j.ID] = answer
			}
			if !states[j.ID].State.Ended() {
				open++
			}
		}
		if open == 0 {
			break
		}
	}
	for _, j := range t.submitters.jobs {
		state := states[j.ID]
		switch {
		case state.State.Ended():
			t.seen["jobs_ended"]++
		case state.State == primrosespar.GangQueued && state.Reason != primrosespar.CodeOK:
			t.seen["jobs_waiting"]++
		default:
			t.findings.add("job_stuck", "job %s of %s is %q (%s) %s after the load", j.ID, j.Place, state.State, state.Reason, endTime)
		}
	}
}

// holderTime is how long a place may lack a holder after a fault of a host: 6 s
// until the takeover, and 2 s for the next renewal and the scan.
const holderTime = 8 * time.Second

// judgeClaims checks that claims start in time. A claim is excused only if a
// fault that takes away its platform or its holder overlaps its time: one of
// the store (outage, slow, lose), or a fault of its place (cut, kill, freeze,
// replace, stop, and those of workers), each until holderTime after its end.
func judgeClaims(f *findings, seen map[string]int, jobs []submitted, history server.History, windows []window) {
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
		due := j.Sent.Add(urgentBound)
		if slices.ContainsFunc(windows, func(w window) bool {
			harmless := w.Fault == "misbehave" || w.Fault == "leave"
			return !harmless && (w.Place == "" || w.Place == j.Place) && w.From.Before(due) && w.To.Add(holderTime).After(j.Sent)
		}) {
			seen["claims_excused"]++
			continue
		}
		seen["claims_judged"]++
		if at := released[j.ID]; at.IsZero() || at.After(due) {
			f.add("claim_late", "claim %s started %s after its submission", j.ID, at.Sub(j.Sent))
		}
	}
}
