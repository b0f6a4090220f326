// Package launch starts a deployment as separate processes and injects failures from outside.
package launch

import (
	"errors"
	"fmt"
	"strings"

	"gopkg.in/ini.v1"

	spar "sardinespar.example/spar"
)

// Deployment is what a deployment file says.
type Deployment struct {
	Name     string
	Region   spar.Region
	Zones    []spar.Zone
	LinkMs   float64
	BasePort int
	Services []Service
	Traffic  []Traffic
}

// Service is one service and the number and kind of its upstreams.
type Service struct {
	spar.Service

	Upstreams    int
	WorkMs       float64
	ChecksGrants bool
}

// Kind is a kind of traffic.
type Kind string

// The kinds of traffic: idempotent reads, non-idempotent requests with a token, and downloads.
const (
	KindRead     Kind = "read"
	KindOnce     Kind = "once"
	KindDownload Kind = "download"
)

// Traffic is one open-loop stream of requests.
type Traffic struct {
	Name     string
	Service  string
	Kind     Kind
	Rate     float64
	Keys     int
	HotShare float64
	Bytes    int64
}

// WithRate returns t at rate times its rate.
func (t Traffic) WithRate(times float64) Traffic {
	t.Rate *= times

	return t
}

// WithHotShare returns t with a share of its requests on one key.
func (t Traffic) WithHotShare(share float64) Traffic {
	t.HotShare = share

	return t
}

// ReadDeployment reads and checks a deployment file.
func ReadDeployment(file string) (Deployment, error) {
	f, err := ini.Load(file)
	if err != nil {
		return Deployment{}, fmt.Errorf("read deployment: %w", err)
	}

	head := f.Section("deployment")
	d := Deployment{
		Name:     head.Key("name").String(),
		Region:   spar.Region(head.Key("region").String()),
		LinkMs:   head.Key("link_ms").MustFloat64(0),
		BasePort: head.Key("base_port").MustInt(0),
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
				Name: name, Service: s.Key("service").String(), Kind: Kind(s.Key("kind").String()),
				Rate: s.Key("rate").MustFloat64(0), Keys: s.Key("keys").MustInt(1),
				HotShare: s.Key("hot_share").MustFloat64(0), Bytes: s.Key("bytes").MustInt64(0),
			})
		}
	}

	return d, d.check()
}

// check returns everything that is wrong with a deployment.
func (d Deployment) check() error {
	var faults []error

	if d.Name == "" || d.Region == "" || len(d.Zones) == 0 || d.BasePort <= 0 {
		faults = append(faults, errors.New("[deployment] needs name, region, zones and base_port"))
	}

	known := map[string]bool{}

	for _, s := range d.Services {
		known[s.Name] = true

		if (s.Mode != spar.ModeKeyed && s.Mode != spar.ModeAny) || s.Slots < 1 || s.Upstreams < 1 {
			faults = append(faults, fmt.Errorf("[service.%s] needs mode, slots and upstreams", s.Name))
		}
	}

	for _, t := range d.Traffic {
		if !known[t.Service] || t.Rate <= 0 || t.Keys < 1 {
			faults = append(faults, fmt.Errorf("[traffic.%s] needs a known service, rate and keys", t.Name))
		}

		if t.Kind != KindRead && t.Kind != KindOnce && t.Kind != KindDownload {
			faults = append(faults, fmt.Errorf("[traffic.%s] kind must be read, once or download", t.Name))
		}
	}

	return errors.Join(faults...)
}

// Scaled returns d with the number of upstreams of each service multiplied.
func (d Deployment) Scaled(times int) Deployment {
	services := make([]Service, len(d.Services))
	for i, s := range d.Services {
		s.Upstreams *= times
		services[i] = s
	}

	d.Services = services

	return d
}
