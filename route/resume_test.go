package route_test

import (
	"net/http"
	"time"
)

func serveFile(w http.ResponseWriter, r *http.Request, _ string) {
	http.ServeContent(w, r, "", time.Time{}, nil)
}
