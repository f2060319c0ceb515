// Package encoder turns submitted jobs and their progress into table rows and
// back. A job has two rows: the submission, which never changes, and the
// progress, which is written at each decision on the job.
//
// # Usage
//
//	e := encoder.New()
//	data, err := e.Progress(progress)
//	progress, err := e.ParseProgress(data)
//
// Rows are CBOR arrays. Progress rows are small because they are written most.
package encoder

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"primrosespar.example/primrosespar"
)

// Bounds of the shape of a row.
const (
	maxElements = 65_536
	maxNesting  = 12
)

// Phase is how far a unit of work has come.
type Phase uint8

// Phases of a unit.
const (
	Waiting Phase = iota
	Placed
	Done
	Failed
)

// Unit is the progress of one gang or one task outside a gang.
type Unit struct {
	_     struct{} `cbor:",toarray"`
	Phase Phase
	// Run is the number of the last run, 0 before the first.
	Run uint64
	// Failed are the numbers of the runs that failed. A later holder may be told
	// of them again and must not count them twice.
	Failed     []uint64
	Checkpoint string
	// Workers hold the members of the current run, in the order of the tasks.
	Workers []primrosespar.Worker
}

// Occurrence is the progress of one run through the steps.
type Occurrence struct {
	_     struct{} `cbor:",toarray"`
	Index int
	// Steps hold the units of each step in order.
	Steps [][]Unit
}

// Progress is what changes of a job.
type Progress struct {
	_     struct{} `cbor:",toarray"`
	State primrosespar.JobState
	// Arrived is the wall clock of the accepting host in Unix milliseconds.
	Arrived int64
	// Finished and Created count the occurrences that ended and that were made;
	// those that ended are not listed any more.
	Finished    int
	Created     int
	Occurrences []Occurrence
}

// Wave is the progress of one wave of maintenance.
type Wave struct {
	_      struct{} `cbor:",toarray"`
	Number int
	// Started are the machines whose order may have left, Finished those that are
	// through.
	Started  []primrosespar.Machine
	Finished []primrosespar.Machine
	// End is when all machines should be through, in Unix milliseconds.
	End       int64
	Completed bool
}

// Encoder encodes and decodes rows. It is safe for concurrent use.
type Encoder struct {
	encoder cbor.EncMode
	decoder cbor.DecMode
}

// New returns an Encoder with bounds on what it decodes.
func New() (*Encoder, error) {
	decoder, err := cbor.DecOptions{MaxArrayElements: maxElements, MaxMapPairs: maxElements, MaxNestedLevels: maxNesting}.DecMode()
	if err != nil {
		return nil, eris.Wrap(err, "row decoder")
	}
	// The default cuts times to whole seconds.
	encoder, err := cbor.EncOptions{Time: cbor.TimeUnixMicro}.EncMode()
	if err != nil {
		return nil, eris.Wrap(err, "row encoder")
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

// Progress encodes the progress of a job.
func (e *Encoder) Progress(progress Progress) ([]byte, error) {
	data, err := e.encoder.Marshal(progress)
	return data, eris.Wrap(err, "encode progress")
}

// ParseProgress decodes the progress of a job.
func (e *Encoder) ParseProgress(data []byte) (Progress, error) {
	var progress Progress
	err := e.decoder.Unmarshal(data, &progress)
	return progress, eris.Wrap(err, "decode progress")
}

// Wave encodes the progress of a wave.
func (e *Encoder) Wave(wave Wave) ([]byte, error) {
	data, err := e.encoder.Marshal(wave)
	return data, eris.Wrap(err, "encode wave")
}

// ParseWave decodes the progress of a wave.
func (e *Encoder) ParseWave(data []byte) (Wave, error) {
	var wave Wave
	err := e.decoder.Unmarshal(data, &wave)
	return wave, eris.Wrap(err, "decode wave")
}
