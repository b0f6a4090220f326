package peers

import (
	"encoding/json"
	"io"
	"log"

	"github.com/sourcegraph/jsonrpc2"

	spar "sardinespar.example/spar"
)

// LogicalClock is a hybrid logical clock. Now returns the timestamp for an outgoing message, and Observe advances the
// clock past a received one.
type LogicalClock interface {
	Now() spar.Timestamp
	Observe(s spar.Timestamp)
}

// SetLogicalClock sets the clock that provides the timestamps of calls and observes those of replies. It must be called
// before the first call.
func (p *Pool) SetLogicalClock(c LogicalClock) *Pool {
	p.clock = c

	return p
}

// SetLogicalClock sets the clock that provides the timestamps of replies and observes those of calls. It must be called
// before Serve.
func (s *Server) SetLogicalClock(c LogicalClock) *Server {
	s.clock = c

	return s
}

// connOptions returns the options of a connection. If there is a clock, every message of the connection carries
// a timestamp in its meta field, as [wall milliseconds, counter] to save bytes.
func connOptions(clock LogicalClock) []jsonrpc2.ConnOpt {
	// By default, the library writes a line to standard error for each connection that ends during a call. The
	// caller gets that error anyway.
	discardLog := jsonrpc2.SetLogger(log.New(io.Discard, "", 0))
	if clock == nil {
		return []jsonrpc2.ConnOpt{discardLog}
	}

	return []jsonrpc2.ConnOpt{
		discardLog,
		jsonrpc2.OnSend(func(req *jsonrpc2.Request, resp *jsonrpc2.Response) {
			switch meta := encodeTimestamp(clock.Now()); {
			case req != nil:
				req.Meta = meta
			case resp != nil:
				resp.Meta = meta
			}
		}),
		jsonrpc2.OnRecv(func(req *jsonrpc2.Request, resp *jsonrpc2.Response) {
			switch {
			case resp != nil:
				observeMeta(clock, resp.Meta)
			case req != nil:
				observeMeta(clock, req.Meta)
			}
		}),
	}
}

func encodeTimestamp(s spar.Timestamp) *json.RawMessage {
	data, err := json.Marshal([2]int64{s.Wall, int64(s.Counter)})
	if err != nil {
		panic("peers: encode timestamp: " + err.Error())
	}

	return (*json.RawMessage)(&data)
}

// observeMeta passes the timestamp in the meta field of a message to the clock. Messages of sparctl have none.
func observeMeta(clock LogicalClock, meta *json.RawMessage) {
	var pair [2]int64

	if meta == nil || json.Unmarshal(*meta, &pair) != nil || pair[1] < 0 || pair[1] > 1<<32-1 {
		return
	}

	clock.Observe(spar.Timestamp{Wall: pair[0], Counter: uint32(pair[1])})
}
