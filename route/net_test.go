package route_test

import (
	"io"
	"net/http"
	"strings"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/fault"
)

// listener breaks its open connections when it is closed, as the end of a process does.
type listener struct {
	*fault.PipeListener

	addr string
}

func listen(p *fault.Pipes, addr string) listener {
	return listener{PipeListener: p.Listen(addr), addr: addr}
}

// Close refuses connections from now on and breaks those that are open.
func (l listener) Close() error {
	l.Cut()

	return nil
}

// crossing gives nodes the answer to another request where a request asks for it.
type crossing struct {
	http.RoundTripper
}

func (c crossing) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := c.RoundTripper.RoundTrip(r)
	if err == nil && r.Header.Get("X-Fault") == "cross hop" {
		_ = resp.Body.Close()
		resp.Header.Set(spar.HeaderRequest, "another")
		resp.Body = io.NopCloser(strings.NewReader("another"))
		resp.Header.Del("Content-Length")
	}

	return resp, err
}
