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
