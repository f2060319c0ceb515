package planner

import (
	"math"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/place/packer"
)

// admit returns a Failure that names the exceeded limit if the job can never
// run.
func (p *Planner) admit(job primrosespar.Job) error {
	s := job.Shape
	if p.options.Place != "" && job.Place != p.options.Place {
		return primrosespar.Fail(primrosespar.CodeWrongPlace, "job is for place %s, this planner serves %s", job.Place, p.options.Place)
	}
	if s.Members < 1 || s.Block < 0 || s.Cores < 0 || s.MemoryBytes < 0 {
		return primrosespar.Fail(primrosespar.CodeBadRequest, "shape needs at least one member and no negative sizes")
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
			"%d accelerators on top of the guaranteed %d exceed max_accelerators %d", s.Accelerators(), a.guaranteedAccelerators, limit)
	}
	return p.admitShape(job)
}

// admitClaim checks the shape against all guaranteed blocks of the account.
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

// admitShape checks the shape against all accelerators of the place. For
// non-preemptible work it subtracts all guaranteed blocks first.
func (p *Planner) admitShape(job primrosespar.Job) error {
	count, level := units(job.Shape)
	if count == 0 || p.packer.Total() == 0 {
		return nil
	}
	if level >= packer.Levels {
		return primrosespar.Fail(primrosespar.CodeImpossibleShape,
			"block of %d accelerators exceeds the largest block %d", 1<<level, 1<<(packer.Levels-1))
	}
	var demand packer.Counts
	demand[level] = count
	if packer.Fits(p.fullSupply, demand) >= 0 {
		return primrosespar.Fail(primrosespar.CodeImpossibleShape,
			"the place has %d blocks of %d accelerators, the job needs %d", blocksAt(p.fullSupply, level), 1<<level, count)
	}
	if job.Preemptible {
		return nil
	}
	for k, n := range p.guaranteed {
		demand[k] += n
	}
	if packer.Fits(p.fullSupply, demand) >= 0 {
		return primrosespar.Fail(primrosespar.CodeImpossibleShape,
			"guarantees leave fewer than %d blocks of %d accelerators for non-preemptible jobs", count, 1<<level)
	}
	return nil
}

// blocksAt returns how many blocks of the level the supply of maximal blocks
// holds.
func blocksAt(supply packer.Counts, level int) int {
	blocks := 0
	for k := level; k < packer.Levels; k++ {
		blocks += supply[k] << (k - level)
	}
	return blocks
}

// admitSize checks the cores and memory of a member against the workers.
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

// memberCapacity returns the most cores and memory that a member with a block
// of this size can use on workers of this type. A block larger than one worker
// spans several.
func (wt workerType) memberCapacity(block int, nonPreemptible bool) resources {
	if nonPreemptible {
		return wt.share(block)
	}
	workers := (block + wt.accelerators - 1) / wt.accelerators
	return resources{wt.resources.cores * workers, wt.resources.memory * int64(workers)}
}

// maxMembers returns an upper bound on the members that one worker of this type
// can hold at once.
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
		"a member needs %d cores and %d bytes of memory, a worker offers at most %d cores and %d bytes",
		required.cores, required.memory, available.cores, available.memory)
}
