package primrosespar

import (
	"context"
	"net/netip"
	"time"
)

// SlotUsage is a host's use of one upstream.
type SlotUsage struct {
	Upstream Upstream `json:"upstream"`
	// Used counts attempts in flight, including those on slots that have since
	// been moved to another host.
	Used int `json:"used"`
	// Wanted counts calls that wait for a slot at the sender.
	Wanted int `json:"wanted"`
	// Lent counts slots of the sender that the receiver may use. The loan ends
	// Term after the receiver sent the heartbeat that this one answers.
	Lent int           `json:"lent"`
	Term time.Duration `json:"term"`
}

// Heartbeat is the message that the hosts of a place send each other every
// second.
type Heartbeat struct {
	Host        Host           `json:"host"`
	Place       Place          `json:"place"`
	Incarnation Incarnation    `json:"incarnation"`
	Address     netip.AddrPort `json:"address"`
	// Revision is the newest contract revision that the sender knows, and
	// ViewAge is how long ago the sender knew that it was current.
	Revision Revision      `json:"revision"`
	ViewAge  time.Duration `json:"view_age"`
	Usage    []SlotUsage   `json:"usage,omitempty"`
	Leaving  []Upstream    `json:"leaving,omitempty"`
	Ejected  []Upstream    `json:"ejected,omitempty"`
	Draining bool          `json:"draining,omitempty"`
}

// Peers sends messages to other hosts of the place.
type Peers interface {
	// Heartbeat sends a heartbeat and returns that of the receiver.
	Heartbeat(ctx context.Context, to netip.AddrPort, heartbeat Heartbeat) (Heartbeat, error)
	// Execute forwards a call to the host that minted its key.
	Execute(ctx context.Context, to netip.AddrPort, call Call) (Answer, error)
	// Notify tells the holder of the place lease that a job row changed.
	Notify(ctx context.Context, to netip.AddrPort, place Place, id JobID) error
}

// PeerHandler answers the messages that other hosts send with Peers.
type PeerHandler interface {
	// HandleHeartbeat receives a heartbeat and returns that of this host.
	HandleHeartbeat(ctx context.Context, heartbeat Heartbeat) (Heartbeat, error)
	// HandleExecute serves a call whose key was minted by this process.
	HandleExecute(ctx context.Context, call Call) (Answer, error)
	// HandleNotify receives the notice that a job row changed.
	HandleNotify(ctx context.Context, place Place, id JobID) error
}
