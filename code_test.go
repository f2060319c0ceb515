package primrosespar_test

import (
	"errors"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"primrosespar.example/primrosespar"
)

// TestCodesAreUnique guards against two codes with the same number or name.
func TestCodesAreUnique(t *testing.T) {
	numbers := map[primrosespar.Code]bool{}
	names := map[string]bool{}
	for _, info := range primrosespar.Codes() {
		require.False(t, numbers[info.Code], "duplicate number %d", info.Code)
		require.False(t, names[info.Name], "duplicate name %s", info.Name)
		require.NotEmpty(t, info.Meaning)
		numbers[info.Code] = true
		names[info.Name] = true
	}
}

// TestCodeOfWrappedError guards against a code that is lost when its error is
// wrapped.
func TestCodeOfWrappedError(t *testing.T) {
	err := fmt.Errorf("apply: %w", primrosespar.Fail(primrosespar.CodeConflict, "row changed"))
	require.Equal(t, primrosespar.CodeConflict, primrosespar.CodeOf(err))
	require.Equal(t, primrosespar.CodeOK, primrosespar.CodeOf(nil))
	require.Equal(t, primrosespar.CodeInternal, primrosespar.CodeOf(errors.New("plain")))
}
