package primrosespar

import (
	"context"
	"net/netip"
	"time"
)

// FleetHeartbeat is the heartbeat of a host to the holder of the fleet lease.
type FleetHeartbeat struct {
	Host    Host           `json:"host"`
	Address netip.AddrPort `json:"address"`
	// Weight ranks the hosts as successors of the holder. A host with more
	// processor time has a higher weight and is preferred.
	Weight float64 `json:"weight"`
	// WallClock is the sender's wall clock. The holder uses the median over all
	// hosts.
	WallClock time.Time `json:"wall"`
	// Leaving hosts do not become successors.
	Leaving bool `json:"leaving,omitempty"`
}

// FleetHeartbeatReply is the reply to a FleetHeartbeat.
type FleetHeartbeatReply struct {
	// Leading reports whether the sender of the reply holds the lease.
	Leading bool `json:"leading"`
	// Resigned reports whether the sender, which does not lead, will not lead
	// again. Its lease may be acquired at once.
	Resigned bool  `json:"resigned,omitempty"`
	Token    Token `json:"token"`
	// StoreAge is how long ago the store last answered the holder.
	StoreAge time.Duration `json:"store_age"`
	// LeaseVersion is the version of the lease row that the holder wrote last.
	LeaseVersion Version `json:"lease_version,omitempty"`
	// CommitStalled is set while the store does not answer a commit of the
	// holder. Another host that reaches the store may then take over earlier.
	CommitStalled bool `json:"stuck,omitempty"`
	// CatalogVersion is the newest known version of the catalog. CatalogRead is
	// the number of the holder's read that last found it to be the newest, and
	// CatalogReads is the number of reads that the holder has begun.
	CatalogVersion Version `json:"catalog_version"`
	CatalogRead    uint64  `json:"catalog_read,omitempty"`
	CatalogReads   uint64  `json:"catalog_reads,omitempty"`
	// CatalogAge is how long ago the version was confirmed by the holder's
	// clock. Only hosts of earlier releases use it.
	CatalogAge time.Duration `json:"catalog_age"`
	// Waiting is the number of jobs that have not started, by queue.
	// WaitingKnown is false until a new holder has counted them.
	WaitingKnown bool          `json:"counted,omitempty"`
	Waiting      map[Queue]int `json:"waiting,omitempty"`
	// Hosts are the peers in the order in which they would become the holder.
	Hosts []netip.AddrPort `json:"hosts,omitempty"`
}

// FleetPeers sends messages between the hosts of the fleet's scheduler.
type FleetPeers interface {
	// Heartbeat sends a heartbeat to the holder and returns its reply.
	Heartbeat(ctx context.Context, to netip.AddrPort, heartbeat FleetHeartbeat) (FleetHeartbeatReply, error)
	// Submit sends a job to the holder. It returns nil once the job is stored.
	Submit(ctx context.Context, to netip.AddrPort, job Submission) error
	// State asks the holder for the state of a job.
	State(ctx context.Context, to netip.AddrPort, request JobRequest) (JobState, error)
	// Cancel cancels a job. It returns nil once the cancellation is stored.
	Cancel(ctx context.Context, to netip.AddrPort, request JobRequest) error
	// Advise makes another host call the advice service, which serves only one
	// call per host at a time.
	Advise(ctx context.Context, to netip.AddrPort, request AdviceRequest) (Advice, error)
	// TakeOver asks a host to take over the lease that the sender has released,
	// or that it cannot keep because the store refuses its commits. The token is
	// that of the sender's term. CodeDraining means that the host is stopping.
	TakeOver(ctx context.Context, to netip.AddrPort, token Token) error
}

// FleetHandler answers the messages that other hosts send with FleetPeers.
type FleetHandler interface {
	HandleAdvise(ctx context.Context, request AdviceRequest) (Advice, error)
	HandleHeartbeat(ctx context.Context, heartbeat FleetHeartbeat) (FleetHeartbeatReply, error)
	HandleSubmit(ctx context.Context, job Submission) error
	HandleState(ctx context.Context, request JobRequest) (JobState, error)
	HandleCancel(ctx context.Context, request JobRequest) error
	HandleTakeOver(ctx context.Context, token Token) error
}
