package planner

import (
	"math"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/place/packer"
)

// admit returns a Failure that names the bound if the job can never run.
func (p *Planner) admit(job primrosespar.Job) error {
	s := job.Shape
	if p.options.Place != "" && job.Place != p.options.Place {
		return primrosespar.Fail(primrosespar.CodeWrongPlace, "job is for %s, this is %s", job.Place, p.options.Place)
	}
	if s.Members < 1 || s.Block < 0 || s.Cores < 0 || s.MemoryBytes < 0 {
		return primrosespar.Fail(primrosespar.CodeBadRequest, "shape needs members of at least 1 and no negative size")
	}
	a := p.accounts[job.Account]
	if a == nil || !a.known {
		return primrosespar.Fail(primrosespar.CodeUnknownAccount, "account %s has no contract", job.Account)
	}
	terms, ok := a.contract.Terms(job.Class)
	if !ok || terms.Kind != primrosespar.KindGang {
		return primrosespar.Fail(primrosespar.CodeUnknownClass, "account %s has no gang class %s", job.Account, job.Class)
	}
	limit := a.contract.MaxAccelerators
	if s.Block > 0 && s.Members > limit/s.Block {
		return primrosespar.Fail(primrosespar.CodeQuotaExceeded,
			"%d members of %d accelerators exceed max_accelerators %d", s.Members, s.Block, limit)
	}
	if err := p.admitSize(job); err != nil {
		return err
	}
	if job.Claim {
		return p.admitClaim(a, s)
	}
	if !job.Preemptible && s.Accelerators()+a.guaranteed > limit {
		return primrosespar.Fail(primrosespar.CodeQuotaExceeded,
			"%d accelerators beside the guarantee of %d exceed max_accelerators %d", s.Accelerators(), a.guaranteed, limit)
	}
	return p.admitShape(job)
}

// admitClaim checks the shape against the account's whole guarantee.
func (p *Planner) admitClaim(a *account, s primrosespar.Shape) error {
	count, level := units(s)
	room := 0
	for _, q := range a.guarantees {
		if !q.ended && q.level >= level {
			room += 1 << (q.level - level)
		}
	}
	if s.Block == 0 || room < count {
		return primrosespar.Fail(primrosespar.CodeImpossibleShape,
			"claim needs %d blocks of %d accelerators, the account's guarantee has %d", count, 1<<level, room)
	}
	return nil
}

// admitShape checks the shape against all accelerators of the place and, for
// work that must not be preempted, what all guarantees leave of them.
func (p *Planner) admitShape(job primrosespar.Job) error {
	count, level := units(job.Shape)
	if count == 0 || p.pack.Total() == 0 {
		return nil
	}
	if level >= packer.Levels {
		return primrosespar.Fail(primrosespar.CodeImpossibleShape,
			"block of %d accelerators exceeds the largest block %d", 1<<level, 1<<(packer.Levels-1))
	}
	var want packer.Counts
	want[level] = count
	if packer.Fits(p.whole, want) >= 0 {
		return primrosespar.Fail(primrosespar.CodeImpossibleShape,
			"the place has %d blocks of %d accelerators, the job needs %d", roomAt(p.whole, level), 1<<level, count)
	}
	if job.Preemptible {
		return nil
	}
	for k, n := range p.guaranteed {
		want[k] += n
	}
	if packer.Fits(p.whole, want) >= 0 {
		return primrosespar.Fail(primrosespar.CodeImpossibleShape,
			"guarantees leave less than %d blocks of %d accelerators for work that is not preemptible", count, 1<<level)
	}
	return nil
}

func roomAt(supply packer.Counts, level int) int {
	room := 0
	for k := level; k < packer.Levels; k++ {
		room += supply[k] << (k - level)
	}
	return room
}

// admitSize checks cores and memory of a member against the workers.
func (p *Planner) admitSize(job primrosespar.Job) error {
	want := need{job.Shape.Cores, job.Shape.MemoryBytes}
	if len(p.kinds) == 0 || want == (need{}) {
		return nil
	}
	block, members := job.Shape.Block, 0
	var largest need
	for k, n := range p.kinds {
		if block > 0 && k.accelerators == 0 || block == 0 && !job.Preemptible && k.accelerators > 0 {
			continue
		}
		room := k.size
		if block > 0 {
			room = k.roomOf(block, job.Claim || !job.Preemptible)
		}
		largest = need{max(largest.cores, room.cores), max(largest.memory, room.memory)}
		if !room.holds(want) {
			if job.Claim {
				return p.sizeFailure(want, room)
			}
			continue
		}
		members += n * k.members(job, want)
	}
	if members < job.Shape.Members && (block == 0 || members == 0) {
		return p.sizeFailure(want, largest)
	}
	return nil
}

// roomOf is the most that a member of the block can use on workers of this
// kind; a block larger than one worker spans several.
func (k kind) roomOf(block int, firm bool) need {
	if firm {
		return k.share(block)
	}
	span := (block + k.accelerators - 1) / k.accelerators
	return need{k.size.cores * span, k.size.memory * int64(span)}
}

// members bounds how many members one worker of this kind holds at once.
func (k kind) members(job primrosespar.Job, want need) int {
	if job.Shape.Block > 0 {
		return 1
	}
	fit := math.MaxInt32
	if want.cores > 0 {
		fit = k.size.cores / want.cores
	}
	if want.memory > 0 {
		fit = min(fit, int(k.size.memory/want.memory))
	}
	return fit
}

func (p *Planner) sizeFailure(want, most need) error {
	return primrosespar.Fail(primrosespar.CodeImpossibleShape,
		"a member needs %d cores and %d bytes, a worker gives at most %d cores and %d bytes",
		want.cores, want.memory, most.cores, most.memory)
}
