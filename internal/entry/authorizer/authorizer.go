// Package authorizer authenticates callers and operators by bearer token and
// checks which accounts and commands they may use.
//
// # Usage
//
//	a := authorizer.New(authorizer.Token{Secret: s, Role: authorizer.RoleCaller, Account: "bascule"})
//	identity, err := a.Authorize(r.Header.Get("Authorization"))
//	err = identity.MayUse("bascule")
//
// Only digests of the tokens are stored, and they are compared in constant
// time. Errors never contain a token.
package authorizer

import (
	"crypto/sha256"
	"crypto/subtle"
	"strings"

	"primrosespar.example/primrosespar"
)

// Role decides what the owner of a token may do.
type Role string

// Roles. An operator may also do everything that callers may.
const (
	RoleCaller   Role = "caller"
	RoleOperator Role = "operator"
)

// Token is one accepted token.
type Token struct {
	Secret string
	Role   Role
	// Account is the client account that a caller acts for.
	Account primrosespar.Account
	// Name is the operator's name in the history of contracts.
	Name string
}

// Identity is the authenticated sender of a request.
type Identity struct {
	Role    Role
	Name    string
	Account primrosespar.Account
}

// credential is the digest of an accepted token and the identity of its owner.
type credential struct {
	digest   [sha256.Size]byte
	identity Identity
}

// Authorizer checks tokens. It is safe for concurrent use.
type Authorizer struct {
	credentials []credential
}

// New returns an Authorizer that accepts the tokens.
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

// bearerPrefix is the prefix of an Authorization header with a bearer token.
const bearerPrefix = "Bearer "

// Authorize returns the identity of the token in an Authorization header. It
// compares the token with all accepted ones, so that the response time does not
// depend on which one matches.
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

// MayUse returns nil if the identity may act for the account, and a Failure
// with CodeForbidden otherwise.
func (id Identity) MayUse(account primrosespar.Account) error {
	if id.Role == RoleOperator || id.Account == account {
		return nil
	}
	return primrosespar.Fail(primrosespar.CodeForbidden, "the token does not belong to client account %q", account)
}

// MayOperate returns nil if the identity may use operator commands, and a
// Failure with CodeForbidden otherwise.
func (id Identity) MayOperate() error {
	if id.Role == RoleOperator {
		return nil
	}
	return primrosespar.Fail(primrosespar.CodeForbidden, "the token is not an operator's")
}
