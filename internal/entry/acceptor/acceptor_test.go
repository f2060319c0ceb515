package acceptor_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/entry/acceptor"
	"primrosespar.example/primrosespar/internal/entry/budgeter"
)

// Limits of the tests, which the operator's examples have.
const (
	headBytes = 16 << 10
	bodyBytes = 256 << 10
)

// pipes is a listener whose connections are in memory.
type pipes struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func newPipes() *pipes { return &pipes{conns: make(chan net.Conn), closed: make(chan struct{})} }

func (p *pipes) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}

func (p *pipes) Close() error {
	p.once.Do(func() { close(p.closed) })
	return nil
}

func (p *pipes) Addr() net.Addr { return &net.TCPAddr{} }

// dial returns the client's end of a new connection.
func (p *pipes) dial() net.Conn {
	client, server := net.Pipe()
	p.conns <- server
	return client
}

// host is a server behind an Acceptor, whose handler reads bodies and counts the
// requests that it has served.
type host struct {
	*pipes
	clock  *clockwork.FakeClock
	budget *budgeter.Budgeter

	mu     sync.Mutex
	limits budgeter.Limits
	served int
	cuts   map[budgeter.Reason]int
}

func newHost(t testing.TB, opts ...acceptor.Option) *host {
	h := &host{pipes: newPipes(), clock: clockwork.NewFakeClockAt(time.Now()), cuts: map[budgeter.Reason]int{}, limits: budgeter.Limits{
		Connections: 16, Bytes: 2 << 20, HeadBytes: headBytes,
		HeadTimeout: 3 * time.Second, BodyTimeout: 10 * time.Second, IdleTimeout: 15 * time.Second,
	}}
	h.budget = budgeter.New(h.limits)
	server := &http.Server{Handler: http.HandlerFunc(h.handle), ReadHeaderTimeout: time.Minute}
	a := acceptor.New(h.pipes, h.budget, h.clock, append(opts, acceptor.WithLimits(h.currentLimits), acceptor.WithOnCuts(h.note))...)
	a.Configure(server)
	ctx, cancel := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	tasks.Go(func() { acceptor.Run(ctx, h.clock, func() []*acceptor.Acceptor { return []*acceptor.Acceptor{a} }) })
	tasks.Go(func() { _ = server.Serve(a) })
	t.Cleanup(func() {
		cancel()
		_ = server.Close()
		tasks.Wait()
	})
	return h
}

// handle reads the body like the handlers of the hosts.
func (h *host) handle(w http.ResponseWriter, r *http.Request) {
	_, err := io.ReadAll(http.MaxBytesReader(w, r.Body, bodyBytes))
	_ = r.Body.Close()
	if err != nil {
		w.WriteHeader(primrosespar.CodeOf(err).Info().HTTP)
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.served++
}

func (h *host) currentLimits() budgeter.Limits {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.limits
}

func (h *host) note(cuts map[budgeter.Reason]int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for reason, n := range cuts {
		h.cuts[reason] += n
	}
}

// answer returns the status of the next answer, 0 if there is none.
func answer(c net.Conn) int {
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// send writes texts, which the host may refuse to read to their end.
func send(c net.Conn, texts ...string) {
	go func() {
		for _, text := range texts {
			if _, err := io.WriteString(c, text); err != nil {
				return
			}
		}
	}()
}

// post returns a request with the fields and an empty line.
func post(fields string) string { return "POST / HTTP/1.1\r\nHost: h\r\n" + fields + "\r\n" }

// TestLargestRequestIsServed checks that a request with a head and a body of the
// largest legal size is served, whole and in chunks.
func TestLargestRequestIsServed(t *testing.T) {
	h := newHost(t, acceptor.WithRequests(1), acceptor.WithDecoders(1))
	body := strings.Repeat("x", bodyBytes)
	filler := "X-Filler: " + strings.Repeat("x", headBytes-200) + "\r\n"
	for _, request := range []string{
		post(filler+fmt.Sprintf("Content-Length: %d\r\n", bodyBytes)) + body,
		post(filler+"Transfer-Encoding: chunked\r\n") + strings.Repeat("1\r\nx\r\n", bodyBytes) + "0\r\n\r\n",
	} {
		c := h.dial()
		send(c, request)
		require.Equal(t, http.StatusOK, answer(c))
		require.NoError(t, c.Close())
	}
}

// TestRefusedRequestHasNotRun checks the status of each refusal, and that the
// handler has not served the request.
func TestRefusedRequestHasNotRun(t *testing.T) {
	longHead := "POST / HTTP/1.1\r\nHost: h\r\nX-Filler: " + strings.Repeat("x", headBytes+8192)
	for name, test := range map[string]struct {
		request string
		wait    time.Duration
		status  int
	}{
		"head without end": {longHead, 0, http.StatusRequestHeaderFieldsTooLarge},
		"slow head":        {"POST / HTTP/1.1\r\nHo", 4 * time.Second, http.StatusRequestTimeout},
		"slow body":        {post("Content-Length: 10\r\n") + "x", 11 * time.Second, http.StatusRequestTimeout},
		"slow chunk":       {post("Transfer-Encoding: chunked\r\n") + "5\r\nx", 11 * time.Second, http.StatusRequestTimeout},
		"silent":           {"", 16 * time.Second, 0},
		"empty lines":      {strings.Repeat("\r\n", 8), 0, http.StatusBadRequest},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHost(t)
			// A refusal is given up a millisecond after the time of the host, and a
			// pipe has no buffer that takes it before the client reads.
			h.clock.Advance(time.Second)
			c := h.dial()
			send(c, test.request)
			got := make(chan int, 1)
			go func() { got <- answer(c) }()
			if test.wait > 0 {
				h.pass(t, test.wait, got)
			}
			require.Equal(t, test.status, <-got)
			require.Zero(t, h.served)
		})
	}
}

