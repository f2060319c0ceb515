package forwarder_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/request/forwarder"
)

// fakeUpstream is a server whose fault is selected by the body of the request.
// It counts the requests of each attempt.
type fakeUpstream struct {
	mu            sync.Mutex
	requestCounts map[string]int
	// usedConns has the remote addresses of connections with earlier requests.
	usedConns map[string]bool
}

func (u *fakeUpstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	id := r.Header.Get("X-Attempt-Id")
	u.mu.Lock()
	u.requestCounts[id]++
	reused := u.usedConns[r.RemoteAddr]
	u.usedConns[r.RemoteAddr] = true
	u.mu.Unlock()
	writeRaw := func(text string) {
		conn, buf, _ := w.(http.Hijacker).Hijack()
		_, _ = buf.WriteString(text)
		_ = buf.Flush()
		_ = conn.Close()
	}
	switch string(body) {
	case "truncated":
		writeRaw("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf")
	case "endless":
		writeRaw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n")
	case "unmarked":
		writeRaw("HTTP/1.1 200 OK\r\n\r\nhalf")
	case "closed":
		writeRaw("")
	case "once":
		if reused {
			writeRaw("")
		}
	case "late":
		<-r.Context().Done()
	case "crossed":
		w.Header().Set("X-Attempt-Id", "another")
	case "busy":
		w.Header().Set("X-Not-Run", "1")
		w.Header().Set("X-Leaving", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	case "error":
		w.WriteHeader(http.StatusInternalServerError)
	case "redirect":
		w.Header().Set("Location", "/run")
		w.WriteHeader(http.StatusTemporaryRedirect)
	case "large":
		_, _ = w.Write(make([]byte, 2000))
	default:
		_, _ = w.Write([]byte("answer to " + id))
	}
}

func startUpstream(t *testing.T) (*fakeUpstream, primrosespar.UpstreamEntry) {
	u := &fakeUpstream{requestCounts: map[string]int{}, usedConns: map[string]bool{}}
	server := httptest.NewServer(u)
	t.Cleanup(server.Close)
	return u, upstreamEntry(server.Listener.Addr())
}

// verifyNoLeak checks for leaked goroutines at the end of the test, after the
// cleanups that are registered later.
func verifyNoLeak(t *testing.T) {
	current := goleak.IgnoreCurrent()
	t.Cleanup(func() { goleak.VerifyNone(t, current) })
}

func upstreamEntry(addr net.Addr) primrosespar.UpstreamEntry {
	return primrosespar.UpstreamEntry{Address: netip.MustParseAddrPort(addr.String())}
}

func newForwarder(t *testing.T) *forwarder.Forwarder {
	f := forwarder.New(forwarder.WithClock(clockwork.NewRealClock()), forwarder.WithMaxAnswer(1000))
	t.Cleanup(f.Close)
	return f
}

// TestAttemptsUnderFaults guards against partial answers, answers that belong
// to other calls, wrong codes and requests that are sent twice.
func TestAttemptsUnderFaults(t *testing.T) {
	verifyNoLeak(t)
	u, target := startUpstream(t)
	f := newForwarder(t)
	codes := map[string]primrosespar.Code{
		"whole": primrosespar.CodeOK, "truncated": primrosespar.CodeAnswerTruncated,
		"endless": primrosespar.CodeAnswerTruncated, "unmarked": primrosespar.CodeAnswerTruncated,
		"closed": primrosespar.CodeOutcomeUnknown, "late": primrosespar.CodeOutcomeUnknown,
		"crossed": primrosespar.CodeOutcomeUnknown, "busy": primrosespar.CodeUpstreamBusy,
		"error": primrosespar.CodeUpstreamError, "redirect": primrosespar.CodeOK,
		"large": primrosespar.CodeAnswerTruncated,
	}
	var group conc.WaitGroup
	for body, code := range codes {
		for i := range 2 * 8 {
			group.Go(func() {
				idempotent := i%2 == 0
				id := fmt.Sprint(body, i)
				result := f.Do(context.Background(), forwarder.Attempt{
					Target: target, ID: primrosespar.AttemptID(id), Idempotent: idempotent,
					Call: primrosespar.Call{Body: []byte(body), Remaining: 2 * time.Second},
				})
				if body == "whole" && string(result.Answer.Body) != "answer to "+id {
					t.Errorf("%s got %q", id, result.Answer.Body)
				}
				if result.Answer.Code != code || !result.Outcome.Sent {
					t.Errorf("%s: %v sent %v", id, result.Answer, result.Outcome.Sent)
				}
				if code != primrosespar.CodeOK && len(result.Answer.Body) > 0 {
					t.Errorf("%s passed on %q", id, result.Answer.Body)
				}
				if result.Outcome.Leaving != (body == "busy") {
					t.Errorf("%s: leaving %v", id, result.Outcome.Leaving)
				}
			})
		}
	}
	group.Wait()
	u.mu.Lock()
	defer u.mu.Unlock()
	for id, n := range u.requestCounts {
		require.Equal(t, 1, n, "attempt %s reached the upstream %d times", id, n)
	}
	require.Len(t, u.requestCounts, 16*len(codes))
}

// TestSingleAttemptIsNeverResent guards against net/http resending a
// non-idempotent request, which it does if the upstream closes a reused
// connection without an answer.
func TestSingleAttemptIsNeverResent(t *testing.T) {
	verifyNoLeak(t)
	u, target := startUpstream(t)
	f := newForwarder(t)
	for _, id := range []primrosespar.AttemptID{"first", "second"} {
		f.Do(context.Background(), forwarder.Attempt{
			Target: target, ID: id, Call: primrosespar.Call{Body: []byte("once"), Key: "k", Remaining: 2 * time.Second},
		})
	}
	f.Close()
	u.mu.Lock()
	defer u.mu.Unlock()
	require.Equal(t, map[string]int{"first": 1, "second": 1}, u.requestCounts)
}

// TestSentAndRanAreAccurate guards against "not run" for a request of which a
// byte may have been sent, and against "unknown" for one that never got a
// connection.
func TestSentAndRanAreAccurate(t *testing.T) {
	_, target := startUpstream(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	refused := upstreamEntry(listener.Addr())
	require.NoError(t, listener.Close())
	cancelledCtx, cancel := context.WithCancel(context.Background())
	cancel()
	cases := map[string]struct {
		ctx       context.Context
		target    primrosespar.UpstreamEntry
		body      string
		remaining time.Duration
		sent      bool
		ran       primrosespar.Ran
		code      primrosespar.Code
	}{
		"dial refused":        {context.Background(), refused, "", time.Second, false, primrosespar.RanNot, primrosespar.CodeNoUpstream},
		"caller disconnected": {cancelledCtx, target, "", time.Second, false, primrosespar.RanNot, primrosespar.CodeCallerGone},
		"deadline passed":     {context.Background(), target, "", -1, false, primrosespar.RanNot, primrosespar.CodeDeadlinePassed},
		"closed unanswered":   {context.Background(), target, "closed", time.Second, true, primrosespar.RanUnknown, primrosespar.CodeOutcomeUnknown},
		"late":                {context.Background(), target, "late", 50 * time.Millisecond, true, primrosespar.RanUnknown, primrosespar.CodeOutcomeUnknown},
		"busy":                {context.Background(), target, "busy", time.Second, true, primrosespar.RanNot, primrosespar.CodeUpstreamBusy},
		"whole":               {context.Background(), target, "", time.Second, true, primrosespar.RanDone, primrosespar.CodeOK},
	}
	f := newForwarder(t)
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			result := f.Do(c.ctx, forwarder.Attempt{Target: c.target, Call: primrosespar.Call{Body: []byte(c.body), Remaining: c.remaining}})
			require.Equal(t, c.sent, result.Outcome.Sent)
			require.Equal(t, c.ran, result.Answer.Ran)
			require.Equal(t, c.code, result.Answer.Code)
			require.Equal(t, c.code, result.Outcome.Code)
		})
	}
}

// TestCallerDisconnectsAfterSend guards against a lost outcome when the caller
// disconnects after a non-idempotent call was sent.
func TestCallerDisconnectsAfterSend(t *testing.T) {
	for idempotent, code := range map[bool]primrosespar.Code{false: primrosespar.CodeOK, true: primrosespar.CodeOutcomeUnknown} {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			cancel()
			select {
			case <-r.Context().Done():
			case <-time.After(50 * time.Millisecond):
			}
		}))
		defer server.Close()
		result := newForwarder(t).Do(ctx, forwarder.Attempt{
			Target: upstreamEntry(server.Listener.Addr()), Idempotent: idempotent, Call: primrosespar.Call{Remaining: 2 * time.Second},
		})
		require.Equal(t, code, result.Answer.Code)
	}
}
