package primrosespar

import (
	"context"
	"time"
)

// Evacuation is an operator's request that no more work is started at the
// workers of a place until it is taken back. What runs there may end there.
type Evacuation struct {
	Place Place `json:"place"`
	// Own is set if it was requested with the product's own command, and not
	// through the platform. Each is taken back where it was requested.
	Own bool `json:"own"`
	// Version is that of the request; one that was taken back and made again
	// has a higher version.
	Version Version `json:"version"`
	// RequestedAt is when it was requested. Where the platform does not say so,
	// it is when the holder of the fleet lease first read it.
	RequestedAt time.Time `json:"requested_at"`
}

// EvacuationSource is where operators request evacuations.
type EvacuationSource interface {
	// Evacuations returns all requests that are not taken back. RequestedAt is
	// zero where it is not known.
	Evacuations(ctx context.Context) ([]Evacuation, error)
}

// EvacuationService requests evacuations and takes them back.
type EvacuationService interface {
	// Evacuate requests an evacuation and returns it once it is stored. A place
	// for which one was requested before keeps that.
	Evacuate(ctx context.Context, place Place) (Evacuation, error)
	// Restore takes an evacuation back. It fails with CodeNotFound if none was
	// requested with Evacuate.
	Restore(ctx context.Context, place Place) error
}

// EvacuationView is an evacuation with what is left at its place.
type EvacuationView struct {
	Evacuation
	// Runs is the number of runs that are left there.
	Runs int `json:"runs"`
}
