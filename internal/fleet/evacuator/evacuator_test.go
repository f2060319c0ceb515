package evacuator_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/fleet/evacuator"
)

const bound = 5 * time.Second

// at returns the moment d after a fixed one.
func at(d time.Duration) primrosespar.Instant {
	return primrosespar.Instant{At: time.Unix(1000, 0).Add(d), Elapsed: d}
}

// request returns the requests of one place.
func request(place primrosespar.Place, version primrosespar.Version) []primrosespar.Evacuation {
	return []primrosespar.Evacuation{{Place: place, Version: version}}
}

// TestStartsNeedARecentRead guards against starts on outdated knowledge: of a new
// holder, in an outage of the store, and after a suspension, in which the clock
// may stand still.
func TestStartsNeedARecentRead(t *testing.T) {
	e := evacuator.New(bound)
	require.Error(t, e.CheckStart(at(0)), "nothing was read yet")
	e.Set(nil, at(0))
	require.NoError(t, e.CheckStart(at(e.MaxAge())))
	require.Equal(t, primrosespar.CodeWorkerLate, primrosespar.CodeOf(e.CheckStart(at(e.MaxAge()+1))))
	suspended := at(time.Second)
	suspended.Elapsed = time.Minute
	require.Error(t, e.CheckStart(suspended))
	require.Less(t, 2*e.ReadInterval(), e.MaxAge(), "one lost answer holds up no start")
	require.Less(t, e.MaxAge()+time.Second, bound, "there is time for the order itself")
}

// TestPlacesFollowTheLastRead guards against an answer that arrives late and
// reopens a place, and against changes that are not logged.
func TestPlacesFollowTheLastRead(t *testing.T) {
	e := evacuator.New(bound)
	begun := e.Set(request("a", 1), at(2*time.Second))
	require.Equal(t, []evacuator.Change{{Evacuation: primrosespar.Evacuation{
		Place: "a", Version: 1, RequestedAt: at(2 * time.Second).At,
	}, Begun: true}}, begun)
	require.False(t, e.Accepts("a"))
	require.True(t, e.Accepts("b"))
	require.Empty(t, e.Set(nil, at(time.Second)), "an earlier read")
	require.False(t, e.Accepts("a"))
	require.Empty(t, e.Set(request("a", 1), at(3*time.Second)))
	require.Equal(t, at(2*time.Second).At, e.Evacuations()[0].RequestedAt, "when it was first read")
	require.Len(t, e.Set(request("a", 2), at(4*time.Second)), 1, "taken back and asked for again")
	require.Len(t, e.Set(request("b", 3), at(5*time.Second)), 2)
	require.True(t, e.Accepts("a"))
	require.False(t, e.Accepts("b"))
}

// TestWithoutEvacuationsAllIsAccepted guards against installations without such
// requests on which nothing would start.
func TestWithoutEvacuationsAllIsAccepted(t *testing.T) {
	var none *evacuator.Evacuator
	require.True(t, none.Accepts("a"))
	require.NoError(t, none.CheckStart(at(0)))
}

// TestPlaceWithTwoRequestsStaysClosed guards against a place that gets work after
// one of two operators has taken back his request.
func TestPlaceWithTwoRequestsStaysClosed(t *testing.T) {
	e := evacuator.New(bound)
	own := primrosespar.Evacuation{Place: "a", Own: true, Version: 2, RequestedAt: time.Unix(9, 0)}
	require.Len(t, e.Set(append(request("a", 1), own), at(0)), 2)
	require.Len(t, e.Evacuations(), 2)
	changes := e.Set([]primrosespar.Evacuation{own}, at(1))
	require.Len(t, changes, 1)
	require.False(t, changes[0].Begun)
	require.False(t, e.Accepts("a"))
	require.Equal(t, []primrosespar.Evacuation{own}, e.Evacuations())
	e.Set(nil, at(2))
	require.True(t, e.Accepts("a"))
}

// TestNoStartLeavesForAnEmptiedPlace guards against orders that wait in a queue
// when a place is emptied.
func TestNoStartLeavesForAnEmptiedPlace(t *testing.T) {
	e := evacuator.New(bound)
	e.Set(request("a", 1), at(0))
	require.Equal(t, primrosespar.CodeWorkerLate, primrosespar.CodeOf(e.CheckStartAt("a", at(0))))
	require.NoError(t, e.CheckStartAt("b", at(0)))
	require.Error(t, e.CheckStartAt("b", at(e.MaxAge()+1)))
}
