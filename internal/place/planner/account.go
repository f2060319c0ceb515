package planner

import (
	"slices"
	"strings"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/place/packer"
)

// account is what the planner knows of one client account.
type account struct {
	name             primrosespar.Account
	contract         primrosespar.Contract
	hasContract      bool
	guaranteedBlocks []*guaranteedBlock
	// held counts accelerators of placed gangs, pending those of claims that
	// wait for evictions.
	held, pending int
	// ordered counts the accelerators of the waiting gangs that one plan has
	// ordered so far.
	ordered int
	// nonPreemptible counts accelerators of placed work that neither claims nor gives
	// way; guaranteed counts those of all guaranteed blocks.
	nonPreemptible, guaranteedAccelerators int
	// pendingClaims counts the pending claims of each class.
	pendingClaims map[primrosespar.Class]int
	placed        map[primrosespar.Class]int
	// borrowing are the account's gangs on borrowed capacity.
	borrowing map[primrosespar.JobID]*gang
}

// guaranteedBlock is one guaranteed block.
type guaranteedBlock struct {
	account *account
	level   int
	// cells is the bound physical block in the order of the rack, nil while
	// nothing draws on the guarantee.
	cells        []primrosespar.Slice
	claimedUnits int
	// removed guarantees were amended away while claims still stand in them.
	removed bool
}

func (a *account) terms(class primrosespar.Class) primrosespar.ClassTerms {
	t, _ := a.contract.Terms(class)
	return t
}

func (p *Planner) accountOf(name primrosespar.Account) *account {
	a := p.accounts[name]
	if a == nil {
		a = &account{name: name, placed: map[primrosespar.Class]int{}, borrowing: map[primrosespar.JobID]*gang{}, pendingClaims: map[primrosespar.Class]int{}}
		p.accounts[name] = a
	}
	return a
}

// SetContracts takes the contracts in force.
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

// setGuarantees brings the guaranteed blocks in line with the contract; blocks
// that claims draw on stay until those end.
func (p *Planner) setGuarantees(a *account) {
	var want packer.Counts
	for _, g := range a.contract.GuaranteesIn(p.options.Place) {
		if level := packer.LevelOf(g.Block); level < packer.Levels {
			want[level] += g.Count
		}
	}
	slices.SortStableFunc(a.guaranteedBlocks, func(x, y *guaranteedBlock) int { return y.claimedUnits - x.claimedUnits })
	var keep []*guaranteedBlock
	for _, gb := range a.guaranteedBlocks {
		gb.removed = want[gb.level] == 0
		if !gb.removed {
			want[gb.level]--
		}
		if !gb.removed || gb.claimedUnits > 0 {
			keep = append(keep, gb)
		}
	}
	for level, n := range want {
		for range n {
			keep = append(keep, &guaranteedBlock{account: a, level: level})
		}
	}
	slices.SortStableFunc(keep, func(x, y *guaranteedBlock) int { return x.level - y.level })
	a.guaranteedBlocks = keep
	a.guaranteedAccelerators = 0
	for _, gb := range keep {
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

// bind ties the guarantee to the physical cells.
func (p *Planner) bind(gb *guaranteedBlock, cells []primrosespar.Slice) {
	gb.cells = cells
	p.packer.Bind(cells, true)
	if !gb.removed {
		p.demand[gb.level]--
	}
}

// releaseGuarantees ends the gang's draws and frees the guarantees nobody draws on.
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

// guaranteeStates reports each guarantee. When the unclaimed blocks no longer
// pack, the shortfall of a level falls on the accounts last in name order.
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

// claimable returns how many of the unclaimed blocks pack at once, filled
// from the largest down.
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
