// Package config reads a node's settings from INI files and reports all errors in them.
package config

import (
	spar "sardinespar.example/spar"
)

// Settings are the settings of one node.
type Settings struct {
	VM     string
	Zone   spar.Zone
	Region spar.Region

	HTTPAddr  string
	PeerAddr  string
	LocalAddr string

	// AdvertiseHTTP and AdvertisePeer are the addresses at which others reach HTTPAddr and PeerAddr.
	AdvertiseHTTP string
	AdvertisePeer string

	StoreURL     string
	StoreTimeout spar.Millis

	LeaseMode string
	Admission string
	Picker    string
	Hedging   bool
	Resume    bool
	MaxQueue  int

	// AdmissionStart is the limit of concurrent calls after a start or a slow phase.
	AdmissionStart int
	// AdmissionWarmup is the shortest time from AdmissionStart to the full capacity after a start.
	AdmissionWarmup spar.Millis
	// AdmissionSlowRatio is the multiple of the recent best latency that means a cold or slow server.
	AdmissionSlowRatio float64
	// MaxSharedBytes is the largest body that is shared by waiting identical reads; 0 disables sharing.
	MaxSharedBytes int

	// EjectRatio is the multiple of the upstreams' median latency at which a straggler is ejected.
	EjectRatio float64
	// MaxEjectShare is the largest share of a service's upstreams that are ejected at the same time.
	MaxEjectShare float64
	// EjectBackoff and MaxEjectBackoff are the initial and the longest backoff before a trial call.
	EjectBackoff    spar.Millis
	MaxEjectBackoff spar.Millis

	// HedgeQuantile is the share of calls that complete before a second attempt starts.
	HedgeQuantile float64
	// HedgeBudget and RetryBudget limit second attempts and retries, as shares of the calls.
	HedgeBudget float64
	RetryBudget float64

	EventCount int
	LogLevel   string
	LogFormat  string
}

// The policies that settings select by name. The second policy of each kind is the baseline for comparisons.
const (
	LeaseWitness      = "witness"
	LeaseTable        = "table"
	AdmissionAdaptive = "adaptive"
	AdmissionFixed    = "fixed"
	PickerTwoChoices  = "two_choices"
	PickerRoundRobin  = "round_robin"
)
