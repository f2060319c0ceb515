// Package encoder encodes submitted jobs, their progress and the progress of
// maintenance waves as table rows, and decodes them. A job has two rows: the
// submission, which never changes, and the progress, which is written at each
// decision on the job. The units of a job with many tasks are in further rows,
// its pieces, of which only those that have changed are written.
//
// # Usage
//
//	e, err := encoder.New()
//	data, err := e.Progress(progress)
//	progress, err := e.ParseProgress(data)
//	data, err := e.Piece(progress.Pieces[key])
//
// Progress rows are CBOR arrays without field names, to keep them small because
// they are written most often. Submissions are CBOR maps.
package encoder

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"primrosespar.example/primrosespar"
)

// Limits on decoded rows.
const (
	maxElements = 65_536
	maxNesting  = 12
)

// Phase is the phase of a unit of work.
type Phase uint8

// Phases of a unit.
const (
	// Waiting units have no workers.
	Waiting Phase = iota
	// Placed units have a run on workers.
	Placed
	// Done units have ended successfully.
	Done
	// Failed units have used up their attempts.
	Failed
)

// Unit is the progress of a unit: a gang, or a task outside a gang.
type Unit struct {
	_     struct{} `cbor:",toarray"`
	Phase Phase
	// Run is the number of the last run; it is 0 before the first one.
	Run uint64
	// Failed holds the numbers of the runs that failed. A later holder of the
	// fleet lease may receive their ends again and must not count them twice. It
	// also holds the crashes of workers under the unit, as numbers of 2^63 or
	// more, which earlier releases count as failed runs.
	Failed     []uint64
	Checkpoint string
	// Workers holds the workers of the current run's members, in the order of
	// the tasks. One more entry after them marks the lifetimes that the run was
	// placed in, a character each; earlier releases ignore it.
	Workers []primrosespar.Worker
}

// Occurrence is the progress of one run through the steps of a job.
type Occurrence struct {
	_     struct{} `cbor:",toarray"`
	Index int
	// Steps holds the units of each step, in order. It is empty if the job is
	// split.
	Steps [][]Unit
	// Counted is set if the job is split and the occurrence is among the
	// finished ones, but still has runs.
	Counted bool `cbor:"-"`
}

// Progress is the part of a job that changes.
type Progress struct {
	_     struct{} `cbor:",toarray"`
	State primrosespar.JobState
	// Arrived is the time of acceptance by the wall clock of the accepting
	// host, in Unix milliseconds.
	Arrived int64
	// Finished counts the occurrences that have ended, Created those that have
	// been created. Occurrences holds only those that have not ended or still
	// have runs.
	Finished    int
	Created     int
	Occurrences []Occurrence
	// Split is set if the units are in Pieces, which have rows of their own, by
	// step and range of tasks. No units means that all of a piece are done. Units
	// in no piece wait for their first run. A gang has a unit in each of its
	// pieces with the workers of that range.
	Split  bool                `cbor:"-"`
	Pieces map[PieceKey][]Unit `cbor:"-"`
}

// Wave is the progress of one wave of maintenance.
type Wave struct {
	_      struct{} `cbor:",toarray"`
	Number int
	// Started are the machines whose maintenance order may have been sent,
	// Finished those whose maintenance is finished.
	Started  []primrosespar.Machine
	Finished []primrosespar.Machine
	// End is when the maintenance of all machines should be finished, in Unix
	// milliseconds.
	End       int64
	Completed bool
}

// Evacuation is an operator's request that a place is emptied.
type Evacuation struct {
	_ struct{} `cbor:",toarray"`
	// RequestedAt is in Unix milliseconds.
	RequestedAt int64
}

// Encoder encodes and decodes rows. It is safe for concurrent use.
type Encoder struct {
	encoder cbor.EncMode
	decoder cbor.DecMode
}

// New returns an Encoder that limits the size and nesting of the rows that it
// decodes.
func New() (*Encoder, error) {
	decoder, err := cbor.DecOptions{MaxArrayElements: maxElements, MaxMapPairs: maxElements, MaxNestedLevels: maxNesting}.DecMode()
	if err != nil {
		return nil, eris.Wrap(err, "create row decoder")
	}
	// The default encoding truncates times to whole seconds.
	encoder, err := cbor.EncOptions{Time: cbor.TimeUnixMicro}.EncMode()
	if err != nil {
		return nil, eris.Wrap(err, "create row encoder")
	}
	return &Encoder{encoder: encoder, decoder: decoder}, nil
}

// Submission encodes a submitted job.
func (e *Encoder) Submission(submission primrosespar.Submission) ([]byte, error) {
	data, err := e.encoder.Marshal(submission)
	return data, eris.Wrap(err, "encode submission")
}

// ParseSubmission decodes a submitted job.
func (e *Encoder) ParseSubmission(data []byte) (primrosespar.Submission, error) {
	var submission primrosespar.Submission
	err := e.decoder.Unmarshal(data, &submission)
	return submission, eris.Wrap(err, "decode submission")
}

// Progress encodes the progress of a job, without its pieces if it is split.
func (e *Encoder) Progress(progress Progress) ([]byte, error) {
	if progress.Split {
		return e.splitProgress(progress)
	}
	data, err := e.encoder.Marshal(progress)
	return data, eris.Wrap(err, "encode progress")
}

// ParseProgress decodes the progress of a job, without its pieces if it is
// split.
func (e *Encoder) ParseProgress(data []byte) (Progress, error) {
	if len(data) > 0 && data[0] == splitHeader {
		return e.parseSplitProgress(data)
	}
	var progress Progress
	err := e.decoder.Unmarshal(data, &progress)
	return progress, eris.Wrap(err, "decode progress")
}

// Wave encodes the progress of a wave of maintenance.
func (e *Encoder) Wave(wave Wave) ([]byte, error) {
	data, err := e.encoder.Marshal(wave)
	return data, eris.Wrap(err, "encode wave")
}

// ParseWave decodes the progress of a wave of maintenance.
func (e *Encoder) ParseWave(data []byte) (Wave, error) {
	var wave Wave
	err := e.decoder.Unmarshal(data, &wave)
	return wave, eris.Wrap(err, "decode wave")
}

// Evacuation encodes a request that a place is emptied.
func (e *Encoder) Evacuation(evacuation Evacuation) ([]byte, error) {
	data, err := e.encoder.Marshal(evacuation)
	return data, eris.Wrap(err, "encode evacuation")
}

// ParseEvacuation decodes a request that a place is emptied.
func (e *Encoder) ParseEvacuation(data []byte) (Evacuation, error) {
	var evacuation Evacuation
	err := e.decoder.Unmarshal(data, &evacuation)
	return evacuation, eris.Wrap(err, "decode evacuation")
}
