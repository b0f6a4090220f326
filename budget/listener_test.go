package budget_test

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	qt "github.com/frankban/quicktest"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/budget"
	"sardinespar.example/spar/conns"
)

const (
	// short is a stall time that passes during a test, and long one that does not.
	short spar.Millis = 50
	long  spar.Millis = 600_000
)

// door is a running Listener with the connections that it has accepted.
type door struct {
	*qt.C

	budget   *budget.Budget
	listener *budget.Listener
	accepted chan net.Conn
}

func open(t *testing.T, b *budget.Budget, connections int, stallTime spar.Millis) *door {
	t.Helper()

	ln, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)

	d := &door{C: qt.New(t), budget: b, accepted: make(chan net.Conn, 100)}
	d.listener = budget.NewListener(ln, budget.Settings{
		Connections: connections, StallTime: stallTime, SlowTime: 20 * stallTime,
	}, budget.Deps{
		Clock: spar.RuntimeClock(), Budget: b, Log: log.New(io.Discard),
	})

	go d.listener.Run(t.Context())
	go d.accept()

	t.Cleanup(func() { _ = ln.Close() })

	return d
}

func (d *door) accept() {
	for {
		c, err := d.listener.Accept()
		if err != nil {
			return
		}

		d.accepted <- c
	}
}

// dial opens a connection from an address of the loopback network.
func (d *door) dial(from string) (net.Conn, error) {
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(from)}}

	return dialer.Dial("tcp", d.listener.Addr().String())
}

// refuses reports whether a new connection is closed. Its reset may arrive while it is being opened.
func (d *door) refuses(from string) bool {
	c, err := d.dial(from)
	if err != nil {
		return errors.Is(err, syscall.ECONNRESET)
	}
	defer c.Close()

	return isClosed(c, soon)
}

// connect opens a connection and waits until it is accepted.
func (d *door) connect(from string) (client, server net.Conn) {
	d.Helper()

	client, err := d.dial(from)
	d.Assert(err, qt.IsNil)
	d.Cleanup(func() { _ = client.Close() })

	select {
	case server = <-d.accepted:
		d.Cleanup(func() { _ = server.Close() })
	case <-time.After(10 * time.Second):
		d.Fatal("connection is not accepted")
	}

	return client, server
}

// hold opens a connection whose account holds n bytes.
func (d *door) hold(from string, n int64) (client, server net.Conn) {
	d.Helper()

	client, server = d.connect(from)
	d.Assert(d.budget.Open(server.RemoteAddr().String()).Take(n), qt.IsTrue)

	return client, server
}

// isClosed reports whether the server closes a connection within a time.
func isClosed(c net.Conn, within time.Duration) bool {
	_ = c.SetReadDeadline(time.Now().Add(within))
	_, err := c.Read(make([]byte, 1))

	return err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
}

const (
	// soon is the time within which what must happen has happened, and quiet that in which nothing may happen.
	soon  = 10 * time.Second
	quiet = 300 * time.Millisecond
)

// Guards against more connections than descriptors, and against a refused connection that still counts.
func TestConnectionsBeyondTheLimitAreClosed(t *testing.T) {
	d := open(t, budget.New(0, 1), 8, long)
	clients := make([]net.Conn, 8)

	for i := range clients {
		clients[i], _ = d.connect("127.0.0.1")
	}

	d.Check(d.refuses("127.0.0.1"), qt.IsTrue)

	for _, c := range clients {
		d.Check(isClosed(c, quiet/10), qt.IsFalse)
	}

	_ = clients[0].Close()
}

// Guards against a limit that counts closed connections, so that no client is accepted any more.
func TestClosedConnectionsMakeRoom(t *testing.T) {
	d := open(t, budget.New(0, 1), 1, long)

	for range 5 {
		_, server := d.connect("127.0.0.1")
		d.Check(server.Close(), qt.IsNil)
		_ = server.Close()
	}

	_, _ = d.connect("127.0.0.1")
	d.Check(d.refuses("127.0.0.1"), qt.IsTrue)
}

// Guards against clients that take all connections without using them. Those of the address with the most
// connections are closed first, and only so many that there is room.
func TestStalledConnectionsMakeRoomForOthers(t *testing.T) {
	d := open(t, budget.New(0, 1), 16, short)
	few, _ := d.connect("127.0.0.2")

	many := make([]net.Conn, 15)

	for i := range many {
		many[i], _ = d.connect("127.0.0.3")

		time.Sleep(short.Duration() / 10)
	}

	_, _ = d.connect("127.0.0.2")

	closed := 0

	for _, c := range many {
		if isClosed(c, quiet) {
			closed++
		}
	}

	d.Check(closed >= 3 && closed < 15, qt.IsTrue, qt.Commentf("%d closed", closed))
	d.Check(isClosed(few, quiet), qt.IsFalse)
}

// Guards against memory that stalled clients hold without end. The connection that holds the most is closed first, and
// the others stay open once there is room.
func TestLargestStalledConnectionIsClosed(t *testing.T) {
	d := open(t, budget.New(100, 1), 100, short)
	small, _ := d.hold("127.0.0.2", 20)
	large, _ := d.hold("127.0.0.3", 60)

	time.Sleep(2 * short.Duration())
	d.Check(d.budget.Open("127.0.0.4").Take(25), qt.IsFalse)

	d.Check(isClosed(large, soon), qt.IsTrue)
	d.Check(isClosed(small, quiet), qt.IsFalse)
}

