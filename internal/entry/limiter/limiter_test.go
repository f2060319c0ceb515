package limiter_test

import (
	"net"
	"testing"
	"testing/synctest"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"primrosespar.example/primrosespar/internal/entry/limiter"
)

// queue is a listener whose connections are already there.
type queue struct {
	net.Listener
	waiting chan net.Conn
}

func (q *queue) Accept() (net.Conn, error) {
	c, ok := <-q.waiting
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}

func (q *queue) Close() error { close(q.waiting); return nil }

// TestBound guards against more open connections than the limit, against
// connections that are lost while they wait, and against room that a double
// close gives back twice.
func TestBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit, total = 3, 9
		q := &queue{waiting: make(chan net.Conn, total)}
		for range total {
			_, server := net.Pipe()
			q.waiting <- server
		}
		l := limiter.New(q, limit)
		accepted := make(chan net.Conn, total)
		var wg conc.WaitGroup
		wg.Go(func() {
			for range total {
				c, err := l.Accept()
				require.NoError(t, err)
				accepted <- c
			}
		})
		synctest.Wait()
		require.Len(t, accepted, limit, "accepted before any was closed")
		for done := 1; done <= total; done++ {
			c := <-accepted
			require.NoError(t, c.Close())
			require.NoError(t, c.Close())
			synctest.Wait()
			require.Len(t, accepted, min(limit, total-done))
		}
		wg.Wait()
	})
}

// TestCloseEndsAccept guards against a shutdown that hangs because an Accept
// waits for room.
func TestCloseEndsAccept(t *testing.T) {
	defer goleak.VerifyNone(t)
	q := &queue{waiting: make(chan net.Conn, 1)}
	_, server := net.Pipe()
	q.waiting <- server
	l := limiter.New(q, 1)
	c, err := l.Accept()
	require.NoError(t, err)
	var wg conc.WaitGroup
	wg.Go(func() {
		_, err := l.Accept()
		require.ErrorIs(t, err, net.ErrClosed)
	})
	require.NoError(t, l.Close())
	wg.Wait()
	require.NoError(t, c.Close())
}
