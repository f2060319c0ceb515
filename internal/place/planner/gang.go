package planner

import (
	"cmp"
	"time"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/place/estimator"
	"primrosespar.example/primrosespar/internal/place/packer"
)

type phase int

const (
	phaseQueued phase = iota
	// phasePending claims wait for evicted gangs to stop.
	phasePending
	phaseRunning
	// phaseStopping gangs were evicted and have not stopped yet.
	phaseStopping
)

// gang is what the planner knows of one job.
type gang struct {
	job             primrosespar.Job
	account         *account
	phase           phase
	rank            int
	due             time.Time
	sequence        uint64
	slices          []primrosespar.Slice
	borrowed        bool
	memberResources resources
	// unitBlocks are the guaranteed blocks a claim draws on, one for each unit.
	unitBlocks []*guaranteedBlock
	started    time.Time
	// savedAt is the time of the last checkpoint, or of the start.
	savedAt time.Time
	victims map[primrosespar.JobID]*gang
	// blockedClaims are the claims that this evicted gang has to make room for.
	blockedClaims []*gang
	waitReason    primrosespar.Code
	// weightedUse orders the gang within one plan.
	weightedUse float64
	// blockedSince is since when no capacity was found, zero if it was not missing.
	blockedSince time.Time
	// overran gangs ran longer than their estimate once.
	overran bool
	// restored gangs started at an unknown time before this planner did.
	restored bool
	// peakUse is the largest use that a member reported.
	peakUse estimator.Size
	// checkpointedMembers are the members whose last report shows a checkpoint.
	checkpointedMembers map[int]bool
}

// resources is what one member uses beside accelerators.
type resources struct {
	cores  int
	memory int64
}

// Ranks of the queue.
const (
	rankClaim = iota
	rankUrgent
	rankOther
)

func queueLess(a, b *gang) bool {
	return cmp.Or(
		cmp.Compare(a.rank, b.rank),
		a.due.Compare(b.due),
		cmp.Compare(a.sequence, b.sequence),
	) < 0
}

// placementKey groups gangs that fail together within one plan.
type placementKey struct {
	account            primrosespar.Account
	class              primrosespar.Class
	shape              primrosespar.Shape
	claim, preemptible bool
	// overran and declared decide on back-fill into the reservation, which
	// its holder enters freely.
	overran, holdsReservation bool
	declared                  time.Duration
}

func (g *gang) placementKey(reserved *reservation) placementKey {
	key := placementKey{
		account: g.job.Account, class: g.job.Class, shape: g.job.Shape,
		claim: g.job.Claim, preemptible: g.preemptible(),
	}
	if reserved != nil {
		key.overran, key.holdsReservation, key.declared = g.overran, reserved.holder == g, g.job.Declared
	}
	return key
}

func (g *gang) size() int {
	return g.job.Shape.Accelerators()
}

// units returns the number and level of the blocks that the shape takes.
func units(s primrosespar.Shape) (count, level int) {
	if s.Block == 0 {
		return 0, 0
	}
	if s.OneRack {
		return 1, packer.LevelOf(s.Members * s.Block)
	}
	return s.Members, packer.LevelOf(s.Block)
}

// membersOfUnit returns the members that stand in one unit.
func membersOfUnit(s primrosespar.Shape, i int) (first, members int) {
	if s.OneRack {
		return 0, s.Members
	}
	return i, 1
}

// unitSlices gives the members of unit i their cells from the start of the
// unit's cells.
func unitSlices(s primrosespar.Shape, i int, cells []primrosespar.Slice) []primrosespar.Slice {
	first, members := membersOfUnit(s, i)
	var out []primrosespar.Slice
	for m := range members {
		out = append(out, packer.Sub(cells, m*s.Block, s.Block, first+m)...)
	}
	return out
}

// preemptible reports whether the gang may run on borrowed capacity.
func (g *gang) preemptible() bool {
	return !g.job.Claim && g.job.Preemptible
}

// lostTime is the run time that the gang loses if it is stopped now.
func (g *gang) lostTime(now time.Time) time.Duration {
	if g.phase == phaseStopping {
		return 0
	}
	return max(now.Sub(g.savedAt), 0)
}

// Add queues the job.
func (p *Planner) Add(job primrosespar.Job, now time.Time) error {
	if _, known := p.gangs[job.ID]; known {
		return primrosespar.Fail(primrosespar.CodeConflict, "job %s is known already", job.ID)
	}
	if err := p.admit(job); err != nil {
		return err
	}
	p.enqueue(p.newGang(job, now))
	return nil
}

