package config

import (
	"cmp"
	"fmt"
	"net"
	"net/url"
	"regexp"
	"slices"
	"strconv"
	"strings"

	spar "sardinespar.example/spar"
)

// Key describes one setting, which is stored in a struct of type S.
type Key[S any] struct {
	Section  string
	Name     string
	Default  string
	Accepted string
	Help     string

	// set parses and stores a value. It returns false if the value is not accepted.
	set func(*S, string) bool
}

// required is the Default of a key that has no default, so that its value must be given.
const required = "\x00"

// Required reports whether the key has no default.
func (k Key[S]) Required() bool {
	return k.Default == required
}

var namePattern = regexp.MustCompile(`^[A-Za-z0-9_-]{1,64}$`)

const acceptedName = "1 to 64 letters, digits, - or _"

// Keys returns all settings of a node in the order of the reference.
func Keys() []Key[Settings] {
	return slices.Concat(nodeKeys(), storeKeys(), policyKeys(), trafficKeys(), logKeys())
}

func nodeKeys() []Key[Settings] {
	return []Key[Settings]{
		name("node", "vm", "name of the VM, which is part of the node id", func(s *Settings, v string) { s.VM = v }),
		name("node", "zone", "availability zone", func(s *Settings, v string) { s.Zone = spar.Zone(v) }),
		name("node", "region", "region of the zone", func(s *Settings, v string) { s.Region = spar.Region(v) }),
		address("http", "address for requests of callers and other nodes", func(s *Settings, v string) { s.HTTPAddr = v }),
		address("peer", "address for control messages", func(s *Settings, v string) { s.PeerAddr = v }),
		address("local", "address for announcements and metrics", func(s *Settings, v string) { s.LocalAddr = v }),
		optionalAddress("advertise_http", "address at which others reach http, if it differs",
			func(s *Settings, v string) { s.AdvertiseHTTP = cmp.Or(v, s.HTTPAddr) }),
		optionalAddress("advertise_peer", "address at which others reach peer, if it differs",
			func(s *Settings, v string) { s.AdvertisePeer = cmp.Or(v, s.PeerAddr) }),
	}
}

func storeKeys() []Key[Settings] {
	return []Key[Settings]{
		{
			Section: "store", Name: "url", Default: required, Accepted: "http://IP:PORT",
			Help: "base URL of the platform's table service",
			set: func(s *Settings, v string) bool {
				u, err := url.Parse(v)
				s.StoreURL = strings.TrimSuffix(v, "/")

				return err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != ""
			},
		},
		millis("store", "timeout_ms", 1000, 10, 60_000, "timeout of a call of the table service",
			func(s *Settings, v spar.Millis) { s.StoreTimeout = v }),
	}
}

func policyKeys() []Key[Settings] {
	return []Key[Settings]{
		choice("policy", "lease", []string{LeaseWitness, LeaseTable}, "how nodes hold their lease",
			func(s *Settings, v string) { s.LeaseMode = v }),
		choice("policy", "admission", []string{AdmissionAdaptive, AdmissionFixed}, "how calls are admitted",
			func(s *Settings, v string) { s.Admission = v }),
		choice("policy", "picker", []string{PickerTwoChoices, PickerRoundRobin}, "how upstreams are chosen",
			func(s *Settings, v string) { s.Picker = v }),
		boolean("policy", "hedging", true, "send slow idempotent calls to a second upstream",
			func(s *Settings, v bool) { s.Hedging = v }),
		boolean("policy", "resume", true, "resume interrupted downloads on another upstream",
			func(s *Settings, v bool) { s.Resume = v }),
		integer("policy", "max_queue", 200, 0, 100_000, "calls that may wait for a slot of the backend server",
			func(s *Settings, v int) { s.MaxQueue = v }),
	}
}

func logKeys() []Key[Settings] {
	return []Key[Settings]{
		integer("log", "events", 4096, 16, 1_000_000, "events kept for the time line",
			func(s *Settings, v int) { s.EventCount = v }),
		choice("log", "level", []string{"info", "debug", "warn", "error"}, "lowest level of log lines that are written",
			func(s *Settings, v string) { s.LogLevel = v }),
		choice("log", "format", []string{"text", "json"}, "format of log lines",
			func(s *Settings, v string) { s.LogFormat = v }),
	}
}

