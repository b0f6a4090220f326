package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"
)

// Ports of a machine; every machine has a loopback address of its own.
const (
	portControl  = 18620
	portInbound  = 18624
	portReady    = 18625
	portApp      = 18628
	portOutbound = 18629
	portPeer     = 17600
	portStore    = 18627
)

// machine is a machine with one relay process and one backend server.
type machine struct {
	name    string
	ip      string
	zone    string
	service string
	// store is the address at which the relay reaches the store.
	store string

	settings string
	log      string
	cmd      *exec.Cmd
	exited   chan struct{}
}

func (m *machine) addr(port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }

// fleet starts machines and ends their processes.
type fleet struct {
	root string
	dir  string
	net  string
	rec  *record

	machines []*machine
	// ended are the machines that were taken away; their relays may still be ending.
	ended []*machine
	// added is the number of machines so far.
	added int
}

// newFleet chooses a loopback network whose addresses are free.
func newFleet(root string, rec *record) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}

	for range 50 {
		prefix := fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), 1+rand.IntN(250))
		if free(prefix+"1", portStore) && free(prefix+"11", portOutbound) && free(prefix+"11", portPeer) {
			return &fleet{root: root, dir: dir, net: prefix, rec: rec}, nil
		}
	}

	return nil, fmt.Errorf("no free loopback network")
}

func free(ip string, port int) bool {
	ln, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
	if err != nil {
		return false
	}

	_ = ln.Close()

	return true
}

func (f *fleet) storeAddr() string { return fmt.Sprintf("%s1:%d", f.net, portStore) }

// add returns a new machine; its relay is not started yet.
func (f *fleet) add(zone, service string) *machine {
	n := f.added
	f.added++
	m := &machine{
		name: fmt.Sprintf("vm-%s-%d", zone, n+1), ip: fmt.Sprintf("%s%d", f.net, 11+n), zone: zone, service: service,
		store: f.storeAddr(),
	}
	m.settings = filepath.Join(f.dir, m.name+".ini")
	m.log = filepath.Join(f.dir, m.name+".log")
	f.machines = append(f.machines, m)

	return m
}

// render fills in the project's template of the settings.
func (f *fleet) render(m *machine) error {
	text, err := os.ReadFile(filepath.Join(f.root, "deploy/relay.ini"))
	if err != nil {
		return err
	}

	out := strings.NewReplacer(
		"{{node}}", m.name, "{{zone}}", m.zone, "{{service}}", m.service, "{{app_addr}}", m.addr(portApp),
		"{{listen.outbound}}", m.addr(portOutbound), "{{listen.inbound}}", m.addr(portInbound),
		"{{listen.ready}}", m.addr(portReady), "{{listen.control}}", m.addr(portControl),
		"{{ip}}", m.ip, "{{internal_ports.0}}", fmt.Sprint(portPeer), "{{provider.address}}", m.store,
		"{{limits.link_mbps}}", "1000.0", "{{bounds.hold_max_ms}}", "10000",
		"{{#grants}}", "", "{{/grants}}", "", "{{grants}}", "heartbeat",
	).Replace(string(text))

	if strings.Contains(out, "{{") {
		return fmt.Errorf("the settings template has an unknown field: %s", out[strings.Index(out, "{{"):])
	}

	return os.WriteFile(m.settings, []byte(out), 0o600)
}

// start starts the relay of a machine with the command of the deploy file.
func (f *fleet) start(m *machine) error {
	if err := f.render(m); err != nil {
		return err
	}

	log, err := os.OpenFile(m.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()

	cmd := exec.Command(filepath.Join(f.root, "target/spard"), "relay", "--settings", m.settings)
	cmd.Dir, cmd.Stdout, cmd.Stderr = f.root, log, log
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "SARDINESPAR_BOOT=" + m.settings}
	// The relay ends with this program, however that ends.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}

	if err := cmd.Start(); err != nil {
		return err
	}

	m.cmd, m.exited = cmd, make(chan struct{})
	f.rec.line("relay %s started", m.name)

	go func(done chan struct{}) {
		_ = cmd.Wait()
		close(done)
	}(m.exited)

	return nil
}

// kill ends a relay with SIGKILL and waits for its end.
func (f *fleet) kill(m *machine) {
	if m.cmd == nil {
		return
	}

	_ = m.cmd.Process.Kill()
	<-m.exited
	f.rec.line("relay %s killed", m.name)
}

// signal sends a signal to a relay.
func (f *fleet) signal(m *machine, s syscall.Signal) {
	_ = m.cmd.Process.Signal(s)
	f.rec.line("relay %s got %v", m.name, s)
}

// alive reports whether the relay runs.
func (m *machine) alive() bool {
	select {
	case <-m.exited:
		return false
	default:
		return true
	}
}

// close ends all relays. It keeps their logs if REVIEW_KEEP is set.
func (f *fleet) close() {
	for _, m := range slices.Concat(f.machines, f.ended) {
		if m.cmd != nil && m.alive() {
			_ = m.cmd.Process.Kill()
			<-m.exited
		}
	}

	if os.Getenv("REVIEW_KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	} else {
		fmt.Println("logs:", f.dir)
	}
}

// forget takes a machine whose relay was told to end out of the fleet.
func (f *fleet) forget(m *machine) {
	f.machines = slices.DeleteFunc(f.machines, func(x *machine) bool { return x == m })
	f.ended = append(f.ended, m)
}

// waitReady waits until the relays answer their readiness check with 200.
func (f *fleet) waitReady(d time.Duration) error {
	end := time.Now().Add(d)

	for _, m := range f.machines {
		for !ready(m) {
			if time.Now().After(end) {
				return fmt.Errorf("relay %s is not ready", m.name)
			}

			time.Sleep(50 * time.Millisecond)
		}
	}

	return nil
}
