package config

import spar "sardinespar.example/spar"

// loadKeys are the settings of admission, choice among upstreams, hedging and retries.
func loadKeys() []Key[Settings] {
	return []Key[Settings]{
		integer("policy", "admission_start", 2, 1, 1000, "calls admitted at once after a start and after a slow turn",
			func(s *Settings, v int) { s.AdmissionStart = v }),
		millis("policy", "admission_warmup_ms", 6000, 0, 600_000, "least time from there to the full capacity after a start",
			func(s *Settings, v spar.Millis) { s.AdmissionWarmup = v }),
		percent("admission_slow", 300, 150, 10_000, "latency against the recent best that means a cold or slow server",
			func(s *Settings, v float64) { s.AdmissionSlow = v }),
		integer("policy", "share_bytes", 256<<10, 0, 8<<20, "largest body that waiting identical reads share; 0 shares none",
			func(s *Settings, v int) { s.ShareBytes = v }),
		percent("eject_ratio", 300, 150, 10_000, "latency against the median of the upstreams that ejects a straggler",
			func(s *Settings, v float64) { s.EjectRatio = v }),
		percent("eject_share", 34, 0, 90, "most upstreams of a service that are ejected at once",
			func(s *Settings, v float64) { s.EjectShare = v }),
		millis("policy", "eject_pause_ms", 1000, 10, 600_000, "first pause before an ejected upstream gets a trial call",
			func(s *Settings, v spar.Millis) { s.EjectPause = v }),
		millis("policy", "eject_pause_most_ms", 30_000, 10, 3_600_000, "longest such pause",
			func(s *Settings, v spar.Millis) { s.EjectPauseMost = v }),
		percent("hedge_quantile", 95, 50, 99, "share of calls that end before the second attempt would start",
			func(s *Settings, v float64) { s.HedgeQuantile = v }),
		percent("hedge_budget", 5, 0, 100, "second attempts as a share of the calls",
			func(s *Settings, v float64) { s.HedgeBudget = v }),
		percent("retry_budget", 10, 0, 100, "calls sent again as a share of the calls",
			func(s *Settings, v float64) { s.RetryBudget = v }),
	}
}