// name returns a required setting for a name.
func name[S any](section, key, help string, set func(*S, string)) Key[S] {
	return Key[S]{
		Section: section, Name: key, Default: required, Accepted: acceptedName, Help: help,
		set: func(s *S, v string) bool {
			set(s, v)

			return namePattern.MatchString(v)
		},
	}
}

// address returns a required setting for the address of a listener.
func address[S any](key, help string, set func(*S, string)) Key[S] {
	return Key[S]{
		Section: "listen", Name: key, Default: required, Accepted: "IP:PORT", Help: help,
		set: func(s *S, v string) bool {
			set(s, v)

			return validAddress(v)
		},
	}
}

// validAddress reports whether v is an IP address with a port.
func validAddress(v string) bool {
	host, port, err := net.SplitHostPort(v)
	n, portErr := strconv.Atoi(port)

	return err == nil && net.ParseIP(host) != nil && portErr == nil && n > 0 && n < 1<<16
}

// optionalAddress returns a setting for the address of a listener that may be empty.
func optionalAddress[S any](key, help string, set func(*S, string)) Key[S] {
	return Key[S]{
		Section: "listen", Name: key, Accepted: "IP:PORT or empty", Help: help,
		set: func(s *S, v string) bool {
			set(s, v)

			return v == "" || validAddress(v)
		},
	}
}

// choice returns a setting that takes one of several values. The first is the default.
func choice[S any](section, key string, values []string, help string, set func(*S, string)) Key[S] {
	return Key[S]{
		Section: section, Name: key, Default: values[0], Accepted: strings.Join(values, ", "), Help: help,
		set: func(s *S, v string) bool {
			set(s, v)

			return slices.Contains(values, v)
		},
	}
}

// boolean returns a setting that is true or false.
func boolean[S any](section, key string, def bool, help string, set func(*S, bool)) Key[S] {
	return Key[S]{
		Section: section, Name: key, Default: strconv.FormatBool(def), Accepted: "true, false", Help: help,
		set: func(s *S, v string) bool {
			b, err := strconv.ParseBool(v)
			set(s, b)

			return err == nil
		},
	}
}

// optionalBoolean returns a setting that is true, false, or empty, which means false.
func optionalBoolean[S any](section, key, help string, set func(*S, bool)) Key[S] {
	return orEmpty(boolean(section, key, false, help, set))
}

// optionalNumber returns a setting for a number in a range, or empty, which means the default.
func optionalNumber[S any](section, key string, def, low, high float64, help string, set func(*S, float64)) Key[S] {
	return orEmpty(number(section, key, def, low, high, help, set))
}

// orEmpty returns a setting that also accepts an empty value, which means the default. Templates leave a value empty if
// the platform does not state it.
func orEmpty[S any](k Key[S]) Key[S] {
	k.Accepted += ", or empty"
	set := k.set
	k.set = func(s *S, v string) bool {
		if v == "" {
			v = k.Default
		}

		return set(s, v)
	}

	return k
}

// integer returns a setting for a whole number in a range.
func integer[S any](section, key string, def, low, high int, help string, set func(*S, int)) Key[S] {
	return Key[S]{
		Section: section, Name: key, Default: strconv.Itoa(def), Help: help,
		Accepted: fmt.Sprintf("a whole number from %d to %d", low, high),
		set: func(s *S, v string) bool {
			n, err := strconv.Atoi(v)
			set(s, n)

			return err == nil && n >= low && n <= high
		},
	}
}

// number returns a setting for a number in a range, which may have decimals.
func number[S any](section, key string, def, low, high float64, help string, set func(*S, float64)) Key[S] {
	format := func(f float64) string { return strconv.FormatFloat(f, 'f', -1, 64) }

	return Key[S]{
		Section: section, Name: key, Default: format(def), Help: help,
		Accepted: fmt.Sprintf("a number from %s to %s", format(low), format(high)),
		set: func(s *S, v string) bool {
			n, err := strconv.ParseFloat(v, 64)
			set(s, n)

			return err == nil && n >= low && n <= high
		},
	}
}

// percent returns a policy setting that is given in whole percent and stored as a ratio.
func percent[S any](key string, def, low, high int, help string, set func(*S, float64)) Key[S] {
	return integer("policy", key+"_percent", def, low, high, help, func(s *S, n int) { set(s, float64(n)/100) })
}

// millis returns a setting for a time in milliseconds.
func millis[S any](section, key string, def, low, high int, help string, set func(*S, spar.Millis)) Key[S] {
	return integer(section, key, def, low, high, help, func(s *S, n int) { set(s, spar.Millis(n)) })
}
