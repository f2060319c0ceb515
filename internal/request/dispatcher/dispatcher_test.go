package dispatcher_test

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/request/dispatcher"
)

// TestMain fails if goroutines are still running after the tests.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// twoAccounts is a source with a noisy account that has a normal class and a
// quiet account that has an urgent class.
type twoAccounts struct{ contractSource }

func (twoAccounts) View() (primrosespar.ContractView, time.Duration) {
	view, _ := contractSource{}.View()
	noisy := view.Contracts[0]
	quiet := noisy
	quiet.Contract.Account = "quiet"
	quiet.Contract.Classes = append([]primrosespar.ClassTerms(nil), noisy.Contract.Classes...)
	quiet.Contract.Classes[0].Urgent = true
	view.Contracts = append(view.Contracts, quiet)
	return view, 0
}

// newDispatcher returns the dispatcher of a single host. It waits until the
// host may use all 8 slots of the upstream.
func newDispatcher() *dispatcher.Dispatcher {
	d := dispatcher.New(dispatcher.WithHost("h", "p", "i", netip.AddrPort{}), dispatcher.WithClock(clockwork.NewRealClock()), dispatcher.WithContracts(twoAccounts{}))
	d.SetDirectory(primrosespar.Directory{Upstreams: []primrosespar.UpstreamEntry{{Upstream: "u", Place: "p", Slots: slotsPerUpstream}}})
	tick(d, 4)
	return d
}

func tick(d *dispatcher.Dispatcher, seconds int) {
	for range seconds {
		time.Sleep(time.Second)
		d.Tick()
	}
}

// TestCancelledCallsLoseNoSlot guards against a slot that is granted at the
// time its caller cancels and is then never released.
func TestCancelledCallsLoseNoSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDispatcher()
		random := rand.New(rand.NewPCG(1, 1))
		var wg conc.WaitGroup
		for range 200 {
			timeout, hold := time.Duration(random.IntN(40))*time.Millisecond, time.Duration(1+random.IntN(10))*time.Millisecond
			wg.Go(func() {
				for range 20 {
					ctx, cancel := context.WithTimeout(t.Context(), timeout)
					grant, err := d.Acquire(ctx, primrosespar.Call{Account: "x", Class: "c", Deadline: time.Now().Add(50 * time.Millisecond)})
					if err == nil {
						time.Sleep(hold)
						grant.Release(primrosespar.AttemptOutcome{Code: primrosespar.CodeOK, Sent: true, Latency: hold})
						grant.Release(primrosespar.AttemptOutcome{})
					}
					cancel()
				}
			})
		}
		wg.Wait()
		for range slotsPerUpstream {
			_, err := d.Acquire(t.Context(), primrosespar.Call{Account: "x", Class: "c", Deadline: time.Now().Add(time.Second)})
			require.NoError(t, err)
		}
		_, err := d.Acquire(t.Context(), primrosespar.Call{Account: "x", Class: "c", Deadline: time.Now().Add(time.Second)})
		require.Equal(t, primrosespar.CodeDeadlinePassed, primrosespar.CodeOf(err), "a ninth slot")
	})
}

// countLateUnderBurst returns how many of 100 calls of the account miss a
// deadline of 300 ms while another account always has 200 calls waiting.
func countLateUnderBurst(t *testing.T, account primrosespar.Account) int {
	late := 0
	synctest.Test(t, func(t *testing.T) {
		d := newDispatcher()
		ctx, cancel := context.WithCancel(t.Context())
		var wg conc.WaitGroup
		call := func(account primrosespar.Account) error {
			grant, err := d.Acquire(ctx, primrosespar.Call{Account: account, Class: "c", Deadline: time.Now().Add(300 * time.Millisecond)})
			if err != nil {
				time.Sleep(time.Millisecond)
				return err
			}
			time.Sleep(100 * time.Millisecond)
			grant.Release(primrosespar.AttemptOutcome{Code: primrosespar.CodeOK, Sent: true, Latency: 100 * time.Millisecond})
			return nil
		}
		for range 200 {
			wg.Go(func() {
				for ctx.Err() == nil {
					_ = call("x")
				}
			})
		}
		var missed atomic.Int64
		for range 100 {
			d.Tick()
			time.Sleep(100 * time.Millisecond)
			wg.Go(func() {
				began := time.Now()
				if call(account) != nil || time.Since(began) > 300*time.Millisecond {
					missed.Add(1)
				}
			})
		}
		time.Sleep(time.Second)
		late = int(missed.Load())
		cancel()
		wg.Wait()
	})
	return late
}

// TestBurstDelaysNoUrgentClass guards against an account whose burst makes
// calls of another account's urgent class miss their deadline. Calls in the
// same account and class as the burst show the effect without fair sharing.
func TestBurstDelaysNoUrgentClass(t *testing.T) {
	shared, own := countLateUnderBurst(t, "x"), countLateUnderBurst(t, "quiet")
	t.Logf("late of 100: %d in the same queue, %d as an urgent class", shared, own)
	require.Greater(t, shared, 20)
	require.Zero(t, own)
}
