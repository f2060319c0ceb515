package acceptor

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"primrosespar.example/primrosespar/internal/entry/budgeter"
)

// retryAfterSeconds is the delay that a refused client is told to wait.
const retryAfterSeconds = 1

// conn is an accepted connection.
type conn struct {
	net.Conn
	acceptor *Acceptor
	id       budgeter.ID
	// encrypted connections get no answer outside their protocol.
	encrypted atomic.Bool

	mu sync.Mutex
	// reason is why the connection was cut, and cutOff closed once it was.
	reason budgeter.Reason
	cutOff chan struct{}
	closed bool
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	c.acceptor.awaitRelease(c.cutOff)
	if err := c.cutError(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	if n > 0 {
		cuts, reason := c.acceptor.budget.Receive(c.id, n, c.acceptor.clock.Now())
		c.acceptor.cut(cuts)
		if reason != budgeter.None {
			c.cut(budgeter.Head, reason)
		}
	}
	if cutErr := c.cutError(); cutErr != nil {
		return 0, cutErr
	}
	return n, err
}

// Write implements net.Conn. The budget cuts a client that does not read what is
// written.
func (c *conn) Write(p []byte) (int, error) {
	if c.acceptor.http {
		c.acceptor.budget.Answer(c.id, c.acceptor.clock.Now())
		return c.Conn.Write(p)
	}
	c.enter(budgeter.Answer)
	n, err := c.Conn.Write(p)
	if err == nil {
		c.enter(budgeter.Idle)
	}
	return n, err
}

// Close implements net.Conn. The server calls it once it has no more use for the
// connection.
func (c *conn) Close() error {
	c.mu.Lock()
	closed, wasCut := c.closed, c.reason != budgeter.None
	c.closed = true
	c.mu.Unlock()
	if closed {
		return nil
	}
	c.acceptor.forget(c.id)
	if wasCut {
		return nil
	}
	return c.Conn.Close()
}

// enter begins a phase of the connection. It reports false if the budget has
// dropped the connection.
func (c *conn) enter(phase budgeter.Phase) bool {
	return c.acceptor.budget.Enter(c.id, phase, c.acceptor.clock.Now())
}

// cut disconnects the client, and refuses its request if that is known not to
// have run. Handlers that read the body fail.
func (c *conn) cut(phase budgeter.Phase, reason budgeter.Reason) {
	c.mu.Lock()
	if c.reason != budgeter.None || c.closed {
		c.mu.Unlock()
		return
	}
	c.reason = reason
	close(c.cutOff)
	c.mu.Unlock()
	c.acceptor.countCut(reason)
	refusable := phase == budgeter.Head || phase == budgeter.Body || phase == budgeter.Queue
	if refusable && c.acceptor.http && !c.encrypted.Load() {
		c.refuse(reason)
	}
	// The server still closes the connection when it has no more use for it.
	_ = c.Conn.Close()
}

// refuse writes the refusal of a request that has not begun to run. A client that
// cannot take it at once gets none.
func (c *conn) refuse(reason budgeter.Reason) {
	status, fields := http.StatusServiceUnavailable, fmt.Sprintf("Retry-After: %d\r\n", retryAfterSeconds)
	if reason == budgeter.HeadTooLarge {
		status, fields = http.StatusRequestHeaderFieldsTooLarge, ""
	}
	if reason == budgeter.SlowHead || reason == budgeter.SlowBody {
		status, fields = http.StatusRequestTimeout, ""
	}
	if err := c.SetWriteDeadline(c.acceptor.clock.Now().Add(time.Millisecond)); err != nil {
		return
	}
	_, _ = fmt.Fprintf(c.Conn, "HTTP/1.1 %d %s\r\n%sContent-Length: 0\r\nConnection: close\r\n\r\n", status, http.StatusText(status), fields)
}

// cutError returns an error if the connection was cut.
func (c *conn) cutError() error {
	if reason := c.cutReason(); reason != budgeter.None {
		return eris.Errorf("the connection was cut: %s", budgeter.Reasons()[reason])
	}
	return nil
}

// cutReason returns why the connection was cut, or None.
func (c *conn) cutReason() budgeter.Reason {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reason
}
