package launch

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"syscall"
	"time"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/fleet"
	"sardinespar.example/spar/table"
)

const (
	portsPerNode      = 6
	readyPollInterval = 100 * time.Millisecond
	storeTimeout      = spar.Millis(2000)
	stopTimeout       = 20 * time.Second
	platformPorts     = 1
)

// The offsets of a node's ports from the VM's first port.
const (
	portHTTP = iota
	portPeer
	portLocal
	portBackend
	portRelayHTTP
	portRelayPeer
)

// VM is one VM of the deployment: a spard and its backend server.
type VM struct {
	Name    string
	Service Service
	Zone    spar.Zone
	Spard   *Process
	Backend *Process

	basePort int
	// relays delay the traffic to the node; it is empty if the link has no delay.
	relays []*Relay
}

// Options configure how a deployment is started.
type Options struct {
	// BinDir is the directory of the programs, OutputDir the one for logs and run records.
	BinDir, OutputDir string
	// Settings holds additional settings of every spard in the form section.key=value.
	Settings []string
	// WriteRate and ReadRate limit the platform's table operations per second; 0 means no limit.
	WriteRate, ReadRate float64
}

// Fleet is a running deployment.
type Fleet struct {
	Deployment Deployment
	VMs        []*VM

	opts     Options
	platform *Process
	table    *table.Client
}

// Start starts all processes of a deployment. The caller must stop the returned fleet, also after an
// error.
func Start(ctx context.Context, d Deployment, opts Options) (*Fleet, error) {
	f := &Fleet{Deployment: d, opts: opts}
	f.table = table.NewClient("http://"+f.PlatformAddr(), http.DefaultClient, spar.BootClock(), storeTimeout)

	var err error

	f.platform, err = f.start(ctx, "platform", "platform", "--listen", f.PlatformAddr(),
		"--write-rate", fmt.Sprint(opts.WriteRate), "--read-rate", fmt.Sprint(opts.ReadRate))
	if err != nil {
		return f, err
	}

	// Zones alternate within each service, so that no zone holds all upstreams of a service.
	for _, s := range d.Services {
		for i := range s.Upstreams {
			vm := &VM{
				Name: fmt.Sprintf("%s-%d", s.Name, i+1), Service: s, Zone: d.Zones[i%len(d.Zones)],
				basePort: d.BasePort + platformPorts + len(f.VMs)*portsPerNode,
			}
			f.VMs = append(f.VMs, vm)

			if err := f.startVM(ctx, vm); err != nil {
				return f, err
			}
		}
	}

	return f, nil
}

// Table returns a client of the deployment's table.
func (f *Fleet) Table() spar.Table {
	return f.table
}

// PlatformAddr returns the address of the simulated platform.
func (f *Fleet) PlatformAddr() string {
	return loopbackAddr(f.Deployment.BasePort)
}

func loopbackAddr(port int) string {
	return "127.0.0.1:" + strconv.Itoa(port)
}

func (v *VM) port(offset int) string {
	return loopbackAddr(v.basePort + offset)
}

// HTTPAddr returns the address at which callers and other nodes reach the node.
func (v *VM) HTTPAddr() string {
	if len(v.relays) > 0 {
		return v.port(portRelayHTTP)
	}

	return v.port(portHTTP)
}

// PeerAddr returns the address for the node's control messages, without the delay of the link.
func (v *VM) PeerAddr() string {
	return v.port(portPeer)
}

// LocalAddr returns the address at which the node serves its backend server and its metrics.
func (v *VM) LocalAddr() string {
	return v.port(portLocal)
}

// BackendAddr returns the address of the backend server.
func (v *VM) BackendAddr() string {
	return v.port(portBackend)
}

// RunsFile returns the path of the backend server's run records.
func (f *Fleet) RunsFile(v *VM) string {
	return filepath.Join(f.opts.OutputDir, v.Name+".runs")
}

// startVM starts the relays, the spard and the backend server of a VM.
func (f *Fleet) startVM(ctx context.Context, v *VM) error {
	delay := time.Duration(f.Deployment.LinkRTTMs * float64(time.Millisecond) / 2)
	if delay > 0 && len(v.relays) == 0 {
		for _, ports := range [][2]int{{portRelayHTTP, portHTTP}, {portRelayPeer, portPeer}} {
			r, err := NewRelay(ctx, v.port(ports[0]), v.port(ports[1]), delay)
			if err != nil {
				return fmt.Errorf("start relay: %w", err)
			}

			v.relays = append(v.relays, r)
		}
	}

	if err := f.StartSpard(ctx, v); err != nil {
		return err
	}

	return f.StartBackend(ctx, v)
}

// StartSpard starts the VM's spard.
func (f *Fleet) StartSpard(ctx context.Context, v *VM) error {
	set := []string{
		"node.vm=" + v.Name, "node.zone=" + string(v.Zone), "node.region=" + string(f.Deployment.Region),
		"listen.http=" + v.port(portHTTP), "listen.peer=" + v.port(portPeer), "listen.local=" + v.port(portLocal),
		"store.url=http://" + f.PlatformAddr(),
	}

	if len(v.relays) > 0 {
		set = append(set, "listen.advertise_http="+v.port(portRelayHTTP), "listen.advertise_peer="+v.port(portRelayPeer))
	}

	set = append(set, f.opts.Settings...)
	args := make([]string, 0, 2*len(set))

	for _, s := range set {
		args = append(args, "--set", s)
	}

	var err error

	v.Spard, err = f.start(ctx, v.Name+".spard", "spard", args...)

	return err
}

