package route_test

import (
	"io"
	"net/http"
	"strings"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/fault"
)

// abortListener aborts its open connections when it is closed, as the end of a process does.
type abortListener struct {
	*fault.PipeListener

	addr string
}

func newListener(p *fault.PipeNet, addr string) abortListener {
	return abortListener{PipeListener: p.Listen(addr), addr: addr}
}

// Close refuses new connections and aborts open ones.
func (l abortListener) Close() error {
	l.Abort()

	return nil
}

// misroutingTransport returns the response of another request if the fault header is "cross hop".
type misroutingTransport struct {
	http.RoundTripper
}

func (t misroutingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.RoundTripper.RoundTrip(r)
	if err == nil && r.Header.Get("X-Fault") == "cross hop" {
		_ = resp.Body.Close()
		resp.Header.Set(spar.HeaderRequest, "another")
		resp.Body = io.NopCloser(strings.NewReader("another"))
		resp.Header.Del("Content-Length")
	}

	return resp, err
}
