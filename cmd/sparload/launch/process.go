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

// clockTicks is the unit of processor times in /proc, per second.
const clockTicks = 100

// Process is a process that this tool started.
type Process struct {
	cmd   *exec.Cmd
	ended chan struct{}
}

func newProcess(cmd *exec.Cmd) (*Process, error) {
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w", cmd.Path, err)
	}

	p := &Process{cmd: cmd, ended: make(chan struct{})}
	go p.loop()

	return p, nil
}

func (p *Process) loop() {
	_ = p.cmd.Wait()
	close(p.ended)
}

// Signal sends a signal unless the process has ended.
func (p *Process) Signal(s syscall.Signal) {
	if p == nil {
		return
	}

	select {
	case <-p.ended:
	default:
		_ = p.cmd.Process.Signal(s)
	}
}

// Ended reports whether the process has ended.
func (p *Process) Ended() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

// Wait waits until the process has ended and reports its exit status, -1 if a signal ended it or
// it runs on after the timeout.
func (p *Process) Wait(timeout time.Duration) int {
	if p == nil {
		return 0
	}

	select {
	case <-p.ended:
		return p.cmd.ProcessState.ExitCode()
	case <-time.After(timeout):
		return -1
	}
}

// Usage is what a process has used.
type Usage struct {
	CPU      time.Duration
	RSSBytes int64
}

// Usage reads the processor time and resident memory of the process.
func (p *Process) Usage() (Usage, error) {
	data, err := os.ReadFile("/proc/" + strconv.Itoa(p.cmd.Process.Pid) + "/stat")
	if err != nil {
		return Usage{}, fmt.Errorf("read usage: %w", err)
	}

	// The fields after the command's closing parenthesis start with the third one of proc(5).
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
