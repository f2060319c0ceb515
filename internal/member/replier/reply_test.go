package replier_test

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"primrosespar.example/primrosespar/internal/member/replier"
)

// echo is a service whose only method panics on an empty message.
type echo struct{}

// reply returns the first byte of the message.
func (echo) reply(_ context.Context, in *[]byte) *replier.Reply[byte] {
	return replier.Of((*in)[0], nil)
}

// TestGuardedMethodFailsInsteadOfPanicking guards against one message that ends
// the whole process.
func TestGuardedMethodFailsInsteadOfPanicking(t *testing.T) {
	var panicked []string
	methods := replier.Methods{replier.Handle("/echo", echo.reply)}.Guarded(func(method string, err error) {
		panicked = append(panicked, method)
		require.ErrorContains(t, err, "index out of range")
	})
	_, _, receive, _, ok := methods.Method(0)
	require.True(t, ok)
	_, err := receive(echo{}, t.Context(), &[]byte{}, nil)
	require.Error(t, err)
	require.Equal(t, []string{"/echo"}, panicked)
	out, err := receive(echo{}, t.Context(), &[]byte{7}, nil)
	require.NoError(t, err)
	require.Equal(t, byte(7), out.(*replier.Reply[byte]).Value)
}
