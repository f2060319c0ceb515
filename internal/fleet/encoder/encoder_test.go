package encoder_test

import (
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/fleet/encoder"
)

// TestSubmissionKeepsSubsecondTimes guards against a repeated job that starts
// early because its start time is truncated to whole seconds.
func TestSubmissionKeepsSubsecondTimes(t *testing.T) {
	e, err := encoder.New()
	require.NoError(t, err)
	start := time.UnixMilli(1_792_281_980_778)
	data, err := e.Submission(primrosespar.Submission{
		ID: "a", Repeat: primrosespar.Repeat{Count: 4, Start: start, Every: 6011 * time.Millisecond},
	})
	require.NoError(t, err)
	submission, err := e.ParseSubmission(data)
	require.NoError(t, err)
	require.WithinDuration(t, start, submission.Repeat.Start, time.Millisecond)
	require.Equal(t, 6011*time.Millisecond, submission.Repeat.Every)
}

// maxRowBytes is the limit of the platform on a row.
const maxRowBytes = 65_536

// largestUnit returns a unit that takes as much room as one can.
func largestUnit() encoder.Unit {
	u := encoder.Unit{
		Phase: encoder.Placed, Run: math.MaxUint64, Checkpoint: strings.Repeat("c", encoder.MaxCheckpoint),
		Workers: []primrosespar.Worker{primrosespar.Worker(strings.Repeat("w", 200))},
	}
	for range encoder.MaxFailedRuns + 1 + 4 {
		u.Failed = append(u.Failed, math.MaxUint64)
	}
	return u
}

// TestLargestRowsAreAccepted guards against a row that the platform refuses.
func TestLargestRowsAreAccepted(t *testing.T) {
	e, err := encoder.New()
	require.NoError(t, err)
	units := slices.Repeat([]encoder.Unit{largestUnit()}, encoder.PieceTasks)
	piece, err := e.Piece(units)
	require.NoError(t, err)
	require.LessOrEqual(t, len(piece), maxRowBytes)
	decoded, err := e.ParsePiece(piece)
	require.NoError(t, err)
	require.Equal(t, units, decoded)
	// Most headers are needed if each task is a step and an occurrence.
	inline := encoder.Progress{State: primrosespar.JobActive, Arrived: math.MaxInt64, Finished: math.MaxInt, Created: math.MaxInt}
	for range encoder.PieceTasks {
		inline.Occurrences = append(inline.Occurrences, encoder.Occurrence{Index: math.MaxInt, Steps: [][]encoder.Unit{{largestUnit()}}})
	}
	row, err := e.Progress(inline)
	require.NoError(t, err)
	require.LessOrEqual(t, len(row), maxRowBytes)
}

// TestEarlierReleasesRejectSplitProgress guards against a holder of an earlier
// release that takes a job in pieces for one that has not begun.
func TestEarlierReleasesRejectSplitProgress(t *testing.T) {
	e, err := encoder.New()
	require.NoError(t, err)
	progress := encoder.Progress{
		State: primrosespar.JobActive, Arrived: 5, Finished: 1, Created: 3, Split: true,
		Occurrences: []encoder.Occurrence{{Index: 1, Counted: true}, {Index: 2}},
	}
	row, err := e.Progress(progress)
	require.NoError(t, err)
	decoded, err := e.ParseProgress(row)
	require.NoError(t, err)
	require.Equal(t, progress, decoded)
	var earlier struct {
		_           struct{} `cbor:",toarray"`
		State       primrosespar.JobState
		Arrived     int64
		Finished    int
		Created     int
		Occurrences []encoder.Occurrence
	}
	require.Error(t, cbor.Unmarshal(row, &earlier))
	row, err = e.Progress(encoder.Progress{State: primrosespar.JobActive, Occurrences: []encoder.Occurrence{{Steps: [][]encoder.Unit{{{Run: 2}}}}}})
	require.NoError(t, err)
	require.NoError(t, cbor.Unmarshal(row, &earlier))
}
