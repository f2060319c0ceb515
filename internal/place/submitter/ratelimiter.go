package submitter

import (
	"sync"

	"golang.org/x/time/rate"

	"primrosespar.example/primrosespar"
)

// rateLimiter bounds how fast jobs of each account and class are accepted at this
// host. The number of limiters is that of the gang classes in the contracts.
type rateLimiter struct {
	clock primrosespar.Clock
	hosts func() int

	mu       sync.Mutex
	limiters map[limiterKey]*rate.Limiter
}

type limiterKey struct {
	account primrosespar.Account
	class   primrosespar.Class
}

func newRateLimiter(clock primrosespar.Clock, hosts func() int) *rateLimiter {
	return &rateLimiter{clock: clock, hosts: hosts, limiters: map[limiterKey]*rate.Limiter{}}
}

// allow takes one job off the account's rate for the class. Each host has its
// hostShare of the place's share, and a burst of at least one job.
func (r *rateLimiter) allow(c primrosespar.Contract, terms primrosespar.ClassTerms, place primrosespar.Place) bool {
	share, total := c.ShareIn(place)
	hostShare := float64(share) / float64(total*max(1, r.hosts()))
	limit := rate.Limit(terms.RatePerSecond * hostShare)
	burst := max(1, int(float64(terms.Burst)*hostShare))
	key := limiterKey{c.Account, terms.Class}
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
