package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"primrosespar.example/primrosespar/internal/standin/partitioner"
	"primrosespar.example/primrosespar/platform/standin"
)

// Times of the tasks while the region is cut off. The longer ones are at work
// when another host starts them again, the shorter ones have ended by then.
const (
	longCutTask  = 14 * time.Second
	shortCutTask = 7 * time.Second
	// cutStartTimeout is how long the tasks may take to start.
	cutStartTimeout = 5 * time.Second
	// cutEndTimeout is how long the jobs may take to end after the cut.
	cutEndTimeout = 30 * time.Second
	// cutTasks is the number of tasks of a job, cutLease the longest lease of a
	// worker.
	cutTasks = 3
	cutLease = 6 * time.Second
)

// cutCommand cuts the region of the lease holder off while its tasks run there.
type cutCommand struct {
	Product string        `help:"Program of the hosts." default:"bin/primrosespar" type:"path"`
	Cut     time.Duration `help:"How long the region is cut off." default:"14s"`
	Freeze  time.Duration `help:"How long the holder is frozen from the start of the cut."`
	Keep    string        `help:"Directory for the logs; a temporary one by default." type:"path"`
}

// Run plays the cut and fails if a task ran twice or a job did not end.
func (c *cutCommand) Run() error {
	dir, err := makeLogDir(c.Keep)
	if err != nil {
		return err
	}
	s, err := newSoak(soakCommand{Product: c.Product, Hosts: 3, Regions: 3, Workers: 6, Lease: cutLease, Keep: c.Keep}, dir)
	if err != nil {
		return err
	}
	defer s.close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if err := s.startHosts(ctx); err != nil {
		return err
	}
	time.Sleep(soakSettleTime)
	if err := c.play(ctx, s); err != nil {
		return err
	}
	return s.report(fmt.Sprintf("region of the holder cut off for %v: %d starts", c.Cut, s.fleet.Starts()), dir)
}

// play starts the jobs, cuts the region off, and waits until the jobs have
// ended.
func (c *cutCommand) play(ctx context.Context, s *soak) error {
	holder, err := s.holder()
	if err != nil {
		return err
	}
	if holder == nil {
		return eris.New("no host holds the lease")
	}
	var jobs []standin.Job
	for _, work := range []time.Duration{longCutTask, shortCutTask} {
		job, err := s.submitCutJob(ctx, holder.region, work)
		if err != nil {
			return err
		}
		jobs = append(jobs, job)
	}
	if err := s.awaitStarts(jobs); err != nil {
		return err
	}
	s.cutOff(holder.region, partitioner.Both)
	if c.Freeze > 0 {
		holder.signal(syscall.SIGSTOP)
		time.Sleep(c.Freeze)
		holder.signal(syscall.SIGCONT)
	}
	time.Sleep(c.Cut - c.Freeze)
	s.heal(holder.region)
	s.awaitCompletion(ctx, jobs)
	return nil
}

// submitCutJob submits a job whose data is in the region.
func (s *soak) submitCutJob(ctx context.Context, region string, work time.Duration) (standin.Job, error) {
	job := standin.Job{
		ID: fmt.Sprintf("%016x", rand.Uint64()), Prefix: standin.PlainPrefix, Spec: fmt.Sprintf("ms=%d", work.Milliseconds()),
		Steps: []standin.Step{{Count: cutTasks, Millicores: 1000, MemoryMiB: 64, GPUs: 1, EstimateMS: work.Milliseconds()}},
	}
	for _, w := range s.fleet.Workers() {
		if w.Region() == region {
			job.Steps[0].DataRack = w.Rack()
		}
	}
	body, err := job.Body()
	if err != nil {
		return job, err
	}
	if status, _ := s.call(ctx, http.MethodPost, job.Path(), string(body), 0); status != http.StatusOK {
		return job, eris.Errorf("job %s was not accepted: status %d", job.ID, status)
	}
	return job, nil
}

// awaitStarts waits until all tasks of the jobs have started.
func (s *soak) awaitStarts(jobs []standin.Job) error {
	expired := time.Now().Add(cutStartTimeout)
	for _, job := range jobs {
		for _, task := range job.Tasks() {
			for !s.fleet.Started(task) {
				if time.Now().After(expired) {
					return eris.Errorf("task %s did not start within %v", task, cutStartTimeout)
				}
				time.Sleep(10 * time.Millisecond)
			}
		}
	}
	return nil
}

// awaitCompletion waits until all hosts report the jobs as completed, which has
// to be within cutEndTimeout.
func (s *soak) awaitCompletion(ctx context.Context, jobs []standin.Job) {
	expired := time.Now().Add(cutEndTimeout)
	for _, job := range jobs {
		for hostIndex := range s.hosts {
			for state := ""; state != "completed"; time.Sleep(soakPollInterval) {
				if time.Now().After(expired) {
					s.fleet.ReportViolation("job %s: %q at %s %v after the cut", job.ID, state, s.hosts[hostIndex].name, cutEndTimeout)
					return
				}
				state = s.state(ctx, job.Path(), hostIndex)
			}
		}
	}
}

// state returns the state of a job at a host, or nothing if it gives none.
func (s *soak) state(ctx context.Context, path string, hostIndex int) string {
	var body struct {
		State string `json:"state"`
	}
	status, data := s.call(ctx, http.MethodGet, path, "", hostIndex)
	if status != http.StatusOK || json.Unmarshal([]byte(data), &body) != nil {
		return ""
	}
	return body.State
}
