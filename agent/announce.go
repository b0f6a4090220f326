package agent

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/pprof"
	"net/netip"
	"regexp"

	spar "sardinespar.example/spar"
)

const maxAnnouncementBytes = 64 << 10

// The states that a backend server announces.
const (
	StateUp      = "up"
	StateLeaving = "leaving"
)

// Announcement is what a backend server tells its local spard about itself.
type Announcement struct {
	Service        string    `json:"service"`
	Mode           spar.Mode `json:"mode"`
	SlotsOfService int       `json:"slots_of_service"`
	Addr           string    `json:"addr"`
	Slots          int       `json:"slots"`
	Conns          int       `json:"conns"`
	ChecksGrants   bool      `json:"checks_grants"`
	State          string    `json:"state"`
}

func (n Announcement) shape() spar.Service {
	return spar.Service{Name: n.Service, Mode: n.Mode, Slots: n.SlotsOfService}
}

// maxCapacity bounds what a backend server may say it bears, which sizes queues and shares.
const maxCapacity = 1 << 20

// serviceName keeps names out of a row's key that would change its structure.
var serviceName = regexp.MustCompile(`^[A-Za-z0-9_-]{1,64}$`)

// ParseAnnouncement reads an announcement and checks it in full.
func ParseAnnouncement(r io.Reader) (Announcement, error) {
	var n Announcement

	decoder := json.NewDecoder(r)
	decoder.DisallowUnknownFields()

	if err := decoder.Decode(&n); err != nil {
		return Announcement{}, fmt.Errorf("announcement can't be read: %w", err)
	}

	if decoder.More() {
		return Announcement{}, errors.New("announcement has data after its end")
	}

	if err := n.check(); err != nil {
		return Announcement{}, err
	}

	return n, nil
}

// check returns what is wrong with an announcement.
func (n Announcement) check() error {
	switch {
	case !serviceName.MatchString(n.Service):
		return errors.New("service must have 1 to 64 letters, digits, - or _")
	case n.Mode != spar.ModeKeyed && n.Mode != spar.ModeAny:
		return fmt.Errorf("mode %q: must be keyed or any", n.Mode)
	case n.Mode == spar.ModeKeyed && (n.SlotsOfService < 1 || n.SlotsOfService > 1<<16):
		return fmt.Errorf("slots_of_service %d: must be 1 to 65536", n.SlotsOfService)
	case !numericAddr(n.Addr):
		return fmt.Errorf("addr %q: must be IP:PORT", n.Addr)
	case n.Slots < 1 || n.Conns < 1 || n.Slots > maxCapacity || n.Conns > maxCapacity:
		return fmt.Errorf("slots and conns must be 1 to %d", maxCapacity)
	case n.State != StateUp && n.State != StateLeaving:
		return fmt.Errorf("state %q: must be up or leaving", n.State)
	default:
		return nil
	}
}

func numericAddr(addr string) bool {
	a, err := netip.ParseAddrPort(addr)

	return err == nil && a.Port() > 0 && a.Addr().Zone() == ""
}

func (a *Agent) localMux(ctx context.Context) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /debug/vars", a.ops.metrics)
	mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("PUT /announce", func(w http.ResponseWriter, r *http.Request) { a.announce(ctx, w, r) })

	return mux
}

// announce takes a backend server's announcement; the first one registers the node.
func (a *Agent) announce(ctx context.Context, w http.ResponseWriter, r *http.Request) {
	n, err := ParseAnnouncement(http.MaxBytesReader(w, r.Body, maxAnnouncementBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)

		return
	}

	w.WriteHeader(a.announced(ctx, n))
}

// announced takes note of an announcement and returns the status of its answer: Gone tells a backend
// server that leaves that it gets no more work.
func (a *Agent) announced(ctx context.Context, n Announcement) int {
	a.mu.Lock()
	defer a.mu.Unlock()

	t, leaving := a.registration, n.State == StateLeaving
	if t != nil {
		t.announced()
	}

	switch {
	case leaving && (t == nil || t.vacated()):
		return http.StatusGone
	case leaving:
		t.depart("backend server leaves")
	case t == nil && !a.closing.Load():
		a.join(ctx, n)
	}

	return http.StatusNoContent
}
