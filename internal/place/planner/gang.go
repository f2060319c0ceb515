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
	// phasePending gangs have reserved cells and wait for preempted gangs to
	// stop.
	phasePending
	phaseRunning
	// phaseStopping gangs were preempted and have not stopped yet.
	phaseStopping
)

// gang is the state of one job in the planner.
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
	// unitBlocks holds the guaranteed block of each unit of a claim.
	unitBlocks []*guaranteedBlock
	startedAt  time.Time
	// savedAt is the time of the last checkpoint, or of the start.
	savedAt time.Time
	victims map[primrosespar.JobID]*gang
	// blockedGangs are the pending gangs that wait for this preempted gang to
	// stop.
	blockedGangs []*gang
	waitReason   primrosespar.Code
	// weightedUse is the account's use up to this gang divided by its weight;
	// it orders the gangs within one plan.
	weightedUse float64
	// blockedSince is when capacity for the gang was first missing, zero if it
	// was not.
	blockedSince time.Time
	// overran is set once the gang has run longer than its estimate.
	overran bool
	// restored gangs were started by an earlier holder at an unknown time.
	restored bool
	// peakUse is the largest use that any member has reported.
	peakUse estimator.Size
	// checkpointedMembers holds the members whose last report shows a
	// checkpoint.
	checkpointedMembers map[int]bool
}

// resources are cores and memory, of a member or of a worker.
type resources struct {
	cores  int
	memory int64
}

// Ranks of the queue, first to last.
const (
	rankClaim = iota
	rankUrgent
	rankOther
)

// queueLess orders the queue by rank, due time and arrival.
func queueLess(a, b *gang) bool {
	return cmp.Or(
		cmp.Compare(a.rank, b.rank),
		a.due.Compare(b.due),
		cmp.Compare(a.sequence, b.sequence),
	) < 0
}

// placementKey is shared by gangs that can be placed only alike: if one fails
// within a plan, so do the others.
type placementKey struct {
	account            primrosespar.Account
	class              primrosespar.Class
	shape              primrosespar.Shape
	claim, preemptible bool
	// overran and declared decide whether the gang may be backfilled into the
	// reservation; its holder always may use it.
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

// units returns the number and level of the blocks that the shape needs. A unit
// is one such block: that of one member, or one for all members if the shape
// requires one rack.
func units(s primrosespar.Shape) (count, level int) {
	if s.Block == 0 {
		return 0, 0
	}
	if s.OneRack {
		return 1, packer.LevelOf(s.Members * s.Block)
	}
	return s.Members, packer.LevelOf(s.Block)
}

// membersOfUnit returns the first member of unit i and the number of its
// members.
func membersOfUnit(s primrosespar.Shape, i int) (first, members int) {
	if s.OneRack {
		return 0, s.Members
	}
	return i, 1
}

// unitSlices divides the cells among the members of unit i, starting with the
// first cell.
func unitSlices(s primrosespar.Shape, i int, cells []primrosespar.Slice) []primrosespar.Slice {
	first, members := membersOfUnit(s, i)
	var out []primrosespar.Slice
	for m := range members {
		out = append(out, packer.SubSlices(cells, m*s.Block, s.Block, first+m)...)
	}
	return out
}

// preemptible reports whether the gang may run on borrowed capacity.
func (g *gang) preemptible() bool {
	return !g.job.Claim && g.job.Preemptible
}

// lostTime returns the run time since the last checkpoint, which the gang loses
// if it is stopped now.
func (g *gang) lostTime(now time.Time) time.Duration {
	if g.phase == phaseStopping {
		return 0
	}
	return max(now.Sub(g.savedAt), 0)
}

// Add queues the job.
func (p *Planner) Add(job primrosespar.Job, now time.Time) error {
	if _, known := p.gangs[job.ID]; known {
		return primrosespar.Fail(primrosespar.CodeConflict, "job %s is already known", job.ID)
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

// Restore adds a gang that an earlier holder of the place lease committed.
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
	g.startedAt, g.savedAt = now, now
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
	if g.phase != phasePending && now.Sub(g.startedAt) > p.estimate(g).High {
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

// hold marks the gang's cells, cores and memory as used.
func (p *Planner) hold(g *gang) {
	state := packer.NonPreemptible
	if g.borrowed {
		state = packer.Preemptible
	}
	p.packer.Hold(g.slices, g.job.ID, state)
	p.countUse(g, 1)
}

// release frees everything that the gang holds or has reserved.
func (p *Planner) release(g *gang) {
	switch g.phase {
	case phaseQueued:
		return
	case phasePending:
		p.pending.Delete(g)
		g.account.countPending(g, -1)
		for _, v := range g.victims {
			v.blockedGangs = withoutGang(v.blockedGangs, g)
		}
		g.victims = nil
	default:
		p.countGang(g, -1)
	}
	p.packer.Release(g.slices, g.job.ID)
	p.countUse(g, -1)
	p.releaseGuarantees(g)
	for _, w := range g.blockedGangs {
		delete(w.victims, g.job.ID)
	}
	g.blockedGangs, g.slices, g.borrowed = nil, nil, false
	clear(g.checkpointedMembers)
	delete(p.checkpointed, g.job.ID)
	g.phase = phaseQueued
	p.capacityChanged = true
}

// withoutGang returns the gangs except g.
func withoutGang(gangs []*gang, g *gang) []*gang {
	var out []*gang
	for _, other := range gangs {
		if other != g {
			out = append(out, other)
		}
	}
	return out
}
