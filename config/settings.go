// Package config reads a node's settings from INI files and checks them in full.
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

	// AdvertiseHTTP and AdvertisePeer are the addresses that others use.
	AdvertiseHTTP string
	AdvertisePeer string

	StoreURL     string
	StoreTimeout spar.Millis

	Lease     string
	Admission string
	Picker    string
	Hedging   bool
	Resume    bool
	MaxQueue  int

	// AdmissionStart is the limit after a start and after a slow turn.
	AdmissionStart int
	// AdmissionWarmup is the least time from there to the full capacity after a start.
	AdmissionWarmup spar.Millis
	// AdmissionSlow is the multiple of the recent best latency that means a cold or slow server.
	AdmissionSlow float64
	// ShareBytes bounds the body of a read that waiting identical reads share; 0 shares nothing.
	ShareBytes int

	EjectRatio     float64
	EjectShare     float64
	EjectPause     spar.Millis
	EjectPauseMost spar.Millis

	HedgeQuantile float64
	HedgeBudget   float64
	RetryBudget   float64

	EventCount int
	LogLevel   string
	LogFormat  string
}

// The policies that settings select by name. The second of each is the baseline.
const (
	LeaseWitness      = "witness"
	LeaseTable        = "table"
	AdmissionAdaptive = "adaptive"
	AdmissionFixed    = "fixed"
	PickerTwoChoices  = "two_choices"
	PickerRoundRobin  = "round_robin"
)
