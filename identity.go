package primrosespar

// Account is the name of a client account.
type Account string

// Place is the name of a data centre with its own hosts, upstreams and workers.
type Place string

// Region is the name of a region, to which several places may belong.
type Region string

// Host is the name of a machine that runs an entry process.
type Host string

// Upstream is the name of a back end of a place, which serves requests.
type Upstream string

// Worker is the name of a machine that runs tasks.
type Worker string

// Rack is the name of a rack of workers in a place.
type Rack string

// Class is the name of a class of work in a contract.
type Class string

// JobID identifies a job and the gang that runs it.
type JobID string

// RequestID identifies one request that an entry host received.
type RequestID string

// Incarnation identifies one run of a host process. It is 128 random bits in
// hexadecimal, so that no later process has the same one.
type Incarnation string

// AttemptID identifies one attempt to run a request.
type AttemptID string

// Token is a fencing token of a lease. A later holder has a higher one.
type Token uint64

// Revision numbers the changes of all contracts. It only increases.
type Revision uint64

// Version numbers the writes of one row or one contract. It only increases.
type Version uint64
