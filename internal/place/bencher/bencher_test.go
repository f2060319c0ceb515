package bencher_test

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"primrosespar.example/primrosespar/internal/place/bencher"
)

// TestClaimsStartInTime guards against claims that start late in any workload,
// and against runs that lose jobs or are not repeatable.
func TestClaimsStartInTime(t *testing.T) {
	for _, name := range bencher.WorkloadNames() {
		workload := bencher.NewWorkload(name, 1)
		result := bencher.New(workload, bencher.PlannerPolicy()).Run()
		require.Zero(t, result.LateClaims, name)
		require.Equal(t, len(workload.Jobs), result.Completed+result.Cancelled+result.Refused, name)
		require.Equal(t, result, bencher.New(bencher.NewWorkload(name, 1), bencher.PlannerPolicy()).Run(), name)
	}
}

// BenchmarkPolicy prints the results of each workload, policy and seed.
func BenchmarkPolicy(b *testing.B) {
	for _, name := range bencher.WorkloadNames() {
		for seed := uint64(1); seed <= 3; seed++ {
			for _, policy := range []bencher.Policy{bencher.PlannerPolicy(), bencher.FirstInFirstOut(), bencher.BestFit()} {
				b.Run(fmt.Sprintf("%s/%s/%d", name, policy.Name, seed), func(b *testing.B) {
					var result bencher.Result
					for b.Loop() {
						result = bencher.New(bencher.NewWorkload(name, seed), policy).Run()
					}
					line, err := json.Marshal(result)
					require.NoError(b, err)
					fmt.Println(string(line))
				})
			}
		}
	}
}
