package config

import spar "sardinespar.example/spar"

// trafficKeys returns the settings for admission, ejection of upstreams, hedging and retries.
func trafficKeys() []Key[Settings] {
	return []Key[Settings]{
		integer("policy", "admission_start", 2, 1, 1000, "limit of concurrent calls after a start or a slow phase",
			func(s *Settings, v int) { s.AdmissionStart = v }),
		millis("policy", "admission_warmup_ms", 6000, 0, 600_000,
			"shortest time from that limit to the full capacity after a start",
			func(s *Settings, v spar.Millis) { s.AdmissionWarmup = v }),
		percent("admission_slow", 300, 150, 10_000,
			"latency, relative to the recent best, that means a cold or slow server",
			func(s *Settings, v float64) { s.AdmissionSlowRatio = v }),
		integer("policy", "share_bytes", 256<<10, 0, 8<<20,
			"largest body that is shared by waiting identical reads; 0 disables sharing",
			func(s *Settings, v int) { s.MaxSharedBytes = v }),
		percent("eject_ratio", 300, 150, 10_000,
			"latency, relative to the median of the upstreams, at which a straggler is ejected",
			func(s *Settings, v float64) { s.EjectRatio = v }),
		percent("eject_share", 34, 0, 90, "largest share of a service's upstreams that are ejected at the same time",
			func(s *Settings, v float64) { s.MaxEjectShare = v }),
		millis("policy", "eject_pause_ms", 1000, 10, 600_000,
			"initial backoff before an ejected upstream gets a trial call",
			func(s *Settings, v spar.Millis) { s.EjectBackoff = v }),
		millis("policy", "eject_pause_most_ms", 30_000, 10, 3_600_000, "longest backoff before such a trial call",
			func(s *Settings, v spar.Millis) { s.MaxEjectBackoff = v }),
		percent("hedge_quantile", 95, 50, 99, "share of calls that complete before a second attempt starts",
			func(s *Settings, v float64) { s.HedgeQuantile = v }),
		percent("hedge_budget", 5, 0, 100, "second attempts, as a share of the calls",
			func(s *Settings, v float64) { s.HedgeBudget = v }),
		percent("retry_budget", 10, 0, 100, "retries, as a share of the calls",
			func(s *Settings, v float64) { s.RetryBudget = v }),
	}
}
