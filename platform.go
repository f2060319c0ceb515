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

// Table is the platform's transactional table service. It is the only place
// of agreement and the only lasting truth.
//
// Errors carry CodeConflict (a condition did not hold and nothing was
// written), CodeStoreUnknown (the write was sent and may have taken effect)
// or CodeStoreUnavailable (nothing was sent, or the read gave no answer).
type Table interface {
	// Get reads rows by key, in the order of the keys.
	Get(ctx context.Context, keys ...string) ([]Row, error)
	// Scan reads up to limit rows with the prefix and a key above after, in
	// key order.
	Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit applies the transaction and returns the new versions of the
	// written rows in the order of the writes.
	Commit(ctx context.Context, txn Txn) ([]Version, error)
}

// Objects is the platform's object store. Put of the same name replaces.
type Objects interface {
	// Put stores the object.
	Put(ctx context.Context, name string, data []byte) error
	// Fetch returns the object; a missing one gives CodeNotFound.
	Fetch(ctx context.Context, name string) ([]byte, error)
	// Names lists up to limit names with the prefix above after, in order.
	Names(ctx context.Context, prefix, after string, limit int) ([]string, error)
}

// HostEntry is one entry host in the platform's list. The list lags.
type HostEntry struct {
	Host    Host           `json:"host"`
	Place   Place          `json:"place"`
	Peer    netip.AddrPort `json:"peer"`
	Leaving bool           `json:"leaving,omitempty"`
}

// UpstreamEntry is one upstream in the platform's list. The list lags.
type UpstreamEntry struct {
	Upstream    Upstream       `json:"upstream"`
	Place       Place          `json:"place"`
	Address     netip.AddrPort `json:"address"`
	Slots       int            `json:"slots"`
	Connections int            `json:"connections"`
	Leaving     bool           `json:"leaving,omitempty"`
}

// Directory is the platform's lagging list of live and leaving hosts and
// upstreams of one place.
type Directory struct {
	Hosts     []HostEntry     `json:"hosts"`
	Upstreams []UpstreamEntry `json:"upstreams"`
}

// Hosts reads the platform's list.
type Hosts interface {
	// List returns the list for the place.
	List(ctx context.Context, place Place) (Directory, error)
}

// WorkerEntry describes one worker. Position is its place in the order of the
// rack: accelerators of neighbouring positions are adjacent.
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
	// Tasks are the tasks that the worker knows of, also ended ones that the
	// scheduler has not yet forgotten.
	Tasks []TaskStatus `json:"tasks,omitempty"`
}

// TaskState is the state of one task at its worker.
type TaskState string

// Task states. A held task is loaded but throttled to zero: it does no work.
const (
	TaskHeld     TaskState = "held"
	TaskRunning  TaskState = "running"
	TaskFinished TaskState = "finished"
	TaskFailed   TaskState = "failed"
	TaskStopped  TaskState = "stopped"
)

// TaskStatus is what a worker reports of one task; usage lags.
type TaskStatus struct {
	Gang         JobID     `json:"gang"`
	Member       int       `json:"member"`
	Attempt      uint64    `json:"attempt"`
	State        TaskState `json:"state"`
	Checkpointed bool      `json:"checkpointed,omitempty"`
	// UsedMemoryBytes and UsedCores are measured usage, not declared size.
	UsedMemoryBytes int64   `json:"used_memory_bytes,omitempty"`
	UsedCores       float64 `json:"used_cores,omitempty"`
}

// CommandKind says what a worker is asked to do.
type CommandKind string

// Worker commands. Start loads a task held; release lets it work; forget
// drops an ended task from the worker's report.
const (
	CommandRenew      CommandKind = "renew"
	CommandStart      CommandKind = "start"
	CommandRelease    CommandKind = "release"
	CommandThrottle   CommandKind = "throttle"
	CommandCheckpoint CommandKind = "checkpoint"
	CommandStop       CommandKind = "stop"
	CommandForget     CommandKind = "forget"
)

// Command is one instruction to one worker. A worker refuses a command whose
// token is below the highest it has seen for the place, and one whose attempt
// is below the highest it has seen for the gang.
type Command struct {
	Worker  Worker      `json:"worker"`
	Kind    CommandKind `json:"kind"`
	Gang    JobID       `json:"gang,omitempty"`
	Member  int         `json:"member,omitempty"`
	Attempt uint64      `json:"attempt,omitempty"`
	// First and Count are the accelerators of the worker that the task gets.
	First int `json:"first,omitempty"`
	Count int `json:"count,omitempty"`
	// Lease is how long the worker goes on without another renewal. It
	// belongs to the worker, not to the task, and is read on renew and start.
	Lease time.Duration `json:"lease,omitempty"`
	// Work is the payload for a start.
	Work []byte `json:"work,omitempty"`
}

// CommandResult answers the command with the same index.
type CommandResult struct {
	Code    Code   `json:"code"`
	Message string `json:"message,omitempty"`
}

// Workers is the platform's worker service. It needs no table.
type Workers interface {
	// Changes returns the workers of the place that changed after the cursor
	// and the next cursor; cursor 0 returns all of them.
	Changes(ctx context.Context, place Place, cursor uint64) ([]WorkerEntry, uint64, error)
	// Do sends commands under a fencing token and returns one result each.
	// On an error any of the commands may have been carried out.
	Do(ctx context.Context, place Place, token Token, commands []Command) ([]CommandResult, error)
}
