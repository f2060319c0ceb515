package primrosespar

import "context"

// Evacuation is an operator's request that no more work is started at the
// workers of a place until it is taken back. What runs there may end there.
type Evacuation struct {
	Place Place
	// Version is that of the request; one that was taken back and made again
	// has a higher version.
	Version Version
}

// EvacuationSource is where operators request evacuations.
type EvacuationSource interface {
	// Evacuations returns all requests that are not taken back.
	Evacuations(ctx context.Context) ([]Evacuation, error)
}
