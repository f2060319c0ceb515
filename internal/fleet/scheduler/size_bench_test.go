package scheduler_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/fleet/encoder"
	"primrosespar.example/primrosespar/internal/fleet/scheduler"
)

// largestStep is the largest step that the platform accepts.
const largestStep = 4096

// sizedJob returns a job with the number of small tasks, in steps that the
// platform accepts.
func sizedJob(tasks int) primrosespar.Submission {
	submission := primrosespar.Submission{ID: "a", Queue: "plain", Account: "nord", Spec: "x"}
	for ; tasks > 0; tasks -= largestStep {
		submission.Steps = append(submission.Steps, primrosespar.Step{
			Count: min(tasks, largestStep), Estimate: time.Hour, Checkpointing: true,
			Need: primrosespar.Resources{Millicores: 50, MemoryMiB: 64},
		})
	}
	return submission
}

// heapBytes returns the bytes in use on the heap.
func heapBytes() float64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// rowBytes returns the size of the rows of the records.
func rowBytes(b *testing.B, e *encoder.Encoder, records []scheduler.Record) int {
	total := 0
	for _, r := range records {
		data, err := e.Progress(r.Progress)
		require.NoError(b, err)
		total += len(data)
		for _, units := range r.Progress.Pieces {
			data, err := e.Piece(units)
			require.NoError(b, err)
			total += len(data)
		}
	}
	return total
}

// BenchmarkJobSize measures a commit that follows the end and the next start of
// one task of a job, by the number of its running tasks.
func BenchmarkJobSize(b *testing.B) {
	e, err := encoder.New()
	require.NoError(b, err)
	for _, tasks := range []int{3, 39, 512, 4000, 57000} {
		b.Run(fmt.Sprintf("tasks=%d", tasks), func(b *testing.B) {
			h := newHarness(&testing.T{}, 12)
			h.reportAllIdle()
			before := heapBytes()
			h.scheduler.Submit(sizedJob(tasks), h.now)
			began := time.Now()
			changes := h.scheduler.Plan(h.now)
			firstPlan := float64(time.Since(began).Microseconds()) / 1000
			require.Len(b, changes.Starts, tasks)
			firstBytes := float64(rowBytes(b, e, changes.Records))
			for _, o := range changes.Starts {
				h.scheduler.HandleStartResult(o, primrosespar.CodeOK, h.now)
			}
			heap := heapBytes() - before
			start, index, sequence, bytes := changes.Starts[tasks/2], map[primrosespar.Worker]int{}, uint64(0), 0
			for i, w := range h.workers {
				index[w.Worker] = i
			}
			for b.Loop() {
				sequence++
				h.report(index[start.Worker], nil, primrosespar.EndedRun{Sequence: sequence, Run: start.Run, End: primrosespar.EndStopped, Checkpoint: "00000bb87a21d94b"})
				changes := h.scheduler.Plan(h.now)
				bytes += rowBytes(b, e, changes.Records)
				require.Len(b, changes.Starts, 1)
				start = changes.Starts[0]
				h.scheduler.HandleStartResult(start, primrosespar.CodeOK, h.now)
			}
			b.ReportMetric(float64(bytes)/float64(b.N), "bytes/commit")
			b.ReportMetric(firstPlan, "ms/first-plan")
			b.ReportMetric(firstBytes, "bytes/first-commit")
			b.ReportMetric(heap/float64(tasks), "heap-bytes/task")
		})
	}
}

// BenchmarkWaitingTasks measures a plan on a full fleet, by the number of tasks
// of a job of which most wait, and their memory.
func BenchmarkWaitingTasks(b *testing.B) {
	for _, tasks := range []int{4000, 57000, 800000} {
		b.Run(fmt.Sprintf("tasks=%d", tasks), func(b *testing.B) {
			h := newHarness(&testing.T{}, 12)
			h.reportAllIdle()
			before := heapBytes()
			submission := sizedJob(tasks)
			for i := range submission.Steps {
				submission.Steps[i].Need.Millicores = 1000
			}
			h.scheduler.Submit(submission, h.now)
			h.scheduler.Plan(h.now)
			heap := heapBytes() - before
			for b.Loop() {
				h.now = h.now.Add(planInterval)
				h.scheduler.Plan(h.now)
			}
			b.ReportMetric(heap/(1<<20), "heap-MB")
			runtime.KeepAlive(h)
		})
	}
}
