package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/operator/caller"
	"primrosespar.example/primrosespar/platform/standin"
)

// operatorToken is the token of the operators of a soak.
const operatorToken = "operator-of-the-soak"

// Limits of the evacuations.
const (
	// maxEvacuations bounds the evacuations of a region in a row, which last
	// between minEvacuationTime and maxEvacuationTime and are up to
	// maxEvacuationGap apart.
	maxEvacuations    = 3
	minEvacuationTime = time.Second
	maxEvacuationTime = 11 * time.Second
	maxEvacuationGap  = 2 * time.Second
	// maxHeldUpTime is how long after a cut what it held back may arrive.
	maxHeldUpTime = time.Second
	// operatorCallTime bounds a call of an operator, of which there are at most
	// maxOperatorCalls to one host after the other.
	operatorCallTime = 2 * time.Second
	maxOperatorCalls = 30
)

// evacuationPlan is a drawn series of evacuations.
type evacuationPlan struct {
	regions []string
	// own evacuations are requested with the product's command.
	own       bool
	hostIndex int
	lengths   []time.Duration
	gaps      []time.Duration
}

// drawEvacuation draws a series of evacuations of one region or two.
func (f *soakFaults) drawEvacuation(random *rand.Rand) evacuationPlan {
	p := evacuationPlan{own: random.IntN(2) == 0, hostIndex: random.IntN(len(f.soak.hosts))}
	regions := f.soak.fleet.Regions()
	first, count := random.IntN(len(regions)), 1+random.IntN(2)
	for i := range min(count, len(regions)-1) {
		p.regions = append(p.regions, regions[(first+i)%len(regions)])
	}
	for range 1 + random.IntN(maxEvacuations) {
		p.lengths = append(p.lengths, drawTime(random, minEvacuationTime, maxEvacuationTime))
		p.gaps = append(p.gaps, drawTime(random, 0, maxEvacuationGap))
	}
	return p
}

// evacuate plays a plan unless a region is evacuated already.
func (f *soakFaults) evacuate(ctx context.Context, p evacuationPlan) {
	if !f.evacuating.TryLock() {
		return
	}
	f.tasks.Go(func() {
		defer f.evacuating.Unlock()
		for i, length := range p.lengths {
			for _, region := range p.regions {
				f.request(ctx, p, region)
			}
			time.Sleep(length)
			for _, region := range p.regions {
				f.takeBack(ctx, p, region)
			}
			time.Sleep(p.gaps[i])
		}
	})
}

// request requests the evacuation of a region.
func (f *soakFaults) request(ctx context.Context, p evacuationPlan, region string) {
	if !p.own {
		f.soak.fleet.Evacuate(region)
		return
	}
	accepted := f.soak.operate(ctx, p.hostIndex, func(ctx context.Context, c *caller.Caller) error {
		_, err := c.Evacuate(ctx, primrosespar.Place(f.soak.fleet.Zone(region)))
		return err
	})
	if accepted {
		f.soak.fleet.MarkEvacuated(region)
	}
}

// takeBack takes the evacuation of a region back, which may have been requested
// without an answer.
func (f *soakFaults) takeBack(ctx context.Context, p evacuationPlan, region string) {
	if !p.own {
		f.soak.fleet.Restore(region)
		return
	}
	f.soak.fleet.MarkRestored(region)
	restored := f.soak.operate(ctx, p.hostIndex, func(ctx context.Context, c *caller.Caller) error {
		_, err := c.Restore(ctx, primrosespar.Place(f.soak.fleet.Zone(region)))
		if primrosespar.CodeOf(err) == primrosespar.CodeNotFound {
			return nil
		}
		return err
	})
	if !restored {
		f.soak.fleet.ReportViolation("region %s cannot be restored: %d calls failed", region, maxOperatorCalls)
	}
}

// restoreAll takes all evacuations back at the end. A request that a cut held
// back may have arrived after it was taken back.
func (f *soakFaults) restoreAll(ctx context.Context) {
	if !f.soak.troubles[troubleEvacuate] {
		return
	}
	for _, region := range f.soak.fleet.Regions() {
		f.takeBack(ctx, evacuationPlan{own: true}, region)
	}
}

// operate makes a call of an operator to one host after the other until one
// accepts it, and reports whether one has.
func (s *soak) operate(ctx context.Context, hostIndex int, call func(context.Context, *caller.Caller) error) bool {
	for i := range maxOperatorCalls {
		h := s.hosts[(hostIndex+i)%len(s.hosts)]
		client := caller.New(caller.WithServer(fmt.Sprintf("http://%s:%d", h.ip, h.peers.Port()+1)), caller.WithToken(operatorToken))
		callCtx, cancel := context.WithTimeout(ctx, operatorCallTime)
		err := call(callCtx, client)
		cancel()
		if err == nil {
			return true
		}
		s.fleet.Remark(fmt.Sprintf("operator's call to %s failed: %v", h.name, err))
		time.Sleep(operatorCallTime / 4)
	}
	return false
}

// heldUp reports whether an order of a host may have been held up by a cut that
// was between it and the worker.
func (s *soak) heldUp(w *standin.Worker, host netip.Addr) bool {
	region := ""
	for _, h := range s.hosts {
		if h.ip == host {
			region = h.region
		}
	}
	s.healedMu.Lock()
	defer s.healedMu.Unlock()
	return region != w.Region() && (time.Since(s.healedAt[region]) < maxHeldUpTime || time.Since(s.healedAt[w.Region()]) < maxHeldUpTime)
}