func (p *Planner) newGang(job primrosespar.Job, now time.Time) *gang {
	p.sequence++
	a := p.accountOf(job.Account)
	g := &gang{job: job, account: a, sequence: p.sequence, rank: rankOther, due: dueTime(job, a.terms(job.Class), now), checkpointedMembers: map[int]bool{}}
	if a.terms(job.Class).Urgent {
		g.rank = rankUrgent
	}
	if job.Claim {
		g.rank = rankClaim
	}
	p.gangs[job.ID] = g
	return g
}

func (p *Planner) enqueue(g *gang) {
	g.phase = phaseQueued
	g.waitReason = primrosespar.CodeOK
	g.memberResources = p.memberResources(g.job)
	p.queue.ReplaceOrInsert(g)
	p.untried.ReplaceOrInsert(g)
}

func (p *Planner) dequeue(g *gang) {
	p.queue.Delete(g)
	p.untried.Delete(g)
}

// Restore takes over a gang that was committed before a change of holder.
func (p *Planner) Restore(committed primrosespar.Gang, now time.Time) {
	if old, known := p.gangs[committed.Job.ID]; known {
		p.bindRestored()
		p.drop(old)
	}
	if committed.State.Ended() {
		return
	}
	g := p.newGang(committed.Job, now)
	if committed.State == primrosespar.GangQueued || len(committed.Slices) == 0 {
		p.enqueue(g)
		return
	}
	g.memberResources = p.memberResources(g.job)
	g.restored = true
	g.slices, g.borrowed = committed.Slices, committed.Borrowed
	g.started, g.savedAt = now, now
	g.phase = phaseRunning
	if committed.State == primrosespar.GangStopping {
		g.phase = phaseStopping
	}
	p.countGang(g, 1)
	if g.job.Claim && !p.restoreBindings(g, committed.Bindings) {
		p.restored = append(p.restored, g)
		return
	}
	p.hold(g)
	p.capacityChanged = true
}

// Requeue frees the accelerators of a placed job and queues it again.
func (p *Planner) Requeue(id primrosespar.JobID, now time.Time) {
	p.bindRestored()
	g := p.gangs[id]
	if g == nil || g.phase == phaseQueued {
		return
	}
	if g.phase != phasePending && now.Sub(g.started) > p.estimate(g).High {
		g.overran = true
	}
	g.restored = false
	p.release(g)
	p.enqueue(g)
}

// Remove forgets a job that ended or was cancelled.
func (p *Planner) Remove(id primrosespar.JobID, outcome primrosespar.GangState, now time.Time) {
	p.bindRestored()
	if g := p.gangs[id]; g != nil {
		p.recordOutcome(g, outcome, now)
		p.drop(g)
	}
}

func (p *Planner) drop(g *gang) {
	p.dequeue(g)
	p.clearBlocked(g)
	p.release(g)
	delete(p.gangs, g.job.ID)
}

// hold marks the gang's cells and its use of cores and memory.
func (p *Planner) hold(g *gang) {
	state := packer.NonPreemptible
	if g.borrowed {
		state = packer.Preemptible
	}
	p.packer.Hold(g.slices, g.job.ID, state)
	p.countUse(g, 1)
}

// release gives up all that the gang holds or has reserved.
func (p *Planner) release(g *gang) {
	switch g.phase {
	case phaseQueued:
		return
	case phasePending:
		p.pending.Delete(g)
		g.account.countPending(g, -1)
		for _, v := range g.victims {
			v.blockedClaims = withoutGang(v.blockedClaims, g)
		}
		g.victims = nil
	default:
		p.countGang(g, -1)
	}
	p.packer.Release(g.slices, g.job.ID)
	p.countUse(g, -1)
	p.releaseGuarantees(g)
	for _, w := range g.blockedClaims {
		delete(w.victims, g.job.ID)
	}
	g.blockedClaims, g.slices, g.borrowed = nil, nil, false
	clear(g.checkpointedMembers)
	delete(p.checkpointed, g.job.ID)
	g.phase = phaseQueued
	p.capacityChanged = true
}

func withoutGang(gangs []*gang, g *gang) []*gang {
	var out []*gang
	for _, other := range gangs {
		if other != g {
			out = append(out, other)
		}
	}
	return out
}
