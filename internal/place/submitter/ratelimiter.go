package submitter

import (
	"sync"

	"golang.org/x/time/rate"

	"primrosespar.example/primrosespar"
)

// rateLimiter limits how fast this host accepts jobs of each account and class.
// The number of limiters is bounded by that of the gang classes in the
// contracts.
type rateLimiter struct {
	clock primrosespar.Clock
	hosts func() int

	mu       sync.Mutex
	limiters map[limiterKey]*rate.Limiter
}

// limiterKey identifies a limiter.
type limiterKey struct {
	account primrosespar.Account
	class   primrosespar.Class
}

// newRateLimiter returns a rateLimiter; hosts returns the number of live hosts.
func newRateLimiter(clock primrosespar.Clock, hosts func() int) *rateLimiter {
	return &rateLimiter{clock: clock, hosts: hosts, limiters: map[limiterKey]*rate.Limiter{}}
}

// allow reports whether a job of the account and class is within the rate, and
// counts it if so. The rate in a place follows the place's share in the
// contract and is divided equally between the live hosts of the place; the
// burst of a host is at least one job.
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