// pass lets time pass until there is an answer.
func (h *host) pass(t *testing.T, wait time.Duration, got chan int) {
	const step = 500 * time.Millisecond
	for passed := time.Duration(0); passed < 2*wait && len(got) == 0; passed += step {
		require.NoError(t, h.clock.BlockUntilContext(t.Context(), 1))
		time.Sleep(time.Millisecond)
		h.clock.Advance(step)
	}
}

// TestLimitsChangeWhileRunning checks that a limit of a later configuration
// holds for the next request.
func TestLimitsChangeWhileRunning(t *testing.T) {
	h := newHost(t)
	request := post("Content-Length: 0\r\nX-Filler: " + strings.Repeat("x", headBytes) + "\r\n")
	c := h.dial()
	send(c, request)
	require.Equal(t, http.StatusOK, answer(c))
	h.mu.Lock()
	h.limits.HeadBytes = 1024
	h.mu.Unlock()
	require.NoError(t, h.clock.BlockUntilContext(t.Context(), 1))
	h.clock.Advance(time.Second)
	require.Eventually(t, func() bool {
		c := h.dial()
		defer func() { _ = c.Close() }()
		send(c, request)
		return answer(c) == http.StatusRequestHeaderFieldsTooLarge
	}, 5*time.Second, 10*time.Millisecond)
}

// TestOrdinaryRequestBesideStalledBodies checks that a request is served while
// more connections than the budget has room for stop just short of the end of
// their bodies.
func TestOrdinaryRequestBesideStalledBodies(t *testing.T) {
	h := newHost(t, acceptor.WithRequests(2), acceptor.WithDecoders(1))
	for range 100 {
		send(h.dial(), post(fmt.Sprintf("Content-Length: %d\r\n", bodyBytes)), strings.Repeat("x", bodyBytes-1))
	}
	require.Eventually(t, func() bool {
		c := h.dial()
		defer func() { _ = c.Close() }()
		send(c, post("Content-Length: 2\r\n")+"{}")
		return answer(c) == http.StatusOK
	}, 10*time.Second, time.Millisecond)
	connections, bytes := h.budget.Usage()
	require.LessOrEqual(t, connections, h.limits.Connections)
	require.LessOrEqual(t, bytes, h.limits.Bytes)
}

// FuzzConnection sends odd bytes to the port. The host must stay within its
// budget, close the connection and serve the next request.
func FuzzConnection(f *testing.F) {
	for _, seed := range []string{
		"", "\r\n\r\n\r\n", "GET / HTTP/1.1\r\nHost: h\r\n\r\n", post("Content-Length: 2\r\n") + "{}",
		post("Content-Length: 9\r\n") + "{", post("Transfer-Encoding: chunked\r\n") + "1;a=b\r\nx\r\n0\r\nT: x\r\n\r\n",
		post("Transfer-Encoding: chunked\r\n") + "ffffffffffffffff\r\n", post("Content-Length: -1\r\n"),
		post("Content-Length: 1\r\nContent-Length: 2\r\n") + "ab", "GET / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n\r\n",
		strings.Repeat("GET / HTTP/1.1\r\nHost: h\r\n\r\n", 3), "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", "\x16\x03\x01\x02\x00\x01",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		h := newHost(t, acceptor.WithRequests(1), acceptor.WithDecoders(1))
		odd := h.dial()
		go func() { _, _ = io.Copy(io.Discard, odd) }()
		_ = odd.SetWriteDeadline(time.Now().Add(10 * time.Second))
		_, _ = odd.Write(data)
		c := h.dial()
		send(c, post("Content-Length: 2\r\n")+"{}")
		require.Equal(t, http.StatusOK, answer(c))
		_, bytes := h.budget.Usage()
		require.LessOrEqual(t, bytes, h.limits.Bytes)
		require.NoError(t, odd.Close())
		require.NoError(t, c.Close())
		require.Eventually(t, func() bool { connections, _ := h.budget.Usage(); return connections == 0 }, 10*time.Second, time.Millisecond)
	})
}
