package primrosespar

import "time"

// ClassKind says how work of a class is run.
type ClassKind string

// Class kinds: a request goes to a service runner, a gang runs on workers.
const (
	KindRequest ClassKind = "request"
	KindGang    ClassKind = "gang"
)

// Contract is what one client account is promised. Every limit, guarantee and
// share of the account follows from it alone.
type Contract struct {
	Account Account
	// PublicName stands for the account in published incident reports.
	PublicName string
	// Weight is the account's share of idle capacity against other accounts.
	Weight int
	// MaxAccelerators bounds what the account holds at once in all places,
	// claimed and borrowed together.
	MaxAccelerators int
	// Reserved is the number of accelerators, on any workers of the fleet, that
	// belong to the account's jobs of priority 0 at all times.
	Reserved int
	// Retention is how long claims and answers are kept for retrying callers.
	Retention  time.Duration
	Places     []PlaceShare
	Classes    []ClassTerms
	Guarantees []Guarantee
}

// PlaceShare is the part of the account's rates and concurrency that one
// place serves, in shares of the sum over all places.
type PlaceShare struct {
	Place Place
	Share int
}

// ClassTerms are the limits of one class of work.
type ClassTerms struct {
	Class      Class
	Kind       ClassKind
	Idempotent bool
	// Urgent work preempts borrowed capacity and is served before the rest.
	Urgent bool
	// Preemptible work may run on borrowed capacity.
	Preemptible bool
	// Deadline is the time from arrival to the whole answer.
	Deadline time.Duration
	// LatenessCost weighs a late answer against other classes, 1 to 1000.
	LatenessCost int
	// RatePerSecond and Burst bound admissions in all places together.
	RatePerSecond float64
	Burst         int
	// Concurrency bounds requests in flight or gangs running in all places.
	Concurrency int
	// Queue bounds the requests or jobs that wait at one host.
	Queue int
	// Offline is what a place that is cut off from the table may still serve.
	Offline OfflineTerms
}

// OfflineTerms bound what one place serves without a current view of the
// contracts. An amendment that lowers them is accepted only after each place
// has acknowledged it.
type OfflineTerms struct {
	RatePerSecond float64
	Concurrency   int
}

// Guarantee promises Count blocks of Block adjacent accelerators in one rack
// of the place. Block is a power of two.
type Guarantee struct {
	Place Place
	Block int
	Count int
}

// ContractView is the set of contracts at one revision.
type ContractView struct {
	Revision  Revision
	Contracts []VersionedContract
}

// VersionedContract is a contract with the version that amendments name.
type VersionedContract struct {
	Contract Contract
	Version  Version
}

// Find returns the contract of the account.
func (v ContractView) Find(account Account) (VersionedContract, bool) {
	// Indexing avoids a copy of each contract that is passed over.
	for i := range v.Contracts {
		if v.Contracts[i].Contract.Account == account {
			return v.Contracts[i], true
		}
	}
	return VersionedContract{}, false
}

// Terms returns the terms of the class.
func (c Contract) Terms(class Class) (ClassTerms, bool) {
	for _, t := range c.Classes {
		if t.Class == class {
			return t, true
		}
	}
	return ClassTerms{}, false
}

// ShareIn returns the share of the place and the sum of all shares.
func (c Contract) ShareIn(place Place) (share, total int) {
	for _, p := range c.Places {
		total += p.Share
		if p.Place == place {
			share = p.Share
		}
	}
	return share, total
}

// GuaranteesIn returns the guarantees that the place has to keep.
func (c Contract) GuaranteesIn(place Place) []Guarantee {
	var guarantees []Guarantee
	for _, g := range c.Guarantees {
		if g.Place == place {
			guarantees = append(guarantees, g)
		}
	}
	return guarantees
}
