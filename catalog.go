package primrosespar

import "time"

// QueueTerms are how the jobs of one queue are run.
type QueueTerms struct {
	Queue   Queue
	Service Service
	// Host and PathPrefix select the queue for a call; the longest prefix wins.
	Host       string
	PathPrefix string
	// Public queues need no key.
	Public bool
	// Priority 0 comes first and may preempt the others.
	Priority int
	// Attempts bounds the failed runs of one task or gang.
	Attempts int
	// Slack times the longest chain of work, plus Target, is the time in which
	// a job should complete.
	Slack  float64
	Target time.Duration
	// Timeout bounds the answer to one call.
	Timeout time.Duration
	// Advised queues need the approval of the advice service for each worker.
	Advised bool
}

// Catalog is the configuration of the operators at one version: the contracts
// of the accounts, their keys and the queues.
type Catalog struct {
	Version   Version
	Queues    []QueueTerms
	Contracts []Contract
	// Keys maps the key of a caller to its account.
	Keys map[string]Account
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

// Reserved returns the accelerators that the account is guaranteed across the
// fleet.
func (c *Catalog) Reserved(account Account) int {
	for i := range c.Contracts {
		if c.Contracts[i].Account == account {
			return c.Contracts[i].Reserved
		}
	}
	return 0
}
