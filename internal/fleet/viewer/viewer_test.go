package viewer_test

import (
	"bytes"
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/stretchr/testify/require"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/fleet/viewer"
	"primrosespar.example/primrosespar/internal/operator/caller"
	"primrosespar.example/primrosespar/internal/operator/printer"
)

// fakeFleet is a primrosespar.FleetViewer that answers as the holder if leading
// is set, else as another host.
type fakeFleet struct{ leading bool }

// Status implements primrosespar.FleetViewer.
func (f fakeFleet) Status(context.Context) primrosespar.FleetStatus {
	s := primrosespar.FleetStatus{Host: "b", Ready: true, Holder: "a", Token: 3, CatalogVersion: 7, CatalogAge: time.Second}
	if f.leading {
		s.State = &primrosespar.FleetState{Workers: 4, Waiting: map[primrosespar.Queue]int{"q": 2}}
	}
	return s
}

// Explain implements primrosespar.FleetViewer.
func (f fakeFleet) Explain(_ context.Context, id primrosespar.JobID) (primrosespar.JobView, error) {
	if !f.leading {
		return primrosespar.JobView{}, primrosespar.Fail(primrosespar.CodeNotHolder, "host a schedules the fleet")
	}
	return primrosespar.JobView{Job: id, State: primrosespar.JobQueued, Steps: []primrosespar.StepView{{Tasks: 1, Reason: "no room"}}}, nil
}

// TestViewsAreReadableByCommands guards against responses that the operator
// commands cannot decode, and against a host that answers in place of the
// holder.
func TestViewsAreReadableByCommands(t *testing.T) {
	for _, leading := range []bool{false, true} {
		router := httprouter.New()
		viewer.New(fakeFleet{leading: leading}).Register(router)
		server := httptest.NewServer(router)
		t.Cleanup(server.Close)
		client := caller.New(caller.WithServer(server.URL))
		status, err := client.Fleet(t.Context())
		require.NoError(t, err)
		require.Equal(t, fakeFleet{leading: leading}.Status(t.Context()), status)
		view, err := client.FleetJob(t.Context(), "a1")
		if !leading {
			require.Equal(t, primrosespar.CodeNotHolder, primrosespar.CodeOf(err))
			require.ErrorContains(t, err, "host a schedules the fleet")
			continue
		}
		require.NoError(t, err)
		require.Equal(t, "no room", view.Steps[0].Reason)
		var out bytes.Buffer
		require.NoError(t, printer.New(&out, printer.Tables).FleetJob(view))
		require.NoError(t, printer.New(&out, printer.Tables).Fleet(status))
		require.Contains(t, out.String(), "no room")
	}
}
