package primrosespar

import "time"

// QueueTerms is the configuration of one queue of jobs.
type QueueTerms struct {
	Queue   Queue
	Service Service
	// Host and PathPrefix select the queue for a call; the longest prefix wins.
	Host       string
	PathPrefix string
	// Public queues need no key.
	Public bool
	// Priority orders the queues; 0 is the highest and may preempt the others.
	Priority int
	// Attempts is the maximum number of failed runs of one task or gang.
	Attempts int
	// A job should complete within Target plus Slack times the duration of its
	// longest chain of dependent steps.
	Slack  float64
	Target time.Duration
	// Timeout is the maximum time until one call is answered.
	Timeout time.Duration
	// Advised queues need a ticket of the advice service for each worker that
	// runs their tasks.
	Advised bool
	// Advice is how long the advice service takes and its tickets are valid. It is
	// zero if the configuration does not say.
	Advice AdviceTerms `cbor:",omitzero"`
	// Regions are the regions in whose places the tasks may run; none means all.
	Regions []Region `cbor:",omitempty"`
}

// AdviceTerms are the times of the advice service for one queue.
type AdviceTerms struct {
	// Decision is how long an answer takes, PerWorker how much longer for each
	// worker that the request names.
	Decision  time.Duration
	PerWorker time.Duration
	// Validity is how long a ticket is valid.
	Validity time.Duration
}

// AnswerTime returns how long the answer to a request takes that names so many
// workers.
func (t AdviceTerms) AnswerTime(workers int) time.Duration {
	return t.Decision + time.Duration(workers)*t.PerWorker
}

// CallLimits are the operator's limits of a call. A field of 0 sets no limit.
type CallLimits struct {
	// HeadBytes and BodyBytes bound the head and the body of a request.
	HeadBytes int64
	BodyBytes int64
	// HeadTimeout bounds the time in which a head arrives, IdleTimeout that
	// between two requests on one connection.
	HeadTimeout time.Duration
	IdleTimeout time.Duration
}

// Catalog is one version of the configuration that operators publish: the
// contracts of the accounts, their keys and the queues.
type Catalog struct {
	Version   Version
	Queues    []QueueTerms
	Contracts []Contract
	Limits    CallLimits
	// Keys maps API keys to accounts.
	Keys map[string]Account
	// ColdStarts is how many starts a second a worker of a service takes while it
	// is cold. A service that has none sets no limit.
	ColdStarts map[Service]float64
	// Regions are the regions in whose places the work of an account may run. An
	// account that has none may use all.
	Regions map[Account][]Region
}

// CatalogConfirmation is what a holder says about its reads of the catalog.
// Another host derives from it how old its own version is by its own clock
// alone: the clock of a holder that was suspended is behind.
type CatalogConfirmation struct {
	Holder  Token
	Version Version
	// Read is the number of the last read that found Version to be the newest,
	// and Reads is the number of reads that the holder has begun.
	Read  uint64
	Reads uint64
}

// CatalogChange is the adoption of a new version of the catalog by one host.
type CatalogChange struct {
	// Previous is 0 for the first version.
	Previous Version
	Version  Version
	// Announced reports whether the holder had announced the version. Otherwise
	// the host read it on its own.
	Announced bool
	// ReadTime is how long the read took. Unconfirmed is how long the previous
	// version had not been known to be the newest when the new one was adopted.
	ReadTime    time.Duration
	Unconfirmed time.Duration
}

// Terms returns the terms of the queue.
func (c *Catalog) Terms(queue Queue) (QueueTerms, bool) {
	for i := range c.Queues {
		if c.Queues[i].Queue == queue {
			return c.Queues[i], true
		}
	}
	return QueueTerms{}, false
}

// Reserved returns the number of accelerators that the account is guaranteed
// across the fleet.
func (c *Catalog) Reserved(account Account) int {
	for i := range c.Contracts {
		if c.Contracts[i].Account == account {
			return c.Contracts[i].Reserved
		}
	}
	return 0
}