// Guards against a client address that holds its share by stalled connections, so that its other clients are refused
// for ever although the total is not used up.
func TestStalledConnectionsOfOneClientAreClosed(t *testing.T) {
	d := open(t, budget.New(1000, 0.1), 100, short)
	stalled, _ := d.hold("127.0.0.2", 60)
	other, _ := d.hold("127.0.0.3", 90)

	time.Sleep(2 * short.Duration())
	d.Check(d.budget.Open("127.0.0.2").Take(50), qt.IsFalse)

	d.Check(isClosed(stalled, soon), qt.IsTrue)
	d.Check(isClosed(other, quiet), qt.IsFalse)
}

// Guards against closing connections whose clients do nothing wrong: they have just sent bytes, their request is
// running, or their bytes have not been read yet.
func TestOthersAreNotClosed(t *testing.T) {
	for name, tt := range map[string]struct {
		stallTime spar.Millis
		prepare   func(client, server net.Conn)
	}{
		"recent": {long, func(net.Conn, net.Conn) {}},
		"running": {short, func(_, server net.Conn) {
			budget.Running(conns.WithConn(context.Background(), server))
		}},
		"unread": {short, func(client, _ net.Conn) { _, _ = io.WriteString(client, "x") }},
	} {
		t.Run(name, func(t *testing.T) {
			d := open(t, budget.New(100, 1), 100, tt.stallTime)
			client, server := d.hold("127.0.0.2", 80)
			tt.prepare(client, server)

			time.Sleep(2 * short.Duration())
			d.Check(d.budget.Open("127.0.0.4").Take(25), qt.IsFalse)
			d.Check(isClosed(client, quiet), qt.IsFalse)
		})
	}
}

// Guards against clients that send their requests so slowly that they hold connections and memory without end. Another
// client, which holds less, stays connected.
func TestSlowConnectionIsClosed(t *testing.T) {
	d := open(t, budget.New(100, 1), 100, short)
	slow, server := d.hold("127.0.0.2", 60)
	other, _ := d.hold("127.0.0.3", 20)

	go func() { _, _ = io.Copy(io.Discard, server) }()

	for end := time.Now().Add(soon); ; time.Sleep(short.Duration() / 5) {
		if _, err := io.WriteString(slow, "x"); err != nil {
			break
		}

		if time.Now().After(end) {
			t.Fatal("connection is still open")
		}

		_, _ = io.WriteString(other, "x")
		d.budget.Open("127.0.0.4").Take(25)
	}

	d.Check(isClosed(other, quiet), qt.IsFalse)
}

// Guards against a client that does not read its response, which is held in memory meanwhile.
func TestUnreadResponseIsStalled(t *testing.T) {
	d := open(t, budget.New(100, 1), 100, short)
	client, server := d.hold("127.0.0.2", 80)
	done := budget.Running(conns.WithConn(context.Background(), server))

	defer done()

	failed := make(chan error, 1)

	go func() {
		for {
			if _, err := server.Write(make([]byte, 1<<20)); err != nil {
				failed <- err

				return
			}
		}
	}()

	for end := time.Now().Add(soon); time.Now().Before(end); time.Sleep(short.Duration()) {
		d.budget.Open("127.0.0.4").Take(25)

		select {
		case <-failed:
			_ = client.Close()

			return
		default:
		}
	}

	t.Error("connection is still open")
}

// Guards against a full budget in which new connections still take the room of the requests on open ones.
func TestConnectionsAreRefusedFirst(t *testing.T) {
	d := open(t, budget.New(100, 1), 100, long)
	_, _ = d.hold("127.0.0.2", 88)

	d.Check(d.refuses("127.0.0.3"), qt.IsTrue)
	d.Check(d.budget.Open("127.0.0.2").Take(12), qt.IsTrue)
}

// Guards against closing further connections while those that were closed still hold their memory.
func TestClosedConnectionsAreNotCountedTwice(t *testing.T) {
	d := open(t, budget.New(100, 1), 100, short)
	first, _ := d.hold("127.0.0.2", 45)
	second, _ := d.hold("127.0.0.3", 40)

	time.Sleep(2 * short.Duration())

	for range 5 {
		d.Check(d.budget.Open("127.0.0.4").Take(25), qt.IsFalse)
		time.Sleep(120 * time.Millisecond)
	}

	d.Check(isClosed(first, soon), qt.IsTrue)
	d.Check(isClosed(second, quiet), qt.IsFalse)
}

// Guards against a connection that gives no access to its socket, by which closed clients are recognized.
func TestConnectionIsSocket(t *testing.T) {
	d := open(t, budget.New(0, 1), 100, short)
	client, server := d.connect("127.0.0.1")

	_, ok := server.(syscall.Conn)
	d.Check(ok, qt.IsTrue)

	ctx := conns.WithConn(context.Background(), server)
	d.Check(conns.CallerClosed(ctx), qt.IsFalse)

	_ = client.Close()

	for end := time.Now().Add(soon); !conns.CallerClosed(ctx); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("closed client is not recognized")
		}
	}
}
