package primrosespar

import (
	"context"
	"net/netip"
	"time"
)

// FleetBeat is what a host tells the holder of the fleet lease.
type FleetBeat struct {
	Host    Host           `json:"host"`
	Address netip.AddrPort `json:"address"`
	// Weight ranks hosts as successors; a host with more processor time is
	// preferred.
	Weight float64 `json:"weight"`
	// Wall is the sender's wall clock, from which the holder takes the median.
	Wall time.Time `json:"wall"`
	// Leaving hosts do not become successors.
	Leaving bool `json:"leaving,omitempty"`
}

// FleetNews is the answer of the holder.
type FleetNews struct {
	// Leading is false at a host that does not hold the lease.
	Leading bool  `json:"leading"`
	Token   Token `json:"token"`
	// StoreAge is how long ago the store last answered the holder.
	StoreAge time.Duration `json:"store_age"`
	// Stuck is set while the store leaves a commit of the holder without an
	// answer; a host that reaches the store may take over sooner then.
	Stuck bool `json:"stuck,omitempty"`
	// CatalogVersion is the newest version known and CatalogAge how long ago
	// the store confirmed it.
	CatalogVersion Version       `json:"catalog_version"`
	CatalogAge     time.Duration `json:"catalog_age"`
	// Waiting are the jobs without a start, by queue. Counted is false until a
	// new holder knows them.
	Counted bool          `json:"counted,omitempty"`
	Waiting map[Queue]int `json:"waiting,omitempty"`
	// Hosts are the peers in the order in which they would succeed.
	Hosts []netip.AddrPort `json:"hosts,omitempty"`
}

// FleetPeers sends messages between the hosts of the fleet's scheduler.
type FleetPeers interface {
	// Beat tells the holder of a host and returns its news.
	Beat(ctx context.Context, to netip.AddrPort, beat FleetBeat) (FleetNews, error)
	// Submit hands a job to the holder; nil says that it is stored.
	Submit(ctx context.Context, to netip.AddrPort, job Submission) error
	// State asks the holder for the state of a job.
	State(ctx context.Context, to netip.AddrPort, id JobID) (JobState, error)
	// Cancel cancels a job; nil says that this is stored.
	Cancel(ctx context.Context, to netip.AddrPort, id JobID) error
	// Advise lets a host put a question to the advice service, which answers one
	// call of a host after the other.
	Advise(ctx context.Context, to netip.AddrPort, question Question) (Advice, error)
	// Succeed asks a host to take over the lease that the sender gave up.
	Succeed(ctx context.Context, to netip.AddrPort) error
}

// FleetHandler answers messages of other hosts.
type FleetHandler interface {
	HandleAdvise(ctx context.Context, question Question) (Advice, error)
	HandleBeat(ctx context.Context, beat FleetBeat) (FleetNews, error)
	HandleSubmit(ctx context.Context, job Submission) error
	HandleState(ctx context.Context, id JobID) (JobState, error)
	HandleCancel(ctx context.Context, id JobID) error
	HandleSucceed(ctx context.Context) error
}
