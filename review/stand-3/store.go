package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Limits of one read of rows, as the pages give them.
const (
	maxPageRows  = 500
	maxPageBytes = 1 << 20
)

// rowID names a row of the store.
type rowID struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	Key   string `json:"key"`
}

// row is a row as the store's replies show it.
type row struct {
	rowID

	Value     []byte `json:"value,omitempty"`
	Ver       int64  `json:"ver,omitempty"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// store is a stand-in for the platform's metadata store. It keeps its whole history.
type store struct {
	start time.Time

	mu      sync.Mutex
	ver     int64
	rows    map[rowID]row
	history []row
	changed chan struct{}
}

func newStore() *store {
	return &store{start: time.Now(), rows: map[rowID]row{}, changed: make(chan struct{})}
}

// put writes a row in the operator's name.
func (s *store) put(table, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}

	s.mu.Lock()
	defer s.mu.Unlock()

	s.ver++
	s.writeLocked(row{rowID: rowID{Table: table, Key: key}, Value: data, Ver: s.ver})
	s.notifyLocked()
}

func (s *store) writeLocked(r row) {
	if r.Tombstone {
		delete(s.rows, r.rowID)
	} else {
		s.rows[r.rowID] = r
	}

	s.history = append(s.history, r)
}

func (s *store) notifyLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) now() int64 {
	return time.Since(s.start).Milliseconds() + 1
}

// ServeHTTP handles the calls of the store.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(2 * time.Millisecond)

	switch r.Method + " " + r.URL.Path {
	case "POST /sardinespar/rows-tx":
		s.commit(w, r)
	case "GET /sardinespar/rows-get":
		s.get(w, r)
	case "GET /sardinespar/rows-parts":
		s.parts(w, r)
	case "GET /sardinespar/rows-feed":
		s.feed(w, r)
	default:
		http.NotFound(w, r)
	}
}

type transaction struct {
	Expect  []row   `json:"expect_rev"`
	Upserts []row   `json:"upserts"`
	Remove  []rowID `json:"remove"`
}

// writable reports whether the system may write the tables of a transaction.
func (t transaction) writable() bool {
	for _, u := range t.Upserts {
		if u.Table == "op" || u.Table == "servers" {
			return false
		}
	}

	return !slices.ContainsFunc(t.Remove, func(id rowID) bool { return id.Table == "op" || id.Table == "servers" })
}

func (s *store) commit(w http.ResponseWriter, r *http.Request) {
	var t transaction
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)

		return
	}

	if !t.writable() {
		http.Error(w, "table is the operator's", http.StatusForbidden)

		return
	}

	s.mu.Lock()
	defer s.mu.Unlock()

	conflict := false
	current := []row{}

	for _, e := range t.Expect {
		found, ok := s.rows[e.rowID]
		if ok {
			current = append(current, found)
		}

		conflict = conflict || found.Ver != e.Ver
	}

	if conflict {
		reply(w, http.StatusPreconditionFailed, map[string]any{"rows": current, "ver": s.ver, "now_ms": s.now()})

		return
	}

	s.ver++

	for _, u := range t.Upserts {
		s.writeLocked(row{rowID: u.rowID, Value: u.Value, Ver: s.ver})
	}

	for _, id := range t.Remove {
		if _, ok := s.rows[id]; ok {
			s.writeLocked(row{rowID: id, Ver: s.ver, Tombstone: true})
		}
	}

	s.notifyLocked()
	reply(w, http.StatusOK, map[string]any{"ver": s.ver, "now_ms": s.now()})
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, _ := strconv.Atoi(q.Get("limit"))

	if limit <= 0 || limit > maxPageRows {
		limit = maxPageRows
	}

	s.mu.Lock()
	defer s.mu.Unlock()

	rows := []row{}

	for id, found := range s.rows {
		if id.Table == q.Get("table") && id.Part == q.Get("part") && id.Key >= q.Get("from") &&
			(!q.Has("to") || id.Key < q.Get("to")) {
			rows = append(rows, found)
		}
	}

	slices.SortFunc(rows, func(a, b row) int {
		if a.Key < b.Key {
			return -1
		}

		return 1
	})

	n, size := 0, 0
	for n < len(rows) && n < limit && size < maxPageBytes {
		size += len(rows[n].Value)
		n++
	}

	reply(w, http.StatusOK, map[string]any{
		"rows": rows[:n], "has_more": n < len(rows), "ver": s.ver, "now_ms": s.now(),
	})
}

func (s *store) parts(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()

	seen := map[string]bool{}
	for id := range s.rows {
		if id.Table == r.URL.Query().Get("table") && id.Part > r.URL.Query().Get("after") {
			seen[id.Part] = true
		}
	}

	parts := []string{}
	for p := range seen {
		parts = append(parts, p)
	}

	slices.Sort(parts)
	reply(w, http.StatusOK, map[string]any{"parts": parts, "has_more": false, "ver": s.ver, "now_ms": s.now()})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	end := time.After(time.Duration(min(wait, 30_000)) * time.Millisecond)

	for {
		s.mu.Lock()
		rows := []row{}

		for _, h := range s.history {
			if h.Table == q.Get("table") && h.Ver > after {
				rows = append(rows, h)
			}
		}

		ver, changed := s.ver, s.changed
		s.mu.Unlock()

		last := len(rows) > 0

		if !last {
			select {
			case <-changed:
				continue
			case <-end:
				last = true
			case <-r.Context().Done():
				return
			}
		}

		reply(w, http.StatusOK, map[string]any{"rows": rows, "ver": ver, "now_ms": s.now()})

		return
	}
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
