package main

import (
	"cmp"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// row is a row of the metadata store as it is sent.
type row struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Ver       int64  `json:"ver,omitempty"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

type rowID struct{ table, part, key string }

func (r row) id() rowID { return rowID{r.Table, r.Part, r.Key} }

// storeReply is the body of the store's replies.
type storeReply struct {
	Rows    []row    `json:"rows"`
	Parts   []string `json:"parts,omitempty"`
	HasMore bool     `json:"has_more"`
	Ver     int64    `json:"ver"`
	NowMS   int64    `json:"now_ms"`
}

// store is a stand-in for the platform's metadata store: linearizable, loses nothing, answers in about 4 ms.
type store struct {
	start time.Time

	mu      sync.Mutex
	ver     int64
	rows    map[rowID]row
	history []row
	changed chan struct{}
	// down is true while the store answers every call with 503.
	down bool
	// mute has the addresses of the store at which calls get no answer.
	mute map[string]bool
}

const storeDelay = 4 * time.Millisecond

func newStore() *store {
	return &store{start: time.Now(), rows: map[rowID]row{}, changed: make(chan struct{}), mute: map[string]bool{}}
}

func (s *store) listen(addr string) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}

	go func() { _ = http.Serve(ln, s) }()

	return nil
}

// setMute begins or ends a time in which the store gives no answer at some of its addresses. A call without an answer
// never gets one, and its connection delivers nothing further.
func (s *store) setMute(addrs []string, mute bool) {
	s.mu.Lock()
	defer s.mu.Unlock()

	for _, a := range addrs {
		s.mute[a] = mute
	}
}

// muted reports whether the store gives no answer to a call now.
func (s *store) muted(r *http.Request) bool {
	addr, _ := r.Context().Value(http.LocalAddrContextKey).(net.Addr)

	s.mu.Lock()
	defer s.mu.Unlock()

	return addr != nil && s.mute[addr.String()]
}

// setDown begins or ends an outage.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.down = down
}

// put writes a row of the operator; a nil value deletes it.
func (s *store) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.ver++
	s.writeLocked(row{Table: "op", Key: key, Value: value, Tombstone: value == nil})
	s.wakeLocked()
}

func (s *store) writeLocked(r row) {
	r.Ver = s.ver
	if r.Tombstone {
		delete(s.rows, r.id())
	} else {
		s.rows[r.id()] = r
	}

	s.history = append(s.history, r)
}

func (s *store) wakeLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) reply(rows []row) storeReply {
	if rows == nil {
		rows = []row{}
	}

	return storeReply{Rows: rows, Ver: s.ver, NowMS: time.Since(s.start).Milliseconds()}
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)

	s.mu.Lock()
	down := s.down
	s.mu.Unlock()

	switch {
	case down:
		w.WriteHeader(http.StatusServiceUnavailable)

		return
	case s.muted(r):
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()

		return
	}

	switch r.URL.Path {
	case "/sardinespar/rows-tx":
		s.transact(w, r)
	case "/sardinespar/rows-get":
		s.get(w, r)
	case "/sardinespar/rows-parts":
		s.parts(w, r)
	case "/sardinespar/rows-feed":
		s.feed(w, r)
	default:
		http.NotFound(w, r)
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var txn struct {
		Expect  []row `json:"expect_rev"`
		Upserts []row `json:"upserts"`
		Remove  []row `json:"remove"`
	}

	if json.NewDecoder(r.Body).Decode(&txn) != nil || len(txn.Expect)+len(txn.Upserts)+len(txn.Remove) > 100 {
		w.WriteHeader(http.StatusBadRequest)

		return
	}

	const rowBytes = 65536

	for _, x := range slices.Concat(txn.Upserts, txn.Remove) {
		switch {
		case x.Table == "op" || x.Table == "servers":
			w.WriteHeader(http.StatusForbidden)

			return
		case len(x.Value) > rowBytes:
			w.WriteHeader(http.StatusRequestEntityTooLarge)

			return
		}
	}

	s.mu.Lock()
	defer s.mu.Unlock()

	var (
		current []row
		failed  bool
	)

	for _, e := range txn.Expect {
		have, ok := s.rows[e.id()]
		if ok {
			current = append(current, have)
		}

		failed = failed || have.Ver != e.Ver
	}

	if failed {
		w.WriteHeader(http.StatusPreconditionFailed)
		_ = json.NewEncoder(w).Encode(s.reply(current))

		return
	}

	s.ver++

	for _, x := range txn.Upserts {
		s.writeLocked(x)
	}

	for _, x := range txn.Remove {
		x.Tombstone = true
		s.writeLocked(x)
	}

	s.wakeLocked()
	_ = json.NewEncoder(w).Encode(s.reply(nil))
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()

	s.mu.Lock()
	defer s.mu.Unlock()

	var rows []row

	for _, x := range s.rows {
		if x.Table == q.Get("table") && x.Part == q.Get("part") && x.Key >= q.Get("from") &&
			(q.Get("to") == "" || x.Key < q.Get("to")) {
			rows = append(rows, x)
		}
	}

	slices.SortFunc(rows, func(a, b row) int { return cmp.Compare(a.Key, b.Key) })

	limit := 500
	if n, err := strconv.Atoi(q.Get("limit")); err == nil {
		limit = min(limit, n)
	}

	out := s.reply(rows[:min(limit, len(rows))])
	out.HasMore = len(rows) > limit
	_ = json.NewEncoder(w).Encode(out)
}

func (s *store) parts(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()

	s.mu.Lock()
	defer s.mu.Unlock()

	var parts []string

	for _, x := range s.rows {
		if x.Table == q.Get("table") && x.Part > q.Get("after") && !slices.Contains(parts, x.Part) {
			parts = append(parts, x.Part)
		}
	}

	slices.Sort(parts)

	out := s.reply(nil)
	out.Parts = parts
	_ = json.NewEncoder(w).Encode(out)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)

	for {
		s.mu.Lock()
		var rows []row
		for _, x := range s.history {
			if x.Table == q.Get("table") && x.Ver > after {
				rows = append(rows, x)
			}
		}

		out, changed := s.reply(rows), s.changed
		s.mu.Unlock()

		if s.muted(r) {
			<-r.Context().Done()

			return
		}

		if len(rows) > 0 {
			_ = json.NewEncoder(w).Encode(out)

			return
		}

		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-end:
			_ = json.NewEncoder(w).Encode(out)

			return
		}
	}
}
