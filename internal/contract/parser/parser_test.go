package parser_test

import (
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/contract/parser"
)

// validDocument is a contract without errors.
const validDocument = `account = "nord"
public_name = "Account N"
max_accelerators = 64
[[places]]
place = "tn-charguia"
share = 2
[[places]]
place = "ss-sahloul"
share = 1
[[classes]]
class = "eligibility"
kind = "request"
idempotent = true
deadline = "9.3s"
rate_per_second = 30
concurrency = 30
[classes.offline]
rate_per_second = 2.5
concurrency = 4
[[guarantees]]
place = "tn-charguia"
block = 16
count = 2
`

// FuzzParse guards against a panic of the parser, and against a canonical
// document that parses as a different contract.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validDocument))
	f.Add([]byte("account = 1\n[[classes]]\nclass = \"a\"\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		contract, err := parser.Parse(data)
		if err != nil {
			require.Equal(t, primrosespar.CodeContractInvalid, primrosespar.CodeOf(err))
			return
		}
		text, err := parser.Canonical(contract)
		require.NoError(t, err)
		again, err := parser.Parse(text)
		require.NoError(t, err)
		require.Equal(t, contract, again)
	})
}

// TestFieldErrors guards against an error that is not reported, lacks its line,
// or does not name the field, the value and the bounds.
func TestFieldErrors(t *testing.T) {
	for _, c := range []struct{ old, bad, want string }{
		{"share = 2", "share = -2", "line 6: places[0].share: -2 is out of range; the bounds are 1 to 1000"},
		{"block = 16", "block = 12", "line 22: guarantees[0].block: 12 is not a power of two"},
		{"deadline =", "dedline =", `line 14: classes[0].dedline: unknown key; the nearest known key is "deadline"`},
		{`"9.3s"`, "9.3", "line 14: classes[0].deadline: 9.3 is a number, a duration is required"},
		{"second = 30", "second = nan", "line 15: classes[0].rate_per_second: NaN is out of range; the bounds are 0 to 100000"},
		{"second = 2.5", "second = 25", "line 18: classes[0].offline.rate_per_second: 25 is above 10, the part of the rate that belongs to the place with the smallest share"},
		{"place = \"ss-sahloul\"", "place = \"tn-charguia\"", `line 8: places[1].place: "tn-charguia" appears more than once`},
		{"[[classes]]", "[[classes]]\nclass = \"eligibility\"\n[[classes]]", `line 13: classes[1].class: "eligibility" appears more than once`},
		{"= 64", "= 16", "line 3: max_accelerators: 16 is below 32, the sum of the guarantees"},
		{"= 64", "= ", "line 3: max_accelerators: "},
		{"Account N", "a\x00b", "line 2: byte 0x00 is not valid text"},
		{"Account N", strings.Repeat("n", 70_000), "the document has"},
	} {
		_, err := parser.Parse([]byte(strings.Replace(validDocument, c.old, c.bad, 1)))
		require.ErrorContains(t, err, c.want)
	}
	_, err := parser.Parse([]byte(strings.NewReplacer("share = 2", "share = -2", "block = 16", "block = 12").Replace(validDocument)))
	require.ErrorContains(t, err, "2 errors")
}

// TestManualIsCurrent guards against a docs/contract.md that differs from the
// parser. Set UPDATE_DOCS=1 to write the file.
func TestManualIsCurrent(t *testing.T) {
	const path = "../../../docs/contract.md"
	if os.Getenv("UPDATE_DOCS") != "" {
		require.NoError(t, os.WriteFile(path, []byte(parser.Manual()), 0o600))
	}
	text, err := os.ReadFile(path)
	require.NoError(t, err)
	require.Equal(t, parser.Manual(), string(text))
}
