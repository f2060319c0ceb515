package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"regexp"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/operator/caller"
)

// maxEnforcementDelay is the time within which every host enforces an accepted
// amendment or is restricted.
const maxEnforcementDelay = 7 * time.Second

// Pauses between two races and between two polls of a host's status.
const (
	raceInterval       = 700 * time.Millisecond
	statusPollInterval = 200 * time.Millisecond
)

// maxRaces keeps the contract's history, with two amendments per race, within
// one page of 200 entries.
const maxRaces = 90

// amendment is an attempt to change the contract, and its outcome.
type amendment struct {
	ID          string
	Race        int
	BaseVersion primrosespar.Version
	Revision    primrosespar.Revision
	End         time.Time
	Code        primrosespar.Code
	// Both Accepted and Refused are false if the outcome is unknown.
	Accepted, Refused bool
}

// statusSample is one status that a host reported.
type statusSample struct {
	Host       string
	PID        int
	Sent       time.Time
	Revision   primrosespar.Revision
	Restricted bool
}

// operators amends one contract through two hosts at once and polls the status
// of all hosts.
type operators struct {
	deployment *deployment
	account    primrosespar.Account
	random     *rand.Rand

	mu         sync.Mutex
	amendments []amendment
	samples    []statusSample
}

// client returns an operator's client of the host.
func (o *operators) client(h *entryHost) *caller.Caller {
	return caller.New(caller.WithServer("http://"+h.addresses.Operators.String()),
		caller.WithToken(string(o.deployment.settings.Operators[0].Token)))
}

// run starts races until ctx ends: two operators amend the same version of the
// contract at the same time.
func (o *operators) run(ctx context.Context, examplesDir string) error {
	document, err := os.ReadFile(filepath.Join(examplesDir, string(o.account)+".contract.toml"))
	if err != nil {
		return eris.Wrap(err, "read contract")
	}
	weightLine := regexp.MustCompile(`(?m)^weight = \d+$`)
	for race := 0; ctx.Err() == nil && race < maxRaces; race++ {
		sleepContext(ctx, raceInterval)
		first, second := o.randomHost(), o.randomHost()
		if first == nil || second == nil {
			continue
		}
		contract, err := o.client(first).Contract(ctx, o.account)
		if err != nil {
			continue
		}
		var wg sync.WaitGroup
		for i, h := range []*entryHost{first, second} {
			amended := weightLine.ReplaceAll(document, fmt.Appendf(nil, "weight = %d", 1+(2*race+i)%1000))
			wg.Go(func() {
				o.amend(context.WithoutCancel(ctx), h, amendment{ID: fmt.Sprintf("race-%d-%d", race, i), Race: race, BaseVersion: contract.Version}, amended)
			})
		}
		wg.Wait()
	}
	return nil
}

// randomHost returns a host of a random place, or nil if the place has none.
func (o *operators) randomHost() *entryHost {
	places := o.deployment.settings.Places
	return o.deployment.pickHost(places[o.random.IntN(len(places))].Place, o.random.IntN(1<<16))
}

// amend applies one amendment and records the response.
func (o *operators) amend(ctx context.Context, h *entryHost, a amendment, document []byte) {
	answer, err := o.client(h).Apply(ctx, o.account, a.BaseVersion, a.ID, document)
	a.End, a.Code = time.Now(), primrosespar.CodeOf(err)
	a.Accepted, a.Revision = err == nil, answer.Revision
	a.Refused = a.Code == primrosespar.CodeVersionConflict || a.Code == primrosespar.CodeConflict
	o.mu.Lock()
	defer o.mu.Unlock()
	o.amendments = append(o.amendments, a)
}

// watchHosts polls the status of every host, also of those that start later,
// until ctx ends.
func (o *operators) watchHosts(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	polled := map[*entryHost]bool{}
	for ctx.Err() == nil {
		for _, p := range o.deployment.settings.Places {
			for _, h := range o.deployment.liveHosts(p.Place) {
				if !polled[h] {
					polled[h] = true
					wg.Go(func() { o.pollStatus(ctx, h) })
				}
			}
		}
		sleepContext(ctx, statusPollInterval)
	}
}

// pollStatus polls the status of one host until its process or ctx ends.
func (o *operators) pollStatus(ctx context.Context, h *entryHost) {
	client := o.client(h)
	for ctx.Err() == nil {
		select {
		case <-h.process.done:
			return
		default:
		}
		sent := time.Now()
		status, err := client.Status(ctx)
		if err == nil {
			o.mu.Lock()
			o.samples = append(o.samples, statusSample{string(h.name), h.process.cmd.Process.Pid, sent, status.Revision, status.Restricted})
			o.mu.Unlock()
		}
		sleepContext(ctx, statusPollInterval)
	}
}

// checkRevisions checks that the contract revision of a process never goes back
// and that a host which is not restricted enforces every accepted amendment
// within maxEnforcementDelay.
func checkRevisions(v *violations, observed map[string]int, o *operators) {
	lastRevisions := map[int]primrosespar.Revision{}
	for _, s := range o.samples {
		observed["statuses"]++
		if s.Revision < lastRevisions[s.PID] {
			v.add("revision_went_back", "host %s went back from revision %d to %d", s.Host, lastRevisions[s.PID], s.Revision)
		}
		lastRevisions[s.PID] = s.Revision
		if s.Restricted {
			observed["statuses_restricted"]++
			continue
		}
		for _, a := range o.amendments {
			if a.Accepted && a.Revision > s.Revision && s.Sent.Sub(a.End) > maxEnforcementDelay {
				v.add("amendment_not_in_force", "host %s is not restricted and enforces revision %d, %s after revision %d was accepted",
					s.Host, s.Revision, s.Sent.Sub(a.End), a.Revision)
				break
			}
		}
	}
}

// checkRaces checks that of two amendments of the same version one is accepted
// and the other refused, and that the history has every accepted amendment once
// and no refused one.
func checkRaces(v *violations, observed map[string]int, o *operators, history caller.HistoryAnswer) {
	entryCounts := map[string]int{}
	versions := map[primrosespar.Version]bool{}
	for _, e := range history.Entries {
		entryCounts[e.AmendmentID]++
		if versions[e.Version] {
			v.add("version_twice", "the history has version %d more than once", e.Version)
		}
		versions[e.Version] = true
	}
	byRace := map[int][]amendment{}
	for _, a := range o.amendments {
		byRace[a.Race] = append(byRace[a.Race], a)
		if a.Accepted && entryCounts[a.ID] != 1 {
			v.add("amendment_lost", "amendment %s was accepted and the history has it %d times", a.ID, entryCounts[a.ID])
		}
		if a.Refused && entryCounts[a.ID] != 0 {
			v.add("conflict_applied", "amendment %s was refused with %s and is in the history", a.ID, a.Code)
		}
	}
	for race, pair := range byRace {
		if len(pair) != 2 {
			continue
		}
		switch {
		case entryCounts[pair[0].ID]+entryCounts[pair[1].ID] > 1:
			v.add("both_operators_won", "race %d on version %d: the history has more than one amendment", race, pair[0].BaseVersion)
		case pair[0].Accepted && pair[1].Refused, pair[1].Accepted && pair[0].Refused:
			observed["races_decided"]++
		case pair[0].Refused && pair[1].Refused:
			v.add("no_operator_won", "race %d on version %d: both amendments were refused with a conflict", race, pair[0].BaseVersion)
		default:
			observed["races_hit_by_faults"]++
		}
	}
}
