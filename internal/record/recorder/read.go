package recorder

import (
	"bytes"
	"context"
	"encoding/json"
	"time"

	"primrosespar.example/primrosespar"
)

// Limits of one read. A result that exceeds them is cut off and marked as
// incomplete.
const (
	maxObjects   = 4096
	maxDecisions = 50_000
	pageSize     = 256
	// maxBatchDelay is how much later than a decision the time in the name of
	// its batch may be.
	maxBatchDelay = 10 * time.Minute
)

// Read returns the matching decisions that were made at or after from and
// before to. It also reports whether some are missing because a batch is
// unreadable or a limit was reached.
func Read(ctx context.Context, objects primrosespar.Objects, from, to time.Time, match func(primrosespar.Decision) bool) ([]primrosespar.Decision, bool, error) {
	after := BatchPrefix + from.UTC().Format(timeFormat)
	end := BatchPrefix + to.Add(maxBatchDelay).UTC().Format(timeFormat)
	var decisions []primrosespar.Decision
	missing := false
	for objectsRead := 0; objectsRead < maxObjects; {
		names, err := objects.Names(ctx, BatchPrefix, after, pageSize)
		if err != nil {
			return nil, false, err
		}
		for _, name := range names {
			if name > end {
				return decisions, missing, nil
			}
			data, err := objects.Fetch(ctx, name)
			if err != nil {
				missing = true
			}
			for _, line := range bytes.Split(data, []byte("\n")) {
				var d primrosespar.Decision
				if len(line) == 0 {
					continue
				}
				if json.Unmarshal(line, &d) != nil {
					missing = true
					continue
				}
				if d.At.Before(from) || !d.At.Before(to) || !match(d) {
					continue
				}
				if len(decisions) == maxDecisions {
					return decisions, true, nil
				}
				decisions = append(decisions, d)
			}
			after = name
			objectsRead++
		}
		if len(names) < pageSize {
			return decisions, missing, nil
		}
	}
	return decisions, true, nil
}
