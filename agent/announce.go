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

// The states that a backend server can announce.
const (
	StateUp      = "up"
	StateLeaving = "leaving"
)

// Announcement is what a backend server regularly reports about itself to the spard on its VM. SlotsOfService
// is the number of slots of a keyed service. Slots and Conns are the numbers of requests and of connections
// that the server can handle at once.
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

func (a Announcement) toService() spar.Service {
	return spar.Service{Name: a.Service, Mode: a.Mode, Slots: a.SlotsOfService}
}

// maxCapacity bounds the capacity that a backend server may announce, which determines the sizes of queues and
// shares.
const maxCapacity = 1 << 20

// serviceNameRE excludes names that would change the structure of the row keys that contain them.
var serviceNameRE = regexp.MustCompile(`^[A-Za-z0-9_-]{1,64}$`)

// ParseAnnouncement reads and validates an announcement. It refuses unknown fields.
func ParseAnnouncement(r io.Reader) (Announcement, error) {
	var announcement Announcement

	decoder := json.NewDecoder(r)
	decoder.DisallowUnknownFields()

	if err := decoder.Decode(&announcement); err != nil {
		return Announcement{}, fmt.Errorf("announcement can't be read: %w", err)
	}

	if decoder.More() {
		return Announcement{}, errors.New("announcement has data after its end")
	}

	if err := announcement.validate(); err != nil {
		return Announcement{}, err
	}

	return announcement, nil
}

// validate returns an error that describes the first invalid field.
func (a Announcement) validate() error {
	switch {
	case !serviceNameRE.MatchString(a.Service):
		return errors.New("service must have 1 to 64 letters, digits, - or _")
	case a.Mode != spar.ModeKeyed && a.Mode != spar.ModeAny:
		return fmt.Errorf("mode %q: must be keyed or any", a.Mode)
	case a.Mode == spar.ModeKeyed && (a.SlotsOfService < 1 || a.SlotsOfService > 1<<16):
		return fmt.Errorf("slots_of_service %d: must be 1 to 65536", a.SlotsOfService)
	case !isNumericAddr(a.Addr):
		return fmt.Errorf("addr %q: must be IP:PORT", a.Addr)
	case a.Slots < 1 || a.Conns < 1 || a.Slots > maxCapacity || a.Conns > maxCapacity:
		return fmt.Errorf("slots and conns must be 1 to %d", maxCapacity)
	case a.State != StateUp && a.State != StateLeaving:
		return fmt.Errorf("state %q: must be up or leaving", a.State)
	default:
		return nil
	}
}

func isNumericAddr(addr string) bool {
	a, err := netip.ParseAddrPort(addr)

	return err == nil && a.Port() > 0 && a.Addr().Zone() == ""
}

// localMux returns the handler of the local listener. Registrations run until ctx ends.
func (a *Agent) localMux(ctx context.Context) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /debug/vars", a.ops.metrics)
	mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("PUT /announce", func(w http.ResponseWriter, r *http.Request) { a.serveAnnounce(ctx, w, r) })

	return mux
}

// serveAnnounce handles a backend server's announcement. The first one registers the node.
func (a *Agent) serveAnnounce(ctx context.Context, w http.ResponseWriter, r *http.Request) {
	announcement, err := ParseAnnouncement(http.MaxBytesReader(w, r.Body, maxAnnouncementBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)

		return
	}

	w.WriteHeader(a.handleAnnouncement(ctx, announcement))
}

// handleAnnouncement updates the registration and returns the HTTP status of the response. To a leaving backend
// server, the status Gone means that it gets no more requests.
func (a *Agent) handleAnnouncement(ctx context.Context, announcement Announcement) int {
	a.mu.Lock()
	defer a.mu.Unlock()

	reg, leaving := a.registration, announcement.State == StateLeaving
	if reg != nil {
		reg.recordAnnouncement()
	}

	switch {
	case leaving && (reg == nil || reg.isDrained()):
		return http.StatusGone
	case leaving:
		reg.startLeaving("backend server leaves")
	case reg == nil && !a.closing.Load():
		a.startRegistration(ctx, announcement)
	}

	return http.StatusNoContent
}
