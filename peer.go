package primrosespar

import (
	"context"
	"net/netip"
	"time"
)

// SlotUsage is a host's use of one upstream.
type SlotUsage struct {
	Upstream Upstream `json:"upstream"`
	// Used counts attempts in flight, also those on slots that moved away.
	Used int `json:"used"`
	// Wanted counts calls that wait for a slot here.
	Wanted int `json:"wanted"`
	// Lent counts slots of the sender that the receiver may use until Term
	// after the receiver sent the heartbeat that this one answers.
	Lent int           `json:"lent"`
	Term time.Duration `json:"term"`
}

// Heartbeat is what hosts of a place tell each other each second.
type Heartbeat struct {
	Host        Host           `json:"host"`
	Place       Place          `json:"place"`
	Incarnation Incarnation    `json:"incarnation"`
	Address     netip.AddrPort `json:"address"`
	// Revision is the newest contract revision known; ViewAge is how long ago
	// the sender knew it to be current.
	Revision Revision      `json:"revision"`
	ViewAge  time.Duration `json:"view_age"`
	Usage    []SlotUsage   `json:"usage,omitempty"`
	Leaving  []Upstream    `json:"leaving,omitempty"`
	Ejected  []Upstream    `json:"ejected,omitempty"`
	Draining bool          `json:"draining,omitempty"`
}

// Peers sends messages to other hosts of the place.
type Peers interface {
	// Heartbeat sends a heartbeat and returns the one of the receiver.
	Heartbeat(ctx context.Context, to netip.AddrPort, heartbeat Heartbeat) (Heartbeat, error)
	// Execute serves the call at the host that minted its key.
	Execute(ctx context.Context, to netip.AddrPort, call Call) (Answer, error)
	// Notify tells the holder of the place lease that a job row changed.
	Notify(ctx context.Context, to netip.AddrPort, place Place, id JobID) error
}

// PeerHandler answers messages of other hosts.
type PeerHandler interface {
	// HandleHeartbeat takes a heartbeat and returns the own one.
	HandleHeartbeat(ctx context.Context, heartbeat Heartbeat) (Heartbeat, error)
	// HandleExecute serves a call whose key this process minted.
	HandleExecute(ctx context.Context, call Call) (Answer, error)
	// HandleNotify takes note of a changed job row.
	HandleNotify(ctx context.Context, place Place, id JobID) error
}
