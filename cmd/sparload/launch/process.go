package launch

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"syscall"
	"time"
)

// clockTicks is the number of units per second in which /proc gives processor times.
const clockTicks = 100

// Process is a process started by sparload.
type Process struct {
	cmd    *exec.Cmd
	exited chan struct{}
}

func newProcess(cmd *exec.Cmd) (*Process, error) {
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w", cmd.Path, err)
	}

	p := &Process{cmd: cmd, exited: make(chan struct{})}
	go p.run()

	return p, nil
}

func (p *Process) run() {
	_ = p.cmd.Wait()
	close(p.exited)
}

// Signal sends a signal unless the process has exited.
func (p *Process) Signal(s syscall.Signal) {
	if p == nil {
		return
	}

	select {
	case <-p.exited:
	default:
		_ = p.cmd.Process.Signal(s)
	}
}

// Exited reports whether the process has exited.
func (p *Process) Exited() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// Wait waits until the process has exited and returns its exit status. The status is -1 if the process
// was killed by a signal or still runs after the timeout.
func (p *Process) Wait(timeout time.Duration) int {
	if p == nil {
		return 0
	}

	select {
	case <-p.exited:
		return p.cmd.ProcessState.ExitCode()
	case <-time.After(timeout):
		return -1
	}
}

// Usage is the resource usage of a process.
type Usage struct {
	CPU      time.Duration
	RSSBytes int64
}

// Usage returns the processor time and the resident memory of the process.
func (p *Process) Usage() (Usage, error) {
	data, err := os.ReadFile("/proc/" + strconv.Itoa(p.cmd.Process.Pid) + "/stat")
	if err != nil {
		return Usage{}, fmt.Errorf("read usage: %w", err)
	}

	// The fields after the closing parenthesis of the command name start with field 3 of proc(5).
	fields := bytes.Fields(data[bytes.LastIndexByte(data, ')')+1:])

	const userTime, systemTime, resident = 14 - 3, 15 - 3, 24 - 3

	var values [3]int64

	for i, at := range []int{userTime, systemTime, resident} {
		values[i], err = strconv.ParseInt(string(fields[at]), 10, 64)
		if err != nil {
			return Usage{}, fmt.Errorf("read usage: %w", err)
		}
	}

	return Usage{
		CPU:      time.Duration(values[0]+values[1]) * time.Second / clockTicks,
		RSSBytes: values[2] * int64(os.Getpagesize()),
	}, nil
}
