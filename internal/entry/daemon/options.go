package daemon

import (
	"time"

	"github.com/jonboulle/clockwork"
)

// defaultGrace is above the usual period of a load balancer's health checks.
const defaultGrace = 3 * time.Second

func newOptions(opts []Option) Options {
	o := Options{Clock: clockwork.NewRealClock(), Grace: defaultGrace, Version: "development"}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}
