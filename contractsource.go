package primrosespar

import "time"

// ContractSource provides the contracts as this host knows them.
type ContractSource interface {
	// View returns the newest known contracts and the time since they were
	// known to be current.
	View() (ContractView, time.Duration)
	// Current reports whether the view is recent enough to be relied on. A host
	// without a current view serves only the offline terms.
	Current() bool
}
