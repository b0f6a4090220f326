package table

import (
	"encoding/json"
	"net/http"
	"strconv"

	spar "sardinespar.example/spar"
)

// maxTxnBytes is the largest accepted size of an encoded transaction.
const maxTxnBytes = 16 << 20

// Handler returns a handler that serves the table service's HTTP interface for t. The platform's stand-in uses it.
func Handler(t spar.Table) http.Handler {
	mux := http.NewServeMux()

	mux.HandleFunc("GET /table/row", func(w http.ResponseWriter, r *http.Request) {
		row, ok, err := t.Get(r.Context(), r.URL.Query().Get("key"))
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)

			return
		}

		if !ok {
			http.NotFound(w, r)

			return
		}

		writeJSON(w, row)
	})

	mux.HandleFunc("GET /table/scan", func(w http.ResponseWriter, r *http.Request) {
		since, err := strconv.ParseInt(r.URL.Query().Get("since"), 10, 64)
		if err != nil {
			http.Error(w, "since must be a revision", http.StatusBadRequest)

			return
		}

		rows, revision, err := t.Scan(r.Context(), r.URL.Query().Get("prefix"), spar.Revision(since))
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)

			return
		}

		writeJSON(w, ScanReply{Rows: rows, Revision: revision})
	})

	mux.HandleFunc("POST /table/commit", func(w http.ResponseWriter, r *http.Request) {
		var txn spar.Txn
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxTxnBytes)).Decode(&txn); err != nil {
			http.Error(w, "transaction can't be read: "+err.Error(), http.StatusBadRequest)

			return
		}

		writeJSON(w, t.Commit(r.Context(), txn))
	})

	return mux
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
