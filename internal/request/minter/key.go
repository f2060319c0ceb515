package minter

import (
	"encoding/base64"
	"encoding/hex"
	"errors"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"

	"primrosespar.example/primrosespar"
)

const (
	// keyPrefix starts every minted key; other keys must not start with it.
	keyPrefix = "mk1."
	// fieldCount is the number of dot-separated fields after the prefix.
	fieldCount = 5
	// maxKeyLength is the maximum length of a key that is parsed, in bytes.
	maxKeyLength = 512
	// incarnationBytes and macBytes are the sizes of the decoded fields.
	incarnationBytes = 16
	macBytes         = 16
)

// Minted has the fields of a minted key. Only the process that minted the key
// can verify its MAC.
type Minted struct {
	Place       primrosespar.Place
	Host        primrosespar.Host
	Incarnation primrosespar.Incarnation
	Sequence    uint64
	mac         string
}

// IsMinted reports whether the key has the prefix of minted keys. It verifies
// nothing else.
func IsMinted(key string) bool {
	return strings.HasPrefix(key, keyPrefix)
}

// Parse parses a minted key. It accepts only the canonical form, which String
// returns, and does not verify the MAC.
func Parse(key string) (Minted, error) {
	if !IsMinted(key) || len(key) > maxKeyLength {
		return Minted{}, eris.New("not a minted key")
	}
	parts := strings.Split(key[len(keyPrefix):], ".")
	if len(parts) != fieldCount {
		return Minted{}, eris.Errorf("minted key has %d fields, not %d", len(parts), fieldCount)
	}
	encoding := base64.RawURLEncoding.Strict()
	place, errPlace := encoding.DecodeString(parts[0])
	host, errHost := encoding.DecodeString(parts[1])
	incarnation, errInc := hex.DecodeString(parts[2])
	sequence, errSeq := strconv.ParseUint(parts[3], 10, 64)
	mac, errMAC := encoding.DecodeString(parts[4])
	if err := errors.Join(errPlace, errHost, errInc, errSeq, errMAC); err != nil {
		return Minted{}, eris.Wrap(err, "decode minted key")
	}
	if len(incarnation) != incarnationBytes || len(mac) != macBytes {
		return Minted{}, eris.New("minted key has a field of the wrong size")
	}
	m := Minted{
		Place: primrosespar.Place(place), Host: primrosespar.Host(host),
		Incarnation: primrosespar.Incarnation(parts[2]), Sequence: sequence, mac: parts[4],
	}
	if m.String() != key {
		return Minted{}, eris.New("minted key is not in its canonical form")
	}
	return m, nil
}

// String returns the key in its canonical form.
func (m Minted) String() string {
	encode := base64.RawURLEncoding.EncodeToString
	parts := []string{
		encode([]byte(m.Place)), encode([]byte(m.Host)),
		strings.ToLower(string(m.Incarnation)), strconv.FormatUint(m.Sequence, 10), m.mac,
	}
	return keyPrefix + strings.Join(parts, ".")
}
