package messenger_test

import (
	"context"
	"net"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/document/decoder"
	"primrosespar.example/primrosespar/internal/entry/configurer"
	"primrosespar.example/primrosespar/internal/member/messenger"
)

// TestMain guards against connections and goroutines that outlive the tests.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeHandler replies like a host; execute handles the forwarded calls.
type fakeHandler struct {
	execute func(ctx context.Context, call primrosespar.Call) (primrosespar.Answer, error)
}

func (fakeHandler) HandleHeartbeat(_ context.Context, heartbeat primrosespar.Heartbeat) (primrosespar.Heartbeat, error) {
	heartbeat.Host = "answer to " + heartbeat.Host
	return heartbeat, nil
}

func (h fakeHandler) HandleExecute(ctx context.Context, call primrosespar.Call) (primrosespar.Answer, error) {
	return h.execute(ctx, call)
}

func (fakeHandler) HandleNotify(_ context.Context, place primrosespar.Place, _ primrosespar.JobID) error {
	return primrosespar.Fail(primrosespar.CodeNotHolder, "place %s", place)
}

// startServer starts a server on the address and returns the address that it
// listens on and a function that stops it.
func startServer(t *testing.T, address string, h fakeHandler, opts ...messenger.Option) (netip.AddrPort, func()) {
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", address)
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	wg.Go(func() {
		_ = messenger.Serve(ctx, listener, h, append(opts, messenger.WithClock(clockwork.NewRealClock()))...)
	})
	return netip.MustParseAddrPort(listener.Addr().String()), func() { cancel(); wg.Wait() }
}

// newClient returns a Messenger that is closed at the end of the test.
func newClient(t *testing.T) *messenger.Messenger {
	m := messenger.New(messenger.WithClock(clockwork.NewRealClock()), messenger.WithTimeout(5*time.Second))
	t.Cleanup(func() { _ = m.Close() })
	return m
}

// TestMessagesRoundTrip guards against fields and result codes that are lost in
// transmission, and against a deadline that depends on the sender's clock.
func TestMessagesRoundTrip(t *testing.T) {
	received := make(chan primrosespar.Call, 1)
	to, stop := startServer(t, "127.0.0.1:0", fakeHandler{func(_ context.Context, call primrosespar.Call) (primrosespar.Answer, error) {
		received <- call
		return primrosespar.Answer{Status: 201, Body: []byte("done")}, nil
	}})
	defer stop()
	m := newClient(t)
	heartbeat := primrosespar.Heartbeat{
		Host: "h", Place: "p", Incarnation: "i", Address: to, Revision: 7, ViewAge: time.Second, Draining: true,
		Usage: []primrosespar.SlotUsage{{Upstream: "u", Used: 1, Wanted: 2, Lent: 3, Term: time.Second}}, Leaving: []primrosespar.Upstream{"l"},
	}
	reply, err := m.Heartbeat(t.Context(), to, heartbeat)
	require.NoError(t, err)
	heartbeat.Host = "answer to h"
	require.Equal(t, heartbeat, reply)
	require.Equal(t, primrosespar.CodeNotHolder, primrosespar.CodeOf(m.Notify(t.Context(), to, "p", "j")))
	done, err := m.Execute(t.Context(), to, primrosespar.Call{ID: "r", Body: []byte("b"), Deadline: time.Now().Add(time.Minute)})
	require.NoError(t, err)
	require.Equal(t, "done", string(done.Body))
	call := <-received
	require.True(t, call.Remaining > 0 && call.Remaining <= time.Minute && !call.Deadline.IsZero())
}

// TestReconnectsToRestartedPeer guards against a peer that stays unreachable
// after its process was restarted.
func TestReconnectsToRestartedPeer(t *testing.T) {
	to, stop := startServer(t, "127.0.0.1:0", fakeHandler{})
	m := newClient(t)
	_, err := m.Heartbeat(t.Context(), to, primrosespar.Heartbeat{Host: "h"})
	require.NoError(t, err)
	stop()
	_, err = m.Heartbeat(t.Context(), to, primrosespar.Heartbeat{Host: "h"})
	require.Equal(t, primrosespar.CodePeerUnavailable, primrosespar.CodeOf(err))
	_, stop = startServer(t, to.String(), fakeHandler{})
	defer stop()
	_, err = m.Heartbeat(t.Context(), to, primrosespar.Heartbeat{Host: "h"})
	require.NoError(t, err)
}

