// Package authorizer tells callers and operators apart by their tokens.
//
// # Usage
//
//	a := authorizer.New(authorizer.Token{Secret: s, Role: authorizer.RoleCaller, Account: "bascule"})
//	identity, err := a.Authorize(r.Header.Get("Authorization"))
//	err = identity.MayUse("bascule")
//
// Tokens are kept as digests and compared in constant time; errors never
// contain one.
package authorizer

import (
	"crypto/sha256"
	"crypto/subtle"
	"strings"

	"primrosespar.example/primrosespar"
)

// Role says what a token is for.
type Role string

// Roles. An operator may do what any caller may.
const (
	RoleCaller   Role = "caller"
	RoleOperator Role = "operator"
)

// Token is one accepted token.
type Token struct {
	Secret string
	Role   Role
	// Account is the client account of a caller.
	Account primrosespar.Account
	// Name is an operator's name in the history of contracts.
	Name string
}

// Identity is who made a request.
type Identity struct {
	Role    Role
	Name    string
	Account primrosespar.Account
}

// credential is a token as kept in memory.
type credential struct {
	digest   [sha256.Size]byte
	identity Identity
}

// Authorizer checks tokens. It is safe for concurrent use.
type Authorizer struct {
	credentials []credential
}

// New returns an Authorizer for the tokens.
func New(tokens ...Token) *Authorizer {
	a := &Authorizer{}
	for _, t := range tokens {
		a.credentials = append(a.credentials, credential{
			digest:   sha256.Sum256([]byte(t.Secret)),
			identity: Identity{Role: t.Role, Name: t.Name, Account: t.Account},
		})
	}
	return a
}

// bearerPrefix starts the value of an Authorization header.
const bearerPrefix = "Bearer "

// Authorize returns whose token the header carries. It compares with every
// token, so the time does not tell which one was close.
func (a *Authorizer) Authorize(header string) (Identity, error) {
	secret, ok := strings.CutPrefix(header, bearerPrefix)
	if !ok {
		return Identity{}, primrosespar.Fail(primrosespar.CodeUnauthorized, "the Authorization header has no bearer token")
	}
	digest := sha256.Sum256([]byte(secret))
	var match *credential
	for i := range a.credentials {
		if subtle.ConstantTimeCompare(digest[:], a.credentials[i].digest[:]) == 1 {
			match = &a.credentials[i]
		}
	}
	if match == nil {
		return Identity{}, primrosespar.Fail(primrosespar.CodeUnauthorized, "the token is not known")
	}
	return match.identity, nil
}

// MayUse reports whether the identity may act for the account.
func (i Identity) MayUse(account primrosespar.Account) error {
	if i.Role == RoleOperator || i.Account == account {
		return nil
	}
	return primrosespar.Fail(primrosespar.CodeForbidden, "the token does not belong to client account %q", account)
}

// MayOperate reports whether the identity may use operator commands.
func (i Identity) MayOperate() error {
	if i.Role == RoleOperator {
		return nil
	}
	return primrosespar.Fail(primrosespar.CodeForbidden, "the token is not an operator's")
}
