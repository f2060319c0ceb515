package encoder_test

import (
	"testing"
	"time"

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
