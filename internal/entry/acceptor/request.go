package acceptor

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/entry/budgeter"
)

// bodyCost is the memory that a byte of a body takes while its buffer grows.
const bodyCost = 2

// contextKey is the key of the connection in the context of a request.
type contextKey struct{}

// Configure makes the server use the Acceptor: it learns when requests begin and
// end, and the bodies that the handler reads are charged.
func (a *Acceptor) Configure(server *http.Server) {
	a.http = true
	next := server.Handler
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { a.serve(next, w, r) })
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, contextKey{}, unwrap(c))
	}
	server.ConnState = func(c net.Conn, state http.ConnState) {
		if own := unwrap(c); own != nil && state == http.StateIdle {
			own.enter(budgeter.Idle)
		}
	}
}

// unwrap returns the connection of the Acceptor below the one that a server
// uses, or nil.
func unwrap(c net.Conn) *conn {
	encrypted, ok := c.(interface{ NetConn() net.Conn })
	if ok {
		c = encrypted.NetConn()
	}
	own, _ := c.(*conn)
	if own != nil && ok {
		own.encrypted.Store(true)
	}
	return own
}

// serve serves one request within the budget.
func (a *Acceptor) serve(next http.Handler, w http.ResponseWriter, r *http.Request) {
	c, _ := r.Context().Value(contextKey{}).(*conn)
	if c == nil {
		next.ServeHTTP(w, r)
		return
	}
	request := &request{conn: c, body: r.Body, header: w.Header(), whole: r.ContentLength == 0}
	defer request.end()
	if !request.whole {
		if !c.enter(budgeter.Body) {
			panic(http.ErrAbortHandler)
		}
		r.Body = request
		next.ServeHTTP(w, r)
		return
	}
	if !c.enter(budgeter.Queue) {
		// The client was refused or disconnected.
		panic(http.ErrAbortHandler)
	}
	if failure := request.begin(); failure != nil {
		refuse(w, failure)
		return
	}
	next.ServeHTTP(w, r)
}

// refuse answers a request whose handler does not run.
func refuse(w http.ResponseWriter, failure *primrosespar.Failure) {
	w.Header().Set("Connection", "close")
	w.Header().Set("Retry-After", strconv.Itoa(retryAfterSeconds))
	w.Header().Set("X-Result-Code", strconv.Itoa(int(failure.Code)))
	w.WriteHeader(failure.Code.Info().HTTP)
}

// request is a request that is being served and its body.
type request struct {
	conn   *conn
	body   io.ReadCloser
	header http.Header

	// whole is set once the request has arrived.
	whole bool
	// working and decoding are set while the request has a place among the
	// requests at work and those that are being decoded.
	working  bool
	decoding bool
	// charged is the memory that is charged for the body.
	charged int64
}

// Read implements io.Reader. The end of the body comes once the request may be
// worked on.
func (r *request) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	if n > 0 && !r.charge(int64(n)*bodyCost) {
		r.conn.cut(budgeter.Body, budgeter.ShortOfMemory)
	}
	if reason := r.conn.cutReason(); reason != budgeter.None {
		return 0, r.refusal(reason)
	}
	if errors.Is(err, io.EOF) && !r.whole {
		r.whole = true
		// The buffer of the body does not grow any more.
		r.charge(-r.charged / bodyCost)
		if !r.conn.enter(budgeter.Queue) {
			return 0, r.refusal(budgeter.ShortOfMemory)
		}
		if failure := r.begin(); failure != nil {
			return 0, failure
		}
	}
	return n, err
}

// Close implements io.Closer. The handler calls it once it has decoded the body.
func (r *request) Close() error {
	if r.charged > 0 {
		r.charge(-r.charged)
	}
	if r.decoding {
		r.conn.acceptor.decoders.release()
		r.decoding = false
	}
	return nil
}

// charge charges n bytes to the connection and reports whether there was room.
func (r *request) charge(n int64) bool {
	r.charged += n
	a := r.conn.acceptor
	cuts, ok := a.budget.Charge(r.conn.id, n, a.clock.Now())
	a.cut(cuts)
	return ok
}

// begin waits until the request may be worked on.
func (r *request) begin() *primrosespar.Failure {
	a, c := r.conn.acceptor, r.conn
	if !a.requests.acquire(a.clock, c.cutOff) {
		return r.refusal(c.cutReason())
	}
	r.working = true
	if r.charged > 0 {
		if !a.decoders.acquire(a.clock, c.cutOff) {
			return r.refusal(c.cutReason())
		}
		r.decoding = true
	}
	if !c.enter(budgeter.Work) {
		return r.refusal(budgeter.ShortOfMemory)
	}
	return nil
}

// end releases what the request has. A body that the handler has not read is
// still discarded by the server.
func (r *request) end() {
	_ = r.Close()
	if r.working {
		r.conn.acceptor.requests.release()
	}
	// The answer to a request at work may not have left the buffers of the server
	// yet, so that the connection stays at work until it is written.
	if !r.whole {
		r.conn.enter(budgeter.Drain)
	}
}

// refusal returns the failure of a request that is refused for the reason.
func (r *request) refusal(reason budgeter.Reason) *primrosespar.Failure {
	r.header.Set("Connection", "close")
	if reason == budgeter.SlowBody {
		return primrosespar.Fail(primrosespar.CodeTooSlow, "the body did not arrive in time")
	}
	return primrosespar.Fail(primrosespar.CodeHostBusy, "the host is short of memory or has too many requests at work")
}
