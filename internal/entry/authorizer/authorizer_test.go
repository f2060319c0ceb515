package authorizer_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/entry/authorizer"
)

func newAuthorizer() *authorizer.Authorizer {
	return authorizer.New(
		authorizer.Token{Secret: "caller-secret", Role: authorizer.RoleCaller, Account: "alpha"},
		authorizer.Token{Secret: "operator-secret", Role: authorizer.RoleOperator},
	)
}

// TestCallerUsesOnlyOwnAccount guards against a caller that reads or spends
// another account's share.
func TestCallerUsesOnlyOwnAccount(t *testing.T) {
	id, err := newAuthorizer().Authorize("Bearer caller-secret")
	require.NoError(t, err)
	require.NoError(t, id.MayUse("alpha"))
	require.Equal(t, primrosespar.CodeForbidden, primrosespar.CodeOf(id.MayUse("beta")))
	require.Equal(t, primrosespar.CodeForbidden, primrosespar.CodeOf(id.MayOperate()))
}

// TestOperatorMayActForAll guards against an operator locked out of contracts.
func TestOperatorMayActForAll(t *testing.T) {
	id, err := newAuthorizer().Authorize("Bearer operator-secret")
	require.NoError(t, err)
	require.NoError(t, id.MayUse("beta"))
	require.NoError(t, id.MayOperate())
}

// TestUnknownTokensAreRefused guards against an empty or foreign token being
// let in, and against a token quoted in the error.
func TestUnknownTokensAreRefused(t *testing.T) {
	for _, header := range []string{"", "Bearer ", "Bearer wrong-secret", "Basic caller-secret"} {
		_, err := newAuthorizer().Authorize(header)
		require.Equal(t, primrosespar.CodeUnauthorized, primrosespar.CodeOf(err), header)
		require.NotContains(t, err.Error(), "secret")
	}
}
