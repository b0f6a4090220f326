package agent

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

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

// check returns what is wrong with an announcement.
func (n Announcement) check() error {
	switch {
	case n.Service == "":
		return fmt.Errorf("service must not be empty")
	case n.Mode != spar.ModeKeyed && n.Mode != spar.ModeAny:
		return fmt.Errorf("mode %q: must be keyed or any", n.Mode)
	case n.Mode == spar.ModeKeyed && (n.SlotsOfService < 1 || n.SlotsOfService > 1<<16):
		return fmt.Errorf("slots_of_service %d: must be 1 to 65536", n.SlotsOfService)
	case n.Addr == "":
		return fmt.Errorf("addr must not be empty")
	case n.Slots < 1 || n.Conns < 1:
		return fmt.Errorf("slots and conns must be at least 1")
	case n.State != StateUp && n.State != StateLeaving:
		return fmt.Errorf("state %q: must be up or leaving", n.State)
	default:
		return nil
	}
}

func (a *Agent) localMux(ctx context.Context) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /debug/vars", a.ops.metrics)
	mux.HandleFunc("PUT /announce", func(w http.ResponseWriter, r *http.Request) { a.announce(ctx, w, r) })

	return mux
}

// announce takes a backend server's announcement; the first one registers the node.
func (a *Agent) announce(ctx context.Context, w http.ResponseWriter, r *http.Request) {
	var n Announcement

	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnouncementBytes))
	decoder.DisallowUnknownFields()

	if err := decoder.Decode(&n); err != nil {
		http.Error(w, "announcement can't be read: "+err.Error(), http.StatusBadRequest)

		return
	}

	if err := n.check(); err != nil {
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

	t, leaving := a.tenure, n.State == StateLeaving
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
