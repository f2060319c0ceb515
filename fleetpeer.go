package primrosespar

import (
	"context"
	"net/netip"
	"time"
)

// FleetHeartbeat is what a host tells the holder of the fleet lease.
type FleetHeartbeat struct {
	Host    Host           `json:"host"`
	Address netip.AddrPort `json:"address"`
	// Weight ranks hosts as successors; a host with more processor time is
	// preferred.
	Weight float64 `json:"weight"`
	// WallClock is the sender's wall clock, from which the holder takes the median.
	WallClock time.Time `json:"wall"`
	// Leaving hosts do not become successors.
	Leaving bool `json:"leaving,omitempty"`
}

// FleetHeartbeatReply is the answer of the holder.
type FleetHeartbeatReply struct {
	// Leading is false at a host that does not hold the lease.
	Leading bool  `json:"leading"`
	Token   Token `json:"token"`
	// StoreAge is how long ago the store last answered the holder.
	StoreAge time.Duration `json:"store_age"`
	// CommitStalled is set while the store leaves a commit of the holder without an
	// answer; a host that reaches the store may take over sooner then.
	CommitStalled bool `json:"stuck,omitempty"`
	// CatalogVersion is the newest version known and CatalogAge how long ago
	// the store confirmed it.
	CatalogVersion Version       `json:"catalog_version"`
	CatalogAge     time.Duration `json:"catalog_age"`
	// Waiting are the jobs without a start, by queue. WaitingKnown is false until a
	// new holder knows them.
	WaitingKnown bool          `json:"counted,omitempty"`
	Waiting      map[Queue]int `json:"waiting,omitempty"`
	// Hosts are the peers in the order in which they would succeed.
	Hosts []netip.AddrPort `json:"hosts,omitempty"`
}

// FleetPeers sends messages between the hosts of the fleet's scheduler.
type FleetPeers interface {
	// Heartbeat tells the holder of a host and returns its reply.
	Heartbeat(ctx context.Context, to netip.AddrPort, heartbeat FleetHeartbeat) (FleetHeartbeatReply, error)
	// Submit hands a job to the holder; nil says that it is stored.
	Submit(ctx context.Context, to netip.AddrPort, job Submission) error
	// State asks the holder for the state of a job.
	State(ctx context.Context, to netip.AddrPort, id JobID) (JobState, error)
	// Cancel cancels a job; nil says that this is stored.
	Cancel(ctx context.Context, to netip.AddrPort, id JobID) error
	// Advise lets a host put a question to the advice service, which answers one
	// call of a host after the other.
	Advise(ctx context.Context, to netip.AddrPort, request AdviceRequest) (Advice, error)
	// TakeOver asks a host to take over the lease that the sender gave up.
	TakeOver(ctx context.Context, to netip.AddrPort) error
}

// FleetHandler answers messages of other hosts.
type FleetHandler interface {
	HandleAdvise(ctx context.Context, request AdviceRequest) (Advice, error)
	HandleHeartbeat(ctx context.Context, heartbeat FleetHeartbeat) (FleetHeartbeatReply, error)
	HandleSubmit(ctx context.Context, job Submission) error
	HandleState(ctx context.Context, id JobID) (JobState, error)
	HandleCancel(ctx context.Context, id JobID) error
	HandleTakeOver(ctx context.Context) error
}
