package encoder

import (
	"cmp"
	"fmt"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"

	"primrosespar.example/primrosespar"
)

// Limits that keep each row below 64 KB, the smallest limit of a platform. A
// piece of PieceTasks tasks takes at most 60,000 bytes: for each task 20 bytes
// of headers and numbers, a checkpoint, the name of a worker, which is a key of
// the platform and has at most 200 bytes, and 9 bytes for each of MaxFailedRuns
// failed runs and of 4 crashes.
const (
	// PieceTasks is the number of tasks of one step in a piece, and the most
	// tasks of a job whose progress is one row.
	PieceTasks = 128
	// MaxCheckpoint is the most bytes of a checkpoint that is stored.
	MaxCheckpoint = 128
	// MaxFailedRuns is the most failed runs of a unit whose numbers are stored.
	MaxFailedRuns = 8
)

// PieceKey identifies a piece of the progress of a job: the tasks of one step
// of an occurrence from Index * PieceTasks on.
type PieceKey struct {
	Occurrence int
	Step       int
	Index      int
}

// String returns the key as text, in an order of its own.
func (k PieceKey) String() string {
	return fmt.Sprintf("%06d.%03d.%03d", k.Occurrence, k.Step, k.Index)
}

// Compare compares the keys in the order of their text.
func (k PieceKey) Compare(other PieceKey) int {
	return cmp.Or(cmp.Compare(k.Occurrence, other.Occurrence), cmp.Compare(k.Step, other.Step), cmp.Compare(k.Index, other.Index))
}

// ParsePieceKey parses the text of a key.
func ParsePieceKey(text string) (PieceKey, error) {
	var k PieceKey
	parts := strings.Split(text, ".")
	for i, n := range []*int{&k.Occurrence, &k.Step, &k.Index} {
		var err error
		if len(parts) != 3 {
			return PieceKey{}, eris.Errorf("%q is not the key of a piece", text)
		}
		if *n, err = strconv.Atoi(parts[i]); err != nil {
			return PieceKey{}, eris.Wrap(err, "parse the key of a piece")
		}
	}
	return k, nil
}

// pieceRow is the row of a piece. No units means that all are done.
type pieceRow struct {
	_     struct{} `cbor:",toarray"`
	Units []Unit
}

// splitProgress is the row of a job whose units are in pieces. It has one
// element more than Progress, so that earlier releases do not take the job for
// one without progress.
type splitProgress struct {
	_           struct{} `cbor:",toarray"`
	State       primrosespar.JobState
	Arrived     int64
	Finished    int
	Created     int
	Occurrences []splitOccurrence
	Form        int
}

// splitOccurrence is an occurrence of a job whose units are in pieces.
type splitOccurrence struct {
	_       struct{} `cbor:",toarray"`
	Index   int
	Counted bool
}

const (
	// splitForm is the form of the row of a job whose units are in pieces.
	splitForm = 1
	// splitHeader is the first byte of such a row, an array of six elements.
	splitHeader = 0x86
)

// Piece encodes the units of a piece. No units means that all are done.
func (e *Encoder) Piece(units []Unit) ([]byte, error) {
	data, err := e.encoder.Marshal(pieceRow{Units: units})
	return data, eris.Wrap(err, "encode piece")
}

// ParsePiece decodes the units of a piece.
func (e *Encoder) ParsePiece(data []byte) ([]Unit, error) {
	var row pieceRow
	err := e.decoder.Unmarshal(data, &row)
	return row.Units, eris.Wrap(err, "decode piece")
}

// splitProgress encodes the progress of a job without its pieces.
func (e *Encoder) splitProgress(p Progress) ([]byte, error) {
	row := splitProgress{State: p.State, Arrived: p.Arrived, Finished: p.Finished, Created: p.Created, Form: splitForm}
	for _, o := range p.Occurrences {
		row.Occurrences = append(row.Occurrences, splitOccurrence{Index: o.Index, Counted: o.Counted})
	}
	data, err := e.encoder.Marshal(row)
	return data, eris.Wrap(err, "encode progress")
}

// parseSplitProgress decodes the progress of a job without its pieces.
func (e *Encoder) parseSplitProgress(data []byte) (Progress, error) {
	var row splitProgress
	if err := e.decoder.Unmarshal(data, &row); err != nil {
		return Progress{}, eris.Wrap(err, "decode progress")
	}
	if row.Form != splitForm {
		return Progress{}, eris.Errorf("decode progress: unknown form %d", row.Form)
	}
	p := Progress{State: row.State, Arrived: row.Arrived, Finished: row.Finished, Created: row.Created, Split: true}
	for _, o := range row.Occurrences {
		p.Occurrences = append(p.Occurrences, Occurrence{Index: o.Index, Counted: o.Counted})
	}
	return p, nil
}
