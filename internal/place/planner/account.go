package planner

import (
	"slices"
	"strings"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/place/packer"
)

// account is what the planner knows of one client account.
type account struct {
	name       primrosespar.Account
	contract   primrosespar.Contract
	known      bool
	guarantees []*guarantee
	// held counts accelerators of placed gangs, pending those of claims that
	// wait for evictions.
	held, pending int
	// ahead counts the accelerators of the waiting gangs that one plan has
	// ordered so far.
	ahead int
	// firm counts accelerators of placed work that neither claims nor gives
	// way; guaranteed counts those of all guaranteed blocks.
	firm, guaranteed int
	// waiting counts the pending claims of each class.
	waiting map[primrosespar.Class]int
	active  map[primrosespar.Class]int
	// borrowing are the account's gangs on borrowed capacity.
	borrowing map[primrosespar.JobID]*gang
}

// guarantee is one guaranteed block.
type guarantee struct {
	account *account
	level   int
	// cells is the bound physical block in the order of the rack, nil while
	// nothing draws on the guarantee.
	cells []primrosespar.Slice
	draws int
	// ended guarantees were amended away while claims still stand in them.
	ended bool
}

func (a *account) terms(class primrosespar.Class) primrosespar.ClassTerms {
	t, _ := a.contract.Terms(class)
	return t
}

func (p *Planner) accountOf(name primrosespar.Account) *account {
	a := p.accounts[name]
	if a == nil {
		a = &account{name: name, active: map[primrosespar.Class]int{}, borrowing: map[primrosespar.JobID]*gang{}, waiting: map[primrosespar.Class]int{}}
		p.accounts[name] = a
	}
	return a
}

// SetContracts takes the contracts in force.
func (p *Planner) SetContracts(view primrosespar.ContractView) {
	p.settleRestored()
	for _, a := range p.accounts {
		a.known = false
	}
	for _, v := range view.Contracts {
		a := p.accountOf(v.Contract.Account)
		a.contract, a.known = v.Contract, true
	}
	p.demand, p.guaranteed = packer.Counts{}, packer.Counts{}
	for _, a := range p.accounts {
		if !a.known {
			a.contract = primrosespar.Contract{Account: a.name}
		}
		p.setGuarantees(a)
	}
	p.changed = true
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
	slices.SortStableFunc(a.guarantees, func(x, y *guarantee) int { return y.draws - x.draws })
	var keep []*guarantee
	for _, q := range a.guarantees {
		q.ended = want[q.level] == 0
		if !q.ended {
			want[q.level]--
		}
		if !q.ended || q.draws > 0 {
			keep = append(keep, q)
		}
	}
	for level, n := range want {
		for range n {
			keep = append(keep, &guarantee{account: a, level: level})
		}
	}
	slices.SortStableFunc(keep, func(x, y *guarantee) int { return x.level - y.level })
	a.guarantees = keep
	a.guaranteed = 0
	for _, q := range keep {
		if q.ended {
			continue
		}
		p.guaranteed[q.level]++
		a.guaranteed += 1 << q.level
		if q.draws == 0 {
			p.demand[q.level]++
		}
	}
}

// bind ties the guarantee to the physical cells.
func (p *Planner) bind(q *guarantee, cells []primrosespar.Slice) {
	q.cells = cells
	p.pack.Bind(cells, true)
	if !q.ended {
		p.demand[q.level]--
	}
}

// unbind ends the gang's draws and frees the guarantees nobody draws on.
func (p *Planner) unbind(g *gang) {
	for _, q := range g.draws {
		q.draws--
		if q.draws > 0 {
			continue
		}
		p.pack.Bind(q.cells, false)
		q.cells = nil
		if !q.ended {
			p.demand[q.level]++
			continue
		}
		q.account.guarantees = slices.DeleteFunc(q.account.guarantees, func(o *guarantee) bool { return o == q })
	}
	g.draws = nil
}

// guaranteeStates reports each guarantee. When the unclaimed blocks no longer
// pack, the shortfall of a level falls on the accounts last in name order.
func (p *Planner) guaranteeStates() []primrosespar.GuaranteeState {
	names := make([]*account, 0, len(p.accounts))
	for _, a := range p.accounts {
		names = append(names, a)
	}
	slices.SortFunc(names, func(x, y *account) int { return strings.Compare(string(x.name), string(y.name)) })
	claimable := p.claimable()
	var out []primrosespar.GuaranteeState
	for _, a := range names {
		byLevel := [packer.Levels]primrosespar.GuaranteeState{}
		for _, q := range a.guarantees {
			if q.ended {
				continue
			}
			s := &byLevel[q.level]
			s.Account, s.Block = a.name, 1<<q.level
			s.Count++
			if q.draws > 0 {
				s.Claimed++
			} else if claimable[q.level] > 0 {
				claimable[q.level]--
				s.Claimable++
			}
		}
		for _, s := range byLevel {
			if s.Count > 0 {
				out = append(out, s)
			}
		}
	}
	return out
}

// claimable returns how many of the unclaimed blocks pack at once, filled
// from the largest down.
func (p *Planner) claimable() packer.Counts {
	supply := p.pack.Supply(packer.ViewReclaimable)
	var out packer.Counts
	left := 0
	for k := packer.Levels - 1; k >= 0; k-- {
		left = left*2 + supply[k]
		out[k] = min(left, p.demand[k])
		left -= out[k]
	}
	return out
}
