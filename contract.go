package primrosespar

import "time"

// ClassKind says what runs the work of a class.
type ClassKind string

// Class kinds. A request is sent to an upstream; a gang runs on workers.
const (
	KindRequest ClassKind = "request"
	KindGang    ClassKind = "gang"
)

// Contract holds all limits, guarantees and shares of one client account.
type Contract struct {
	Account Account
	// PublicName replaces the account's name in published incident reports.
	PublicName string
	// Weight is the account's share of idle capacity relative to other
	// accounts.
	Weight int
	// MaxAccelerators is the maximum number of accelerators that the account
	// holds at once in all places, claimed and borrowed together.
	MaxAccelerators int
	// Reserved is the number of accelerators, on any workers of the fleet, that
	// the account's jobs of priority 0 can get at any time.
	Reserved int
	// Retention is how long claims and answers are kept for callers that retry.
	Retention  time.Duration
	Places     []PlaceShare
	Classes    []ClassTerms
	Guarantees []Guarantee
}

// PlaceShare is the part of the account's rates and concurrency that one place
// serves: Share divided by the sum of the shares of all places.
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
	// Preemptible work may run on borrowed capacity, where it can be preempted.
	Preemptible bool
	// Deadline is the maximum time from arrival to the complete answer, or to
	// the end of the job.
	Deadline time.Duration
	// LatenessCost is the relative cost of a late answer, 1 to 1000.
	LatenessCost int
	// RatePerSecond and Burst limit the admissions in all places together.
	RatePerSecond float64
	Burst         int
	// Concurrency limits the requests in flight or the running gangs in all
	// places together.
	Concurrency int
	// Queue is the maximum number of requests or jobs that wait at one host.
	Queue int
	// Offline is what a place may serve while it cannot reach the table.
	Offline OfflineTerms
}

// OfflineTerms limit what one place serves without a current view of the
// contracts. An amendment that lowers them is accepted only after each place
// has acknowledged it, because a place that cannot reach the table would go on
// serving under the earlier terms.
type OfflineTerms struct {
	RatePerSecond float64
	Concurrency   int
}

// Guarantee promises Count blocks in the place. A block is Block adjacent
// accelerators in one rack; Block is a power of two.
type Guarantee struct {
	Place Place
	Block int
	Count int
}

// ContractView is the set of all contracts at one revision.
type ContractView struct {
	Revision  Revision
	Contracts []VersionedContract
}

// VersionedContract is a contract with its version, which an amendment has to
// name.
type VersionedContract struct {
	Contract Contract
	Version  Version
}

// Find returns the contract of the account.
func (v ContractView) Find(account Account) (VersionedContract, bool) {
	// Indexing avoids copying the contracts that do not match.
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

// ShareIn returns the share of the place and the sum of the shares of all
// places.
func (c Contract) ShareIn(place Place) (share, total int) {
	for _, p := range c.Places {
		total += p.Share
		if p.Place == place {
			share = p.Share
		}
	}
	return share, total
}

// GuaranteesIn returns the guarantees in the place.
func (c Contract) GuaranteesIn(place Place) []Guarantee {
	var guarantees []Guarantee
	for _, g := range c.Guarantees {
		if g.Place == place {
			guarantees = append(guarantees, g)
		}
	}
	return guarantees
}
