package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"
)

// node is one machine of the deployment: a relay, which runs as a process of its own, and its upstream.
type node struct {
	name, zone, service, ip string
	fields                  map[string]string
	dir                     string
	rec                     *record
	cmd                     *exec.Cmd
	exited                  chan struct{}
	up                      *upstream
}

// freePorts returns ports that are free at an address.
func freePorts(ip string, n int) ([]string, error) {
	var (
		ports []string
		open  []net.Listener
	)

	defer func() {
		for _, ln := range open {
			_ = ln.Close()
		}
	}()

	for range n {
		ln, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}

		open = append(open, ln)
		_, port, _ := net.SplitHostPort(ln.Addr().String())
		ports = append(ports, port)
	}

	return ports, nil
}

// newNode prepares a node at an address of its own.
func newNode(name, zone, service, ip, storeAddr, dir string, rec *record) (*node, error) {
	ports, err := freePorts(ip, 6)
	if err != nil {
		return nil, err
	}

	at := func(i int) string { return ip + ":" + ports[i] }

	return &node{
		name: name, zone: zone, service: service, ip: ip, dir: dir, rec: rec,
		fields: map[string]string{
			"node": name, "zone": zone, "service": service, "ip": ip, "app_addr": at(0),
			"listen.outbound": at(1), "listen.inbound": at(2), "listen.ready": at(3), "listen.control": at(4),
			"internal_ports.0": ports[5], "provider.address": storeAddr,
			"limits.link_mbps": "1000.0", "limits.memory_mb": "284", "limits.max_fds": "4100",
			"bounds.hold_max_ms": "10000", "bounds.grace_s": "6", "grants": "heartbeat",
		},
	}, nil
}

var (
	placeholder = regexp.MustCompile(`\{\{([a-z0-9_.]+)\}\}`)
	section     = regexp.MustCompile(`\{\{[#/][a-z0-9_.]+\}\}`)
	runLine     = regexp.MustCompile(`(?m)^run = "(.*)"$`)
	template    = regexp.MustCompile(`(?m)^template = "(.*)"$`)
)

// fill fills in the placeholders of the template or of the command. All sections of this deployment have a value.
func (n *node) fill(text string) string {
	return placeholder.ReplaceAllStringFunc(section.ReplaceAllString(text, ""), func(p string) string {
		return n.fields[strings.Trim(p, "{}")]
	})
}

// start starts the relay with the command of the deploy file.
func (n *node) start() error {
	deploy, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return err
	}

	run, tmpl := runLine.FindSubmatch(deploy), template.FindSubmatch(deploy)
	if run == nil || tmpl == nil {
		return errors.New("deploy/system.toml has no command or no template")
	}

	settings, err := os.ReadFile(string(tmpl[1]))
	if err != nil {
		return err
	}

	path := filepath.Join(n.dir, n.name+".ini")
	if err := os.WriteFile(path, []byte(n.fill(string(settings))), 0o600); err != nil {
		return err
	}

	words := strings.Fields(strings.ReplaceAll(n.fill(string(run[1])), "/etc/sardinespar/node.toml", path))

	out, err := os.Create(filepath.Join(n.dir, n.name+".log"))
	if err != nil {
		return err
	}

	n.cmd = exec.Command(words[0], words[1:]...)
	n.cmd.Stdout, n.cmd.Stderr = out, out
	n.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + n.dir, "SARDINESPAR_BOOT=" + path}
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}

	if err := n.cmd.Start(); err != nil {
		return err
	}

	n.exited = make(chan struct{})
	n.rec.add("process of %s started: %s", n.name, strings.Join(words, " "))

	go func(cmd *exec.Cmd, exited chan struct{}) {
		err := cmd.Wait()

		_ = out.Close()
		n.rec.add("process of %s ended: %v", n.name, err)
		close(exited)
	}(n.cmd, n.exited)

	return nil
}

// signal sends a signal to the relay.
func (n *node) signal(s syscall.Signal) {
	n.rec.add("process of %s gets %v", n.name, s)
	_ = n.cmd.Process.Signal(s)
}

// end ends the relay and the upstream.
func (n *node) end() {
	if n.up != nil {
		n.up.close()
	}

	if n.cmd != nil {
		_ = n.cmd.Process.Kill()
		<-n.exited
	}
}

// ready asks the relay whether it accepts callers.
func (n *node) ready() bool {
	client := &http.Client{Timeout: 500 * time.Millisecond}

	resp, err := client.Get("http://" + n.fields["listen.ready"] + "/sardinespar/ready")
	if err != nil {
		return false
	}

	_ = resp.Body.Close()

	return resp.StatusCode == http.StatusOK
}

// deployment is the store and the nodes of a case.
type deployment struct {
	rec   *record
	dir   string
	store *store
	nodes []*node
	http  *http.Server
}

// startDeployment starts the store, with the manifest, and nodes with one upstream each.
func startDeployment(rec *record, manifest map[string]any, services ...string) (*deployment, error) {
	dir, err := os.MkdirTemp("", "stand-3-")
	if err != nil {
		return nil, err
	}

	d := &deployment{rec: rec, dir: dir, store: newStore()}
	d.store.put("op", "config", manifest)

	// The addresses differ between runs, so that the fixed port of the metrics is free.
	base := fmt.Sprintf("127.%d.%d.", 64+os.Getpid()%128, 1+os.Getpid()/128%250)

	ln, err := net.Listen("tcp", base+"200:0")
	if err != nil {
		return d, err
	}

	d.http = &http.Server{Handler: d.store}

	go func() { _ = d.http.Serve(ln) }()

	for i, service := range services {
		n, err := newNode(fmt.Sprintf("sidecar-%d", i+1), fmt.Sprintf("zone-%c", 'a'+i%3), service,
			fmt.Sprintf("%s%d", base, i+1), ln.Addr().String(), dir, rec)
		if err != nil {
			return d, err
		}

		d.nodes = append(d.nodes, n)

		if err := n.start(); err != nil {
			return d, err
		}

		n.up, err = startUpstream(fmt.Sprintf("i-%04d", i+1), service, n.zone, n.fields["app_addr"],
			n.fields["listen.control"], keyed(manifest, service), rec)
		if err != nil {
			return d, err
		}
	}

	return d, d.await()
}

// keyed reports whether a manifest divides a service by key.
func keyed(manifest map[string]any, service string) bool {
	for _, c := range manifest["clusters"].([]any) {
		if c := c.(map[string]any); c["name"] == service {
			return c["shard_enabled"] == true
		}
	}

	return false
}

// await waits until all nodes are ready and have acknowledged two heartbeats, and a little longer.
func (d *deployment) await() error {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := true

		for _, n := range d.nodes {
			ready = ready && n.ready() && n.up.acked.Load() >= 2
		}

		if ready {
			time.Sleep(3 * time.Second)
			d.rec.add("all nodes are ready")

			return nil
		}
	}

	return errors.New("nodes did not become ready")
}

// ran returns how often a request ran, and whether its response was written completely.
func (d *deployment) ran(id string) (n int, complete bool) {
	for _, node := range d.nodes {
		k, done := node.up.ran(id)
		n += k
		complete = complete || done
	}

	return n, complete
}

// close ends all processes and removes the folder.
func (d *deployment) close() {
	for _, n := range d.nodes {
		n.end()
	}

	if d.http != nil {
		_ = d.http.Close()
	}

	_ = os.RemoveAll(d.dir)
}
