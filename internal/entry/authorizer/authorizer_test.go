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

// TestCallerUsesOnlyOwnAccount guards against a caller that acts for another
// account.
func TestCallerUsesOnlyOwnAccount(t *testing.T) {
	id, err := newAuthorizer().Authorize("Bearer caller-secret")
	require.NoError(t, err)
	require.NoError(t, id.MayUse("alpha"))
	require.Equal(t, primrosespar.CodeForbidden, primrosespar.CodeOf(id.MayUse("beta")))
	require.Equal(t, primrosespar.CodeForbidden, primrosespar.CodeOf(id.MayOperate()))
}

// TestOperatorMayActForAll guards against an operator that is refused an
// account or an operator command.
func TestOperatorMayActForAll(t *testing.T) {
	id, err := newAuthorizer().Authorize("Bearer operator-secret")
	require.NoError(t, err)
	require.NoError(t, id.MayUse("beta"))
	require.NoError(t, id.MayOperate())
}

// TestUnknownTokensAreRefused guards against an empty or unknown token that is
// accepted, and against an error that quotes the token.
func TestUnknownTokensAreRefused(t *testing.T) {
	for _, header := range []string{"", "Bearer ", "Bearer wrong-secret", "Basic caller-secret"} {
		_, err := newAuthorizer().Authorize(header)
		require.Equal(t, primrosespar.CodeUnauthorized, primrosespar.CodeOf(err), header)
		require.NotContains(t, err.Error(), "secret")
	}
}
