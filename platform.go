package primrosespar

import (
	"context"
	"net/netip"
	"time"
)

// Row is one row of the platform's table. A row that does not exist has
// Version 0 and no Value.
type Row struct {
	Key     string  `json:"key"`
	Version Version `json:"version"`
	Value   []byte  `json:"value,omitempty"`
}

// Condition requires that a row has exactly this version; Version 0 requires
// that the row does not exist.
type Condition struct {
	Key     string  `json:"key"`
	Version Version `json:"version"`
}

// Write sets or deletes one row.
type Write struct {
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// Txn is a conditional write of several rows: all writes take effect at once
// if every condition holds, none otherwise.
type Txn struct {
	Conditions []Condition `json:"conditions,omitempty"`
	Writes     []Write     `json:"writes,omitempty"`
}

// Table is the platform's transactional table service. It is the only source of
// truth and the only means of agreement between hosts.
//
// Errors have CodeConflict (a condition did not hold and nothing was written),
// CodeStoreUnknown (the write was sent and may have taken effect) or
// CodeStoreUnavailable (nothing was sent, or a read was not answered).
type Table interface {
	// Get returns the rows with the keys, in the order of the keys.
	Get(ctx context.Context, keys ...string) ([]Row, error)
	// Scan returns up to limit rows whose keys have the prefix and are greater
	// than after, in key order. It may return fewer although there are more; only
	// an empty page is the last.
	Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit applies the transaction and returns the new versions of the
	// written rows, in the order of the writes.
	Commit(ctx context.Context, txn Txn) ([]Version, error)
}

// Objects is the platform's object store. Put replaces an object with the same
// name.
type Objects interface {
	// Put stores the object.
	Put(ctx context.Context, name string, data []byte) error
	// Fetch returns the object, or CodeNotFound if it does not exist.
	Fetch(ctx context.Context, name string) ([]byte, error)
	// Names returns up to limit names that have the prefix and are greater than
	// after, in order.
	Names(ctx context.Context, prefix, after string, limit int) ([]string, error)
}

// HostEntry is one entry host in the platform's list, which may be out of date.
type HostEntry struct {
	Host    Host           `json:"host"`
	Place   Place          `json:"place"`
	Peer    netip.AddrPort `json:"peer"`
	Leaving bool           `json:"leaving,omitempty"`
}

// UpstreamEntry is one upstream in the platform's list, which may be out of
// date.
type UpstreamEntry struct {
	Upstream    Upstream       `json:"upstream"`
	Place       Place          `json:"place"`
	Address     netip.AddrPort `json:"address"`
	Slots       int            `json:"slots"`
	Connections int            `json:"connections"`
	Leaving     bool           `json:"leaving,omitempty"`
}

// Directory is the platform's list of the live and leaving hosts and upstreams
// of one place. It may be out of date.
type Directory struct {
	Hosts     []HostEntry     `json:"hosts"`
	Upstreams []UpstreamEntry `json:"upstreams"`
}

// Hosts reads the platform's list of hosts and upstreams.
type Hosts interface {
	// List returns the list for the place.
	List(ctx context.Context, place Place) (Directory, error)
}

// WorkerEntry describes one worker. Position is its position in the rack: the
// accelerators of workers at neighbouring positions are adjacent.
type WorkerEntry struct {
	Worker       Worker `json:"worker"`
	Place        Place  `json:"place"`
	Rack         Rack   `json:"rack"`
	Position     int    `json:"position"`
	Cores        int    `json:"cores"`
	MemoryBytes  int64  `json:"memory_bytes"`
	Accelerators int    `json:"accelerators"`
	Alive        bool   `json:"alive"`
	Leaving      bool   `json:"leaving,omitempty"`
	// Tasks are the tasks that the worker knows, including ended ones that the
	// scheduler has not yet told it to forget.
	Tasks []TaskStatus `json:"tasks,omitempty"`
}

// TaskState is the state of one task on its worker.
type TaskState string

// Task states. A held task is loaded but throttled to zero, so that it does no
// work.
const (
	TaskHeld     TaskState = "held"
	TaskRunning  TaskState = "running"
	TaskFinished TaskState = "finished"
	TaskFailed   TaskState = "failed"
	TaskStopped  TaskState = "stopped"
)

// TaskStatus is a worker's report of one task. The usage may be out of date.
type TaskStatus struct {
	Gang         JobID     `json:"gang"`
	Member       int       `json:"member"`
	Attempt      uint64    `json:"attempt"`
	State        TaskState `json:"state"`
	Checkpointed bool      `json:"checkpointed,omitempty"`
	// UsedMemoryBytes and UsedCores are the measured usage, not the declared
	// one.
	UsedMemoryBytes int64   `json:"used_memory_bytes,omitempty"`
	UsedCores       float64 `json:"used_cores,omitempty"`
}

// CommandKind is the kind of a command to a worker.
type CommandKind string

// Worker commands. Start loads a task in state TaskHeld, release lets it work,
// and forget removes an ended task from the worker's report.
const (
	CommandRenew      CommandKind = "renew"
	CommandStart      CommandKind = "start"
	CommandRelease    CommandKind = "release"
	CommandThrottle   CommandKind = "throttle"
	CommandCheckpoint CommandKind = "checkpoint"
	CommandStop       CommandKind = "stop"
	CommandForget     CommandKind = "forget"
)

// Command is one command to one worker. A worker refuses a command whose token
// is lower than the highest one that it has seen for the place, or whose
// attempt is lower than the highest one that it has seen for the gang.
type Command struct {
	Worker  Worker      `json:"worker"`
	Kind    CommandKind `json:"kind"`
	Gang    JobID       `json:"gang,omitempty"`
	Member  int         `json:"member,omitempty"`
	Attempt uint64      `json:"attempt,omitempty"`
	// First and Count are the range of the worker's accelerators that the task
	// gets.
	First int `json:"first,omitempty"`
	Count int `json:"count,omitempty"`
	// Lease is how long the worker runs its tasks without another renewal. It
	// applies to the whole worker and is read on renew and start.
	Lease time.Duration `json:"lease,omitempty"`
	// Payload is the input of the task that a start command loads.
	Payload []byte `json:"work,omitempty"`
}

// CommandResult is the result of the command with the same index.
type CommandResult struct {
	Code    Code   `json:"code"`
	Message string `json:"message,omitempty"`
}

// Workers is the platform's worker service. It does not depend on the table.
type Workers interface {
	// Changes returns the workers of the place that changed after the cursor,
	// and the next cursor. Cursor 0 returns all workers.
	Changes(ctx context.Context, place Place, cursor uint64) ([]WorkerEntry, uint64, error)
	// Do sends commands with a fencing token and returns one result for each.
	// If it returns an error, any of the commands may have been carried out.
	Do(ctx context.Context, place Place, token Token, commands []Command) ([]CommandResult, error)
}
