package planner

import (
	"slices"
	"strings"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/place/packer"
)

// account holds the contract and the current use of one client account.
type account struct {
	name             primrosespar.Account
	contract         primrosespar.Contract
	hasContract      bool
	guaranteedBlocks []*guaranteedBlock
	// held counts the accelerators of placed gangs, pending those of gangs that
	// wait for preemptions.
	held, pending int
	// ordered counts the accelerators of the queued gangs that orderByShare
	// has processed so far.
	ordered int
	// nonPreemptible counts the accelerators of placed non-preemptible gangs
	// that are not claims; guaranteedAccelerators counts those of all
	// guaranteed blocks, used or not.
	nonPreemptible, guaranteedAccelerators int
	// pendingGangs counts the gangs of each class that wait for preemptions,
	// placedGangs those that hold their cells.
	pendingGangs map[primrosespar.Class]int
	placedGangs  map[primrosespar.Class]int
	// borrowing holds the account's gangs that run on borrowed capacity.
	borrowing map[primrosespar.JobID]*gang
}

// guaranteedBlock is one block of accelerators that a contract guarantees. It
// has no physical location until a claim uses it.
type guaranteedBlock struct {
	account *account
	level   int
	// cells is the bound physical block in rack order, nil while no claim uses
	// the guaranteed block.
	cells []primrosespar.Slice
	// claimedUnits counts the units of claims placed in the block.
	claimedUnits int
	// removed is set if a contract amendment dropped the guarantee while claims
	// still use it.
	removed bool
}

func (a *account) terms(class primrosespar.Class) primrosespar.ClassTerms {
	t, _ := a.contract.Terms(class)
	return t
}

// accountOf returns the account and creates it on first use.
func (p *Planner) accountOf(name primrosespar.Account) *account {
	a := p.accounts[name]
	if a == nil {
		a = &account{name: name, placedGangs: map[primrosespar.Class]int{}, borrowing: map[primrosespar.JobID]*gang{}, pendingGangs: map[primrosespar.Class]int{}}
		p.accounts[name] = a
	}
	return a
}

// SetContracts replaces the contracts in force.
func (p *Planner) SetContracts(view primrosespar.ContractView) {
	p.bindRestored()
	for _, a := range p.accounts {
		a.hasContract = false
	}
	for _, v := range view.Contracts {
		a := p.accountOf(v.Contract.Account)
		a.contract, a.hasContract = v.Contract, true
	}
	p.demand, p.guaranteed = packer.Counts{}, packer.Counts{}
	for _, a := range p.accounts {
		if !a.hasContract {
			a.contract = primrosespar.Contract{Account: a.name}
		}
		p.setGuarantees(a)
	}
	p.capacityChanged = true
}

// setGuarantees updates the account's guaranteed blocks to match its contract.
// A block that the contract no longer has stays until its claims end.
func (p *Planner) setGuarantees(a *account) {
	var contracted packer.Counts
	for _, g := range a.contract.GuaranteesIn(p.options.Place) {
		if level := packer.LevelOf(g.Block); level < packer.Levels {
			contracted[level] += g.Count
		}
	}
	slices.SortStableFunc(a.guaranteedBlocks, func(x, y *guaranteedBlock) int { return y.claimedUnits - x.claimedUnits })
	var blocks []*guaranteedBlock
	for _, gb := range a.guaranteedBlocks {
		gb.removed = contracted[gb.level] == 0
		if !gb.removed {
			contracted[gb.level]--
		}
		if !gb.removed || gb.claimedUnits > 0 {
			blocks = append(blocks, gb)
		}
	}
	for level, n := range contracted {
		for range n {
			blocks = append(blocks, &guaranteedBlock{account: a, level: level})
		}
	}
	slices.SortStableFunc(blocks, func(x, y *guaranteedBlock) int { return x.level - y.level })
	a.guaranteedBlocks = blocks
	a.guaranteedAccelerators = 0
	for _, gb := range blocks {
		if gb.removed {
			continue
		}
		p.guaranteed[gb.level]++
		a.guaranteedAccelerators += 1 << gb.level
		if gb.claimedUnits == 0 {
			p.demand[gb.level]++
		}
	}
}

// bind assigns the physical cells to the guaranteed block.
func (p *Planner) bind(gb *guaranteedBlock, cells []primrosespar.Slice) {
	gb.cells = cells
	p.packer.Bind(cells, true)
	if !gb.removed {
		p.demand[gb.level]--
	}
}

// releaseGuarantees removes the gang's units from its guaranteed blocks and
// unbinds the blocks that no claim uses any more.
func (p *Planner) releaseGuarantees(g *gang) {
	for _, gb := range g.unitBlocks {
		gb.claimedUnits--
		if gb.claimedUnits > 0 {
			continue
		}
		p.packer.Bind(gb.cells, false)
		gb.cells = nil
		if !gb.removed {
			p.demand[gb.level]++
			continue
		}
		gb.account.guaranteedBlocks = slices.DeleteFunc(gb.account.guaranteedBlocks, func(other *guaranteedBlock) bool { return other == gb })
	}
	g.unitBlocks = nil
}

// guaranteeStates reports the guaranteed blocks by account and size. If the
// unclaimed blocks no longer fit all at once, the accounts that come last by
// name show the shortfall of each level.
func (p *Planner) guaranteeStates() []primrosespar.GuaranteeState {
	accounts := make([]*account, 0, len(p.accounts))
	for _, a := range p.accounts {
		accounts = append(accounts, a)
	}
	slices.SortFunc(accounts, func(x, y *account) int { return strings.Compare(string(x.name), string(y.name)) })
	claimable := p.claimable()
	var out []primrosespar.GuaranteeState
	for _, a := range accounts {
		byLevel := [packer.Levels]primrosespar.GuaranteeState{}
		for _, gb := range a.guaranteedBlocks {
			if gb.removed {
				continue
			}
			state := &byLevel[gb.level]
			state.Account, state.Block = a.name, 1<<gb.level
			state.Count++
			if gb.claimedUnits > 0 {
				state.Claimed++
			} else if claimable[gb.level] > 0 {
				claimable[gb.level]--
				state.Claimable++
			}
		}
		for _, state := range byLevel {
			if state.Count > 0 {
				out = append(out, state)
			}
		}
	}
	return out
}

// claimable returns how many unclaimed blocks of each level fit at once if the
// largest are placed first.
func (p *Planner) claimable() packer.Counts {
	supply := p.packer.Supply(packer.ViewReclaimable)
	var out packer.Counts
	unused := 0
	for k := packer.Levels - 1; k >= 0; k-- {
		unused = unused*2 + supply[k]
		out[k] = min(unused, p.demand[k])
		unused -= out[k]
	}
	return out
}
