package primrosespar_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"primrosespar.example/primrosespar"
)

// BenchmarkFind measures the lookup of the last of 220 contracts. Each request
// does several lookups.
func BenchmarkFind(b *testing.B) {
	var view primrosespar.ContractView
	for n := range 220 {
		view.Contracts = append(view.Contracts, primrosespar.VersionedContract{
			Contract: primrosespar.Contract{Account: primrosespar.Account(fmt.Sprintf("account-%03d", n))},
		})
	}
	for b.Loop() {
		_, ok := view.Find("account-219")
		require.True(b, ok)
	}
}
