package pacer_test

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/fleet/pacer"
)

// modelRun is a run of a task whose worker may be slow for a while, and which
// may stand still from some time on.
type modelRun struct {
	work, estimate     time.Duration
	firstPercent       float64
	slowFrom, slowTo   time.Duration
	slowness, farAway  float64
	hangsAt            time.Duration
	reportsNoProcessor bool
}

// never is later than the end of any model run.
const never = 1 << 60 * time.Nanosecond

// drawRun draws a run: estimates are off by a factor of 1.6 in the mean square,
// one run of ten is away from its data, and one of five has a slow worker for a
// while.
func drawRun(r *rand.Rand, work time.Duration) modelRun {
	m := modelRun{work: work, farAway: 1, slowness: 1, hangsAt: never, reportsNoProcessor: r.IntN(2) == 0}
	m.estimate = time.Duration(float64(work) * math.Exp(r.NormFloat64()/2))
	if r.IntN(10) == 0 {
		m.farAway = 3
	}
	if r.IntN(5) == 0 {
		m.slowness = 4 + 4*r.Float64()
		m.slowFrom = time.Duration(r.Float64() * float64(work))
		m.slowTo = m.slowFrom + 6*time.Second + time.Duration(r.Float64()*float64(work))
	}
	if r.IntN(5) == 0 {
		m.firstPercent = 90 * r.Float64()
	}
	return m
}

// play polls the run until it ends or is taken to stand still, and returns when
// that was.
func (m modelRun) play(r *rand.Rand, patience int) (after time.Duration, stalled bool) {
	start := time.Unix(1_000_000, 0)
	p := pacer.New(m.estimate, start)
	for percent := m.firstPercent; ; {
		step := time.Duration(200+r.IntN(1800)) * time.Millisecond
		after += step
		speed := 1 / m.farAway
		if after > m.slowFrom && after < m.slowTo {
			speed /= m.slowness
		}
		active := primrosespar.ActiveRun{Tail: time.Second}
		if m.reportsNoProcessor || after > m.hangsAt+500*time.Millisecond {
			active.Tail = 0
		}
		if after < m.hangsAt {
			percent += 100 * speed * float64(step) / float64(m.work)
		}
		if percent >= 100 {
			return after, false
		}
		active.Percent = math.Floor(percent)
		p.Observe(active, start.Add(after))
		if p.Stalled(start, start.Add(after), patience) {
			return after, true
		}
	}
}

// TestSoundRunsAreNotStopped simulates runs that work all the while. The share
// that is stopped without a cause is to be at most 1%.
func TestSoundRunsAreNotStopped(t *testing.T) {
	const runs = 500
	for _, work := range []time.Duration{2500 * time.Millisecond, 5 * time.Minute, 3 * time.Hour} {
		r := rand.New(rand.NewPCG(1, 2)) //nolint:gosec // a fixed seed
		stopped, lost, total := 0, time.Duration(0), time.Duration(0)
		for range runs {
			after, stalled := drawRun(r, work).play(r, 0)
			total += after
			if stalled {
				stopped++
				lost += after
			}
		}
		t.Logf("tasks of %v: %d of %d sound runs stopped, %.2f%% of the time lost", work, stopped, runs, 100*lost.Seconds()/total.Seconds())
		require.LessOrEqual(t, stopped, runs/100, "tasks of %v", work)
	}
}

// TestRunsThatStandStillAreFound simulates runs that stand still at some time,
// or from their start.
func TestRunsThatStandStillAreFound(t *testing.T) {
	for _, c := range []struct {
		work, median, bound time.Duration
		fromStart, reports  bool
	}{
		{2500 * time.Millisecond, 4500 * time.Millisecond, 7 * time.Second, false, false},
		{2500 * time.Millisecond, 4500 * time.Millisecond, 7 * time.Second, true, false},
		{5 * time.Minute, 40 * time.Second, 5 * time.Minute, false, false},
		{5 * time.Minute, 15 * time.Second, 2 * time.Minute, false, true},
		{5 * time.Minute, 40 * time.Second, 5 * time.Minute, true, false},
		{3 * time.Hour, 20 * time.Minute, 3 * time.Hour, false, false},
		{3 * time.Hour, 6 * time.Minute, time.Hour, false, true},
		{3 * time.Hour, 25 * time.Minute, 3 * time.Hour, true, false},
	} {
		r := rand.New(rand.NewPCG(3, 4)) //nolint:gosec // a fixed seed
		var found []time.Duration
		for range 200 {
			m := drawRun(r, c.work)
			m.hangsAt = 0
			if !c.fromStart {
				m.hangsAt = time.Duration(r.Float64() * (1 - m.firstPercent/100) * float64(c.work))
			}
			m.reportsNoProcessor = !c.reports
			after, stalled := m.play(r, 0)
			if stalled && after > m.hangsAt {
				found = append(found, after-m.hangsAt)
			}
		}
		slices.Sort(found)
		median, late := found[len(found)/2], found[len(found)*99/100]
		t.Logf("tasks of %v, from the start %t, processors reported %t: found after %.1f s in the median, %.1f s at most in 99%%",
			c.work, c.fromStart, c.reports, median.Seconds(), late.Seconds())
		require.LessOrEqual(t, median, c.median)
		require.LessOrEqual(t, late, c.bound)
	}
}

// TestCheckpointIsProgress guards against stopping a run whose percent stays the
// same while it saves its work.
func TestCheckpointIsProgress(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	p := pacer.New(time.Second, now)
	for i := range 20 {
		now = now.Add(time.Second)
		p.Observe(primrosespar.ActiveRun{Percent: 10, Checkpoint: string(rune('a' + i/2))}, now)
		require.False(t, p.Stalled(time.Time{}, now, 0))
	}
}

// TestLeastRemaining guards against an end that is expected too late: the next
// percent may be almost reached, and a resumed run did not begin from nothing.
func TestLeastRemaining(t *testing.T) {
	start := time.Unix(1000, 0)
	p := pacer.New(time.Second, start)
	_, known := p.LeastRemaining(start, start)
	require.False(t, known)
	p.Observe(primrosespar.ActiveRun{Percent: 40}, start.Add(100*time.Millisecond))
	_, known = p.LeastRemaining(start, start)
	require.False(t, known)
	p.Observe(primrosespar.ActiveRun{Percent: 49}, start.Add(5*time.Second))
	left, known := p.LeastRemaining(start, start.Add(6*time.Second))
	require.True(t, known)
	require.Equal(t, 4*time.Second, left)
	left, known = p.LeastRemaining(time.Time{}, start.Add(5*time.Second))
	require.True(t, known)
	require.Equal(t, 24500*time.Millisecond, left)
}
