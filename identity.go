package primrosespar

// Account names a client account.
type Account string

// Place names a data centre with its own hosts, upstreams and workers.
type Place string

// Host names an entry host.
type Host string

// Upstream names one upstream of a place.
type Upstream string

// Worker names a machine that runs tasks.
type Worker string

// Rack names a rack of workers within a place.
type Rack string

// Class names a class of work within a contract.
type Class string

// JobID names a job and the gang that runs it.
type JobID string

// RequestID names one request of a caller as the entry host sees it.
type RequestID string

// Incarnation names one run of a host process; it is 128 random bits in
// hexadecimal, so no later process has the same one.
type Incarnation string

// AttemptID names one attempt to run a request.
type AttemptID string

// Token is a fencing token; a higher one belongs to a later holder.
type Token uint64

// Revision counts all contract changes; it only grows.
type Revision uint64

// Version counts the writes of one row or one contract; it only grows.
type Version uint64
