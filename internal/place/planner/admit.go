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
	if a == nil || !a.hasContract {
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
	if !job.Preemptible && s.Accelerators()+a.guaranteedAccelerators > limit {
		return primrosespar.Fail(primrosespar.CodeQuotaExceeded,
			"%d accelerators beside the guarantee of %d exceed max_accelerators %d", s.Accelerators(), a.guaranteedAccelerators, limit)
	}
	return p.admitShape(job)
}

// admitClaim checks the shape against the account's whole guarantee.
func (p *Planner) admitClaim(a *account, s primrosespar.Shape) error {
	count, level := units(s)
	available := 0
	for _, gb := range a.guaranteedBlocks {
		if !gb.removed && gb.level >= level {
			available += 1 << (gb.level - level)
		}
	}
	if s.Block == 0 || available < count {
		return primrosespar.Fail(primrosespar.CodeImpossibleShape,
			"claim needs %d blocks of %d accelerators, the account's guarantee has %d", count, 1<<level, available)
	}
	return nil
}

// admitShape checks the shape against all accelerators of the place and, for
// work that must not be preempted, what all guarantees leave of them.
func (p *Planner) admitShape(job primrosespar.Job) error {
	count, level := units(job.Shape)
	if count == 0 || p.packer.Total() == 0 {
		return nil
	}
	if level >= packer.Levels {
		return primrosespar.Fail(primrosespar.CodeImpossibleShape,
			"block of %d accelerators exceeds the largest block %d", 1<<level, 1<<(packer.Levels-1))
	}
	var want packer.Counts
	want[level] = count
	if packer.Fits(p.fullSupply, want) >= 0 {
		return primrosespar.Fail(primrosespar.CodeImpossibleShape,
			"the place has %d blocks of %d accelerators, the job needs %d", blocksAt(p.fullSupply, level), 1<<level, count)
	}
	if job.Preemptible {
		return nil
	}
	for k, n := range p.guaranteed {
		want[k] += n
	}
	if packer.Fits(p.fullSupply, want) >= 0 {
		return primrosespar.Fail(primrosespar.CodeImpossibleShape,
			"guarantees leave less than %d blocks of %d accelerators for work that is not preemptible", count, 1<<level)
	}
	return nil
}

func blocksAt(supply packer.Counts, level int) int {
	blocks := 0
	for k := level; k < packer.Levels; k++ {
		blocks += supply[k] << (k - level)
	}
	return blocks
}

// admitSize checks cores and memory of a member against the workers.
func (p *Planner) admitSize(job primrosespar.Job) error {
	required := resources{job.Shape.Cores, job.Shape.MemoryBytes}
	if len(p.workerTypes) == 0 || required == (resources{}) {
		return nil
	}
	block, members := job.Shape.Block, 0
	var largest resources
	for wt, n := range p.workerTypes {
		if block > 0 && wt.accelerators == 0 || block == 0 && !job.Preemptible && wt.accelerators > 0 {
			continue
		}
		capacity := wt.resources
		if block > 0 {
			capacity = wt.memberCapacity(block, job.Claim || !job.Preemptible)
		}
		largest = resources{max(largest.cores, capacity.cores), max(largest.memory, capacity.memory)}
		if !capacity.covers(required) {
			if job.Claim {
				return p.sizeFailure(required, capacity)
			}
			continue
		}
		members += n * wt.maxMembers(job, required)
	}
	if members < job.Shape.Members && (block == 0 || members == 0) {
		return p.sizeFailure(required, largest)
	}
	return nil
}

// memberCapacity is the most that a member of the block can use on workers of this
// kind; a block larger than one worker spans several.
func (wt workerType) memberCapacity(block int, nonPreemptible bool) resources {
	if nonPreemptible {
		return wt.share(block)
	}
	workers := (block + wt.accelerators - 1) / wt.accelerators
	return resources{wt.resources.cores * workers, wt.resources.memory * int64(workers)}
}

// maxMembers bounds how many members one worker of this kind holds at once.
func (wt workerType) maxMembers(job primrosespar.Job, required resources) int {
	if job.Shape.Block > 0 {
		return 1
	}
	fit := math.MaxInt32
	if required.cores > 0 {
		fit = wt.resources.cores / required.cores
	}
	if required.memory > 0 {
		fit = min(fit, int(wt.resources.memory/required.memory))
	}
	return fit
}

func (p *Planner) sizeFailure(required, available resources) error {
	return primrosespar.Fail(primrosespar.CodeImpossibleShape,
		"a member needs %d cores and %d bytes, a worker gives at most %d cores and %d bytes",
		required.cores, required.memory, available.cores, available.memory)
}
