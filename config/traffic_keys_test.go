package config_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"sardinespar.example/spar/config"
)

// TestTrafficKeyRanges guards against accepting values that are out of range, and against storing percentages that
// are not converted to ratios.
func TestTrafficKeyRanges(t *testing.T) {
	for _, tt := range []struct {
		key    string
		values []string
		wrong  []string
	}{
		{"admission_start", []string{"1", "1000"}, []string{"0", "1001", "x"}},
		{"admission_warmup_ms", []string{"0", "600000"}, []string{"-1", "600001"}},
		{"admission_slow_percent", []string{"150", "10000"}, []string{"149", "10001"}},
		{"share_bytes", []string{"0", "8388608"}, []string{"-1", "8388609"}},
		{"eject_ratio_percent", []string{"150"}, []string{"149"}},
		{"eject_share_percent", []string{"0", "90"}, []string{"-1", "91"}},
		{"eject_pause_ms", []string{"10"}, []string{"9"}},
		{"eject_pause_most_ms", []string{"3600000"}, []string{"3600001"}},
		{"hedge_quantile_percent", []string{"50", "99"}, []string{"49", "100"}},
		{"hedge_budget_percent", []string{"0", "100"}, []string{"101"}},
		{"retry_budget_percent", []string{"0", "100"}, []string{"101"}},
	} {
		faults := func(value string) int {
			_, faults := config.Load(nil, []string{"policy." + tt.key + "=" + value})

			return len(faults)
		}
		// All of these lack the required keys of a node.
		_, missing := config.Load(nil, nil)

		for _, v := range tt.values {
			qt.Check(t, faults(v), qt.Equals, len(missing), qt.Commentf("%s = %s", tt.key, v))
		}

		for _, v := range tt.wrong {
			qt.Check(t, faults(v), qt.Equals, len(missing)+1, qt.Commentf("%s = %s", tt.key, v))
		}
	}

	s, _ := config.Load(nil, []string{"policy.hedge_budget_percent=7"})
	qt.Check(t, s.HedgeBudget, qt.Equals, 0.07)
	qt.Check(t, s.RetryBudget, qt.Equals, 0.1)
}
