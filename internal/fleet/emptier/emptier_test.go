package emptier_test

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/stretchr/testify/require"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/entry/authorizer"
	"primrosespar.example/primrosespar/internal/fleet/emptier"
	"primrosespar.example/primrosespar/internal/operator/caller"
)

// fakeService is a primrosespar.EvacuationService that records its calls.
type fakeService struct{ calls []string }

// Evacuate implements primrosespar.EvacuationService.
func (f *fakeService) Evacuate(_ context.Context, place primrosespar.Place) (primrosespar.Evacuation, error) {
	f.calls = append(f.calls, "evacuate "+string(place))
	return primrosespar.Evacuation{Place: place, Own: true, Version: 4, RequestedAt: time.UnixMilli(5).UTC()}, nil
}

// Restore implements primrosespar.EvacuationService.
func (f *fakeService) Restore(_ context.Context, place primrosespar.Place) error {
	f.calls = append(f.calls, "restore "+string(place))
	return primrosespar.FailUnknown(primrosespar.CodeStoreUnknown, "no response from the store")
}

// TestOnlyOperatorsEmptyPlaces guards against a call without the right to it that
// has effect, and against answers that the commands cannot decode.
func TestOnlyOperatorsEmptyPlaces(t *testing.T) {
	accepted := authorizer.New(
		authorizer.Token{Secret: "operator-secret", Role: authorizer.RoleOperator},
		authorizer.Token{Secret: "caller-secret", Role: authorizer.RoleCaller, Account: "x"},
	)
	for _, c := range []struct {
		name, token string
		authorizer  *authorizer.Authorizer
		code        primrosespar.Code
	}{
		{"operator", "operator-secret", accepted, primrosespar.CodeOK},
		{"account", "caller-secret", accepted, primrosespar.CodeForbidden},
		{"unknown token", "other-secret", accepted, primrosespar.CodeUnauthorized},
		{"no token", "", accepted, primrosespar.CodeUnauthorized},
		{"host without operators", "operator-secret", nil, primrosespar.CodeForbidden},
	} {
		t.Run(c.name, func(t *testing.T) {
			service, router := &fakeService{}, httprouter.New()
			emptier.New(service, c.authorizer).Register(router)
			server := httptest.NewServer(router)
			t.Cleanup(server.Close)
			client := caller.New(caller.WithServer(server.URL), caller.WithToken(c.token))
			evacuation, err := client.Evacuate(t.Context(), "addis-a")
			require.Equal(t, c.code, primrosespar.CodeOf(err))
			_, restoreErr := client.Restore(t.Context(), "addis-a")
			if c.code != primrosespar.CodeOK {
				require.Equal(t, c.code, primrosespar.CodeOf(restoreErr))
				require.Empty(t, service.calls)
				return
			}
			require.Equal(t, primrosespar.Evacuation{Place: "addis-a", Own: true, Version: 4, RequestedAt: time.UnixMilli(5).UTC()}, evacuation)
			require.Equal(t, []string{"evacuate addis-a", "restore addis-a"}, service.calls)
			var failure *primrosespar.Failure
			require.ErrorAs(t, restoreErr, &failure)
			require.Equal(t, primrosespar.RanUnknown, failure.Ran, "the request may have been taken back")
		})
	}
}
