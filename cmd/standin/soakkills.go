package main

import (
	"context"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/sourcegraph/conc"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/platform/standin"
)

const (
	// maxCommitKills bounds the kills for one job.
	maxCommitKills = 5
	// commitKillDowntime is how long a host that was killed stays down.
	commitKillDowntime = time.Second
)

// commitKiller kills the lease holder when it has just stored progress of one of
// its jobs, before it learns of that.
type commitKiller struct {
	soak  *soak
	tasks conc.WaitGroup

	mu sync.Mutex
	// kills counts the kills for each job.
	kills map[string]int
	ended bool
}

// newCommitKiller returns a commitKiller without jobs.
func newCommitKiller(s *soak) *commitKiller {
	k := &commitKiller{soak: s, kills: map[string]int{}}
	s.fleet.Store().SetOnCommit(k.onCommit)
	return k
}

// add adds a job.
func (k *commitKiller) add(job string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.kills[job] = 0
}

// end ends the kills and waits for the last restart.
func (k *commitKiller) end() {
	k.mu.Lock()
	k.ended = true
	k.mu.Unlock()
	k.tasks.Wait()
}

// onCommit kills the host of a commit that has progress of a job.
func (k *commitKiller) onCommit(c standin.Commit) {
	job, ok := k.jobOf(c.Keys)
	if !ok {
		return
	}
	for _, h := range k.soak.hosts {
		if h.ip != c.Caller {
			continue
		}
		child := h.beginStop()
		if child == nil {
			return
		}
		k.soak.fleet.Remark("host " + h.name + " is killed at a commit of job " + job)
		child.signal(syscall.SIGKILL)
		k.tasks.Go(func() {
			<-child.done
			time.Sleep(commitKillDowntime)
			if err := k.soak.startHost(context.Background(), h); err != nil {
				k.soak.fleet.ReportViolation("host %s did not start: %v", h.name, err)
			}
		})
	}
}

// jobOf returns the job that the rows hold progress of and for which the holder
// is to be killed once more.
func (k *commitKiller) jobOf(keys []string) (string, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, key := range keys {
		for job, kills := range k.kills {
			if strings.HasPrefix(key, primrosespar.ProgressPrefix()) && strings.Contains(key, job) && kills < maxCommitKills && !k.ended {
				k.kills[job]++
				return job, true
			}
		}
	}
	return "", false
}