// TestCallsDelayNoHeartbeat guards against a forwarded call that delays
// heartbeats because it uses the only connection, so that the host counts as
// dead.
func TestCallsDelayNoHeartbeat(t *testing.T) {
	entered, release := make(chan struct{}), make(chan struct{})
	to, stop := startServer(t, "127.0.0.1:0", fakeHandler{func(context.Context, primrosespar.Call) (primrosespar.Answer, error) {
		close(entered)
		<-release
		return primrosespar.Answer{}, nil
	}})
	defer stop()
	m := newClient(t)
	var wg conc.WaitGroup
	wg.Go(func() {
		_, err := m.Execute(context.Background(), to, primrosespar.Call{Remaining: time.Minute})
		require.NoError(t, err)
	})
	<-entered
	_, err := m.Heartbeat(t.Context(), to, primrosespar.Heartbeat{Host: "h"})
	close(release)
	wg.Wait()
	require.NoError(t, err)
}

// TestFailedCallsReportWhetherTheyRan guards against "not run" for a call that
// may have run, and against "unknown" for one of which no byte was sent.
func TestFailedCallsReportWhetherTheyRan(t *testing.T) {
	to, stop := startServer(t, "127.0.0.1:0", fakeHandler{func(ctx context.Context, _ primrosespar.Call) (primrosespar.Answer, error) {
		<-ctx.Done()
		return primrosespar.Answer{}, ctx.Err()
	}})
	m := newClient(t)
	_, err := m.Execute(t.Context(), to, primrosespar.Call{Remaining: 50 * time.Millisecond})
	var failure *primrosespar.Failure
	require.ErrorAs(t, err, &failure)
	require.Equal(t, primrosespar.RanUnknown, failure.Ran)
	_, err = m.Execute(t.Context(), to, primrosespar.Call{Remaining: time.Second, Body: make([]byte, 3<<20)})
	require.ErrorAs(t, err, &failure)
	require.Equal(t, primrosespar.RanNot, failure.Ran)
	stop()
	_, err = m.Execute(t.Context(), to, primrosespar.Call{Remaining: time.Second})
	require.ErrorAs(t, err, &failure)
	require.Equal(t, primrosespar.RanNot, failure.Ran)
}

// TestLargestAnswerFitsInMessage guards against a limit of answers that is
// higher than that of messages. The answer of a call that ran would then be
// lost between two hosts.
func TestLargestAnswerFitsInMessage(t *testing.T) {
	fields := configurer.Fields()
	limits := fields[slices.IndexFunc(fields, func(f decoder.Field) bool { return f.Key == "limits" })].Fields
	maxAnswer := int(limits[slices.IndexFunc(limits, func(f decoder.Field) bool { return f.Key == "answer_bytes" })].Max)
	to, stop := startServer(t, "127.0.0.1:0", fakeHandler{func(context.Context, primrosespar.Call) (primrosespar.Answer, error) {
		return primrosespar.Answer{Status: 200, ContentType: strings.Repeat("c", 16<<10), Body: make([]byte, maxAnswer)}, nil
	}})
	defer stop()
	answer, err := newClient(t).Execute(t.Context(), to, primrosespar.Call{ID: "r", Remaining: time.Minute})
	require.NoError(t, err)
	require.Len(t, answer.Body, maxAnswer)
}

// TestPanicInAHandlerFailsItsCall guards against a call that ends the process
// of the peer. The work may have run by then.
func TestPanicInAHandlerFailsItsCall(t *testing.T) {
	panicked := make(chan string, 1)
	address, stop := startServer(t, "127.0.0.1:0", fakeHandler{execute: func(context.Context, primrosespar.Call) (primrosespar.Answer, error) {
		panic("malformed call")
	}}, messenger.WithOnPanic(func(method string, _ error) { panicked <- method }))
	defer stop()
	client := newClient(t)
	_, err := client.Execute(t.Context(), address, primrosespar.Call{Remaining: 5 * time.Second})
	var failure *primrosespar.Failure
	require.ErrorAs(t, err, &failure)
	require.NotEqual(t, primrosespar.RanNot, failure.Ran)
	require.Contains(t, <-panicked, "Execute")
	_, err = client.Heartbeat(t.Context(), address, primrosespar.Heartbeat{Host: "a"})
	require.NoError(t, err)
}
