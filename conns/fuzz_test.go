package conns_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/conns"
)

// FuzzAnswer guards against a panic on arbitrary bytes from a faulty server, and against accepting a response
// whose identifier is not that of the request.
func FuzzAnswer(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nab"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nId: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n" +
		"HTTP/1.1 204 X\r\nId: 1\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 101 X\r\n\r\n"))

	f.Fuzz(func(t *testing.T, data []byte) {
		client, server := net.Pipe()

		go func() {
			go func() { _, _ = io.Copy(io.Discard, server) }()

			_, _ = server.Write(data)
			_ = server.Close()
		}()

		pool := conns.New(func(context.Context, string) (net.Conn, error) { return client, nil }, spar.RuntimeClock(),
			conns.Options{MaxIdle: 1, IdleTimeout: 1000})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()

		resp, failure := pool.Send(ctx, "a", conns.Request{
			Method: http.MethodGet, URI: "/", Host: "a", Header: http.Header{},
			Match: func(h http.Header) conns.Match { return conns.RequireID(h.Get("Id"), "1") },
		})
		if failure != nil {
			_ = client.Close()

			return
		}

		if resp.Header.Get("Id") != "1" {
			t.Fatalf("response to request %q accepted", resp.Header.Get("Id"))
		}

		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		_ = client.Close()
	})
}