// StartBackend starts the VM's backend server.
func (f *Fleet) StartBackend(ctx context.Context, v *VM) error {
	args := []string{
		"--listen", v.BackendAddr(), "--spard", v.LocalAddr(), "--service", v.Service.Name,
		"--mode", string(v.Service.Mode), "--slots-of-service", strconv.Itoa(v.Service.Slots),
		"--work-ms", fmt.Sprint(v.Service.WorkMs), "--runs", f.RunsFile(v),
	}
	if v.Service.ChecksGrants {
		args = append(args, "--checks-grants")
	}

	var err error

	v.Backend, err = f.start(ctx, v.Name+".backend", "backend", args...)

	return err
}

// Kill kills both processes of a VM.
func (v *VM) Kill() {
	v.Spard.Signal(syscall.SIGKILL)
	v.Backend.Signal(syscall.SIGKILL)
}

// Freeze suspends both processes of a VM until Thaw is called.
func (v *VM) Freeze() {
	v.Spard.Signal(syscall.SIGSTOP)
	v.Backend.Signal(syscall.SIGSTOP)
}

// Thaw resumes both processes of a VM.
func (v *VM) Thaw() {
	v.Backend.Signal(syscall.SIGCONT)
	v.Spard.Signal(syscall.SIGCONT)
}

// SetPartitioned sets whether all traffic to the VM through its relays is dropped.
func (v *VM) SetPartitioned(partitioned bool) {
	for _, r := range v.relays {
		r.SetPartitioned(partitioned)
	}
}

// WaitReady waits until every node is live and every slot has an owner.
func (f *Fleet) WaitReady(ctx context.Context) error {
	t := time.NewTicker(readyPollInterval)
	defer t.Stop()

	for {
		if name, ok := f.exitedProcess(); ok {
			return fmt.Errorf("%s exited unexpectedly; see its log in %s", name, f.opts.OutputDir)
		}

		if f.isReady(ctx) {
			return nil
		}

		select {
		case <-ctx.Done():
			return fmt.Errorf("wait until the deployment is ready: %w", ctx.Err())
		case <-t.C:
		}
	}
}

// exitedProcess returns "platform" or the name of a VM if one of its processes has exited, for example
// because a port is already in use.
func (f *Fleet) exitedProcess() (string, bool) {
	if f.platform.Exited() {
		return "platform", true
	}

	for _, v := range f.VMs {
		if v.Spard.Exited() || v.Backend.Exited() {
			return v.Name, true
		}
	}

	return "", false
}

// isReady reports whether all nodes are live and all slots have an owner, according to the table.
func (f *Fleet) isReady(ctx context.Context) bool {
	v, ok := f.View(ctx)
	if !ok || len(v.Nodes()) < len(f.VMs) {
		return false
	}

	for _, n := range v.Nodes() {
		if n.State != spar.NodeLive {
			return false
		}
	}

	for _, s := range f.Deployment.Services {
		if s.Mode == spar.ModeKeyed && !allOwned(v, s.Service) {
			return false
		}
	}

	return true
}

func allOwned(v *fleet.View, s spar.Service) bool {
	if _, ok := v.Service(s.Name); !ok {
		return false
	}

	for slot := range spar.Slot(s.Slots) {
		if !v.Assignment(s, slot).Owned() {
			return false
		}
	}

	return true
}

// View returns the view of the fleet according to the current rows of the table. It returns false if the
// table cannot be read.
func (f *Fleet) View(ctx context.Context) (*fleet.View, bool) {
	rows, revision, err := f.table.Scan(ctx, "", 0)
	if err != nil {
		return nil, false
	}

	r := fleet.NewReplica()
	r.Merge(rows, revision)

	return r.View(), true
}

// Stop kills all processes and waits until they have exited, but at most stopTimeout for each.
func (f *Fleet) Stop() {
	if f == nil {
		return
	}

	for _, v := range f.VMs {
		v.Thaw()
		v.Backend.Signal(syscall.SIGKILL)
		v.Spard.Signal(syscall.SIGKILL)

		for _, r := range v.relays {
			r.Close()
		}
	}

	f.platform.Signal(syscall.SIGKILL)

	for _, v := range f.VMs {
		v.Backend.Wait(stopTimeout)
		v.Spard.Wait(stopTimeout)
	}

	f.platform.Wait(stopTimeout)
}

// start starts a program that appends its output to a log file.
func (f *Fleet) start(ctx context.Context, name, program string, args ...string) (*Process, error) {
	logFile, err := os.OpenFile(filepath.Join(f.opts.OutputDir, name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return nil, fmt.Errorf("open log: %w", err)
	}
	defer func() { _ = logFile.Close() }()

	cmd := exec.CommandContext(ctx, filepath.Join(f.opts.BinDir, program), args...)
	cmd.Stdout, cmd.Stderr = logFile, logFile
	// If sparload is killed, processes that survived it would keep their ports and respond to the
	// next experiment.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}

	return newProcess(cmd)
}
