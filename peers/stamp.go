package peers

import (
	"encoding/json"
	"io"
	"log"

	"github.com/sourcegraph/jsonrpc2"

	spar "sardinespar.example/spar"
)

// Stamper is a hybrid logical clock.
type Stamper interface {
	Now() spar.Stamp
	Observe(s spar.Stamp)
}

// Stamped makes the pool's calls carry stamps and observe those of the replies. It must be called
// before the first call.
func (p *Pool) Stamped(s Stamper) *Pool {
	p.stamp = s

	return p
}

// Stamped makes the server's replies carry stamps and observes those of calls. It must be called
// before Serve.
func (s *Server) Stamped(c Stamper) *Server {
	s.stamp = c

	return s
}

// stamped returns the options of a connection, by which every message of a connection carries a stamp in its meta
// field, as [wall milliseconds, counter] to save bytes.
func stamped(s Stamper) []jsonrpc2.ConnOpt {
	// The library writes a line to standard error for each connection that ends during a call; the
	// caller gets that error anyway.
	quiet := jsonrpc2.SetLogger(log.New(io.Discard, "", 0))
	if s == nil {
		return []jsonrpc2.ConnOpt{quiet}
	}

	return []jsonrpc2.ConnOpt{
		quiet,
		jsonrpc2.OnSend(func(req *jsonrpc2.Request, resp *jsonrpc2.Response) {
			switch meta := encodeStamp(s.Now()); {
			case req != nil:
				req.Meta = meta
			case resp != nil:
				resp.Meta = meta
			}
		}),
		jsonrpc2.OnRecv(func(req *jsonrpc2.Request, resp *jsonrpc2.Response) {
			switch {
			case resp != nil:
				observe(s, resp.Meta)
			case req != nil:
				observe(s, req.Meta)
			}
		}),
	}
}

func encodeStamp(s spar.Stamp) *json.RawMessage {
	data, err := json.Marshal([2]int64{s.Wall, int64(s.Counter)})
	if err != nil {
		panic("peers: stamp can't be encoded: " + err.Error())
	}

	return (*json.RawMessage)(&data)
}

// observe takes over a stamp. Messages without one come from sparctl.
func observe(s Stamper, meta *json.RawMessage) {
	var pair [2]int64

	if meta == nil || json.Unmarshal(*meta, &pair) != nil || pair[1] < 0 || pair[1] > 1<<32-1 {
		return
	}

	s.Observe(spar.Stamp{Wall: pair[0], Counter: uint32(pair[1])})
}
