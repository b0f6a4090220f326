// Package launch starts a deployment as separate processes and injects failures from outside: it
// signals the processes and delays or drops their traffic.
package launch

import (
	"errors"
	"fmt"
	"strings"

	"gopkg.in/ini.v1"

	spar "sardinespar.example/spar"
)

// Deployment is the content of a deployment file.
type Deployment struct {
	Name   string
	Region spar.Region
	Zones  []spar.Zone
	// LinkRTTMs is the round-trip time that relays add to the traffic between VMs, in milliseconds;
	// 0 means no relays.
	LinkRTTMs float64
	// BasePort is the first of the ports of the deployment's processes.
	BasePort int
	Services []Service
	Traffic  []Traffic
}

// Service is one service with the number of its upstreams and the behavior of its backend servers.
type Service struct {
	spar.Service

	Upstreams int
	// WorkMs is the processing time of one request in milliseconds.
	WorkMs float64
	// ChecksGrants makes the backend servers refuse requests with a lower epoch than the highest seen.
	ChecksGrants bool
}

// TrafficKind is a kind of traffic.
type TrafficKind string

// The kinds of traffic: idempotent reads, non-idempotent requests with a token, and downloads.
const (
	KindRead     TrafficKind = "read"
	KindOnce     TrafficKind = "once"
	KindDownload TrafficKind = "download"
)

// Traffic is one open-loop stream of requests.
type Traffic struct {
	Name    string
	Service string
	Kind    TrafficKind
	// Rate is the number of requests per second.
	Rate float64
	// Keys is the number of different keys.
	Keys int
	// HotShare is the share of the requests that use a single additional key.
	HotShare float64
	// Bytes is the size of a download.
	Bytes int64
}

// WithRateFactor returns a copy of t with its rate multiplied by factor.
func (t Traffic) WithRateFactor(factor float64) Traffic {
	t.Rate *= factor

	return t
}

// WithHotShare returns a copy of t that sends the given share of its requests for a single key.
func (t Traffic) WithHotShare(share float64) Traffic {
	t.HotShare = share

	return t
}

// ReadDeployment reads and validates a deployment file.
func ReadDeployment(file string) (Deployment, error) {
	f, err := ini.Load(file)
	if err != nil {
		return Deployment{}, fmt.Errorf("read deployment: %w", err)
	}

	head := f.Section("deployment")
	d := Deployment{
		Name:      head.Key("name").String(),
		Region:    spar.Region(head.Key("region").String()),
		LinkRTTMs: head.Key("link_ms").MustFloat64(0),
		BasePort:  head.Key("base_port").MustInt(0),
	}

	for _, z := range head.Key("zones").Strings(",") {
		d.Zones = append(d.Zones, spar.Zone(z))
	}

	for _, s := range f.Sections() {
		kind, name, _ := strings.Cut(s.Name(), ".")

		switch kind {
		case "service":
			d.Services = append(d.Services, Service{
				Service: spar.Service{
					Name: name, Mode: spar.Mode(s.Key("mode").String()), Slots: s.Key("slots").MustInt(0),
				},
				Upstreams: s.Key("upstreams").MustInt(0), WorkMs: s.Key("work_ms").MustFloat64(0),
				ChecksGrants: s.Key("checks_grants").MustBool(false),
			})
		case "traffic":
			d.Traffic = append(d.Traffic, Traffic{
				Name: name, Service: s.Key("service").String(), Kind: TrafficKind(s.Key("kind").String()),
				Rate: s.Key("rate").MustFloat64(0), Keys: s.Key("keys").MustInt(1),
				HotShare: s.Key("hot_share").MustFloat64(0), Bytes: s.Key("bytes").MustInt64(0),
			})
		}
	}

	return d, d.validate()
}

// validate returns all errors of a deployment.
func (d Deployment) validate() error {
	var errs []error

	if d.Name == "" || d.Region == "" || len(d.Zones) == 0 || d.BasePort <= 0 {
		errs = append(errs, errors.New("[deployment] needs name, region, zones and base_port"))
	}

	known := map[string]bool{}

	for _, s := range d.Services {
		known[s.Name] = true

		if (s.Mode != spar.ModeKeyed && s.Mode != spar.ModeAny) || s.Slots < 1 || s.Upstreams < 1 {
			errs = append(errs, fmt.Errorf("[service.%s] needs mode, slots and upstreams", s.Name))
		}
	}

	for _, t := range d.Traffic {
		if !known[t.Service] || t.Rate <= 0 || t.Keys < 1 {
			errs = append(errs, fmt.Errorf("[traffic.%s] needs a known service, rate and keys", t.Name))
		}

		if t.Kind != KindRead && t.Kind != KindOnce && t.Kind != KindDownload {
			errs = append(errs, fmt.Errorf("[traffic.%s] kind must be read, once or download", t.Name))
		}
	}

	return errors.Join(errs...)
}

// WithScale returns a copy of d with the number of upstreams of each service multiplied by factor.
func (d Deployment) WithScale(factor int) Deployment {
	services := make([]Service, len(d.Services))
	for i, s := range d.Services {
		s.Upstreams *= factor
		services[i] = s
	}

	d.Services = services

	return d
}
