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

// pendingListener is a listener whose connections are already waiting to be
// accepted.
type pendingListener struct {
	net.Listener
	pending chan net.Conn
}

func (l *pendingListener) Accept() (net.Conn, error) {
	c, ok := <-l.pending
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}

func (l *pendingListener) Close() error { close(l.pending); return nil }

// TestConnectionLimit guards against more open connections than the limit,
// against connections that are lost while they wait, and against a connection
// that releases two slots when it is closed twice.
func TestConnectionLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit, total = 3, 9
		pending := &pendingListener{pending: make(chan net.Conn, total)}
		for range total {
			_, server := net.Pipe()
			pending.pending <- server
		}
		l := limiter.New(pending, limit)
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
		for closed := 1; closed <= total; closed++ {
			c := <-accepted
			require.NoError(t, c.Close())
			require.NoError(t, c.Close())
			synctest.Wait()
			require.Len(t, accepted, min(limit, total-closed))
		}
		wg.Wait()
	})
}

// TestCloseEndsAccept guards against a shutdown that hangs because an Accept
// waits for another connection to close.
func TestCloseEndsAccept(t *testing.T) {
	defer goleak.VerifyNone(t)
	pending := &pendingListener{pending: make(chan net.Conn, 1)}
	_, server := net.Pipe()
	pending.pending <- server
	l := limiter.New(pending, 1)
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
