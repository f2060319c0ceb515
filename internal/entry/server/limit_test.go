package server_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/entry/authorizer"
	"primrosespar.example/primrosespar/internal/entry/meter"
	"primrosespar.example/primrosespar/internal/entry/server"
	"primrosespar.example/primrosespar/internal/operator/caller"
)

// currentContracts is a contract source whose view is always current.
type currentContracts struct{ view primrosespar.ContractView }

func (c currentContracts) View() (primrosespar.ContractView, time.Duration) { return c.view, 0 }
func (c currentContracts) Current() bool                                    { return true }

// bubbleClock is the clock of the synctest bubble.
type bubbleClock struct{ primrosespar.Clock }

func (bubbleClock) Now() time.Time                  { return time.Now() }
func (bubbleClock) Since(t time.Time) time.Duration { return time.Since(t) }

// blockingRouter blocks each call until it receives from release.
type blockingRouter struct {
	served  int
	release chan struct{}
}

func (r *blockingRouter) Serve(context.Context, primrosespar.Call) primrosespar.Answer {
	<-r.release
	r.served++
	return primrosespar.Answer{Code: primrosespar.CodeOK, Ran: primrosespar.RanDone, Status: http.StatusOK}
}

// TestRequestLimit guards against a host that accepts more requests than its
// limit, against a refusal that does not say that nothing ran, and against
// operators that a burst of callers locks out.
func TestRequestLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		router := &blockingRouter{release: make(chan struct{}, 1)}
		s := server.New(server.Parts{
			Clock: bubbleClock{}, Router: router, Contracts: currentContracts{}, Meter: meter.New(),
			Authorizer: authorizer.New(authorizer.Token{Secret: "operator", Role: authorizer.RoleOperator}),
			NewID:      func() primrosespar.RequestID { return "r-1" },
			Status:     func() caller.StatusAnswer { return caller.StatusAnswer{} },
		}, server.WithMaxCallerRequests(1))
		send := func(method, path string) *httptest.ResponseRecorder {
			r := httptest.NewRequestWithContext(t.Context(), method, path, strings.NewReader("x"))
			r.Header.Set("Authorization", "Bearer operator")
			w := httptest.NewRecorder()
			s.Operators().ServeHTTP(w, r)
			return w
		}
		var wg conc.WaitGroup
		wg.Go(func() { send(http.MethodPost, "/v1/requests/booking") })
		synctest.Wait()

		refused := send(http.MethodPost, "/v1/requests/booking")
		require.Equal(t, http.StatusServiceUnavailable, refused.Code)
		var body caller.Refusal
		require.NoError(t, json.Unmarshal(refused.Body.Bytes(), &body))
		require.Equal(t, primrosespar.CodeQueueFull, body.Code)
		require.Equal(t, primrosespar.RanNot, body.Ran)
		require.Contains(t, body.Message, "limit of 1 requests")
		require.Equal(t, http.StatusOK, send(http.MethodGet, "/v1/status").Code)

		router.release <- struct{}{}
		wg.Wait()
		require.Equal(t, 1, router.served, "the refused request ran")
		router.release <- struct{}{}
		require.Equal(t, http.StatusOK, send(http.MethodPost, "/v1/requests/booking").Code)
	})
}
