package primrosespar_test

import (
	"errors"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"primrosespar.example/primrosespar"
)

// TestCodesAreUnique guards against two codes with one number or one name.
func TestCodesAreUnique(t *testing.T) {
	numbers := map[primrosespar.Code]bool{}
	names := map[string]bool{}
	for _, info := range primrosespar.Codes() {
		require.False(t, numbers[info.Code], "number %d stands twice", info.Code)
		require.False(t, names[info.Name], "name %s stands twice", info.Name)
		require.NotEmpty(t, info.Meaning)
		numbers[info.Code] = true
		names[info.Name] = true
	}
}

// TestCodeOfWrappedError guards against a code lost when an error is wrapped.
func TestCodeOfWrappedError(t *testing.T) {
	err := fmt.Errorf("apply: %w", primrosespar.Fail(primrosespar.CodeConflict, "row moved"))
	require.Equal(t, primrosespar.CodeConflict, primrosespar.CodeOf(err))
	require.Equal(t, primrosespar.CodeOK, primrosespar.CodeOf(nil))
	require.Equal(t, primrosespar.CodeInternal, primrosespar.CodeOf(errors.New("plain")))
}
