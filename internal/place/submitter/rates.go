package submitter

import (
	"sync"

	"golang.org/x/time/rate"

	"primrosespar.example/primrosespar"
)

// rates bounds how fast jobs of each account and class are accepted at this
// host. The number of limiters is that of the gang classes in the contracts.
type rates struct {
	clock primrosespar.Clock
	hosts func() int

	mu       sync.Mutex
	limiters map[rateKey]*rate.Limiter
}

type rateKey struct {
	account primrosespar.Account
	class   primrosespar.Class
}

func newRates(clock primrosespar.Clock, hosts func() int) *rates {
	return &rates{clock: clock, hosts: hosts, limiters: map[rateKey]*rate.Limiter{}}
}

// allow takes one job off the account's rate for the class. Each host has its
// part of the place's share, and a burst of at least one job.
func (r *rates) allow(c primrosespar.Contract, terms primrosespar.ClassTerms, place primrosespar.Place) bool {
	share, total := c.ShareIn(place)
	part := float64(share) / float64(total*max(1, r.hosts()))
	limit := rate.Limit(terms.RatePerSecond * part)
	burst := max(1, int(float64(terms.Burst)*part))
	key := rateKey{c.Account, terms.Class}
	now := r.clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	limiter := r.limiters[key]
	if limiter == nil {
		limiter = rate.NewLimiter(limit, burst)
		r.limiters[key] = limiter
	}
	if limiter.Limit() != limit || limiter.Burst() != burst {
		limiter.SetLimitAt(now, limit)
		limiter.SetBurstAt(now, burst)
	}
	return limiter.AllowN(now, 1)
}
