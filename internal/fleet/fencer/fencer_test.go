package fencer_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/fleet/fencer"
)

// TestTokensOfATermStayBelowTheNext guards against a worker that refuses the next
// holder because it has restarted often.
func TestTokensOfATermStayBelowTheNext(t *testing.T) {
	const term = 3 * fencer.Stride
	f := fencer.New(term)
	last := f.Token("a")
	require.Equal(t, primrosespar.Token(term), last)
	for range 2 * fencer.Stride {
		f.Raise("a")
		require.GreaterOrEqual(t, f.Token("a"), last)
		last = f.Token("a")
		require.Less(t, last, primrosespar.Token(term+fencer.Stride))
	}
	require.Equal(t, primrosespar.Token(term), f.Token("b"))
}
