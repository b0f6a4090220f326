package exper

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os/exec"
	"path/filepath"
	"time"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/cmd/sparload/judge"
	"sardinespar.example/spar/cmd/sparload/launch"
)

// WithdrawZone withdraws an availability zone from service.
func WithdrawZone(zone spar.Zone) func(context.Context, *Experiment) error {
	return func(ctx context.Context, e *Experiment) error {
		if err := e.setZoneWithdrawn(ctx, zone, true); err != nil {
			return err
		}

		e.withdrawnFromMs[zone] = time.Now().Add(withdrawalGrace).UnixMilli()

		return nil
	}
}

// RestoreZone returns an availability zone to service.
func RestoreZone(zone spar.Zone) func(context.Context, *Experiment) error {
	return func(ctx context.Context, e *Experiment) error {
		window := judge.Window{Zone: zone, FromMs: e.withdrawnFromMs[zone], ToMs: time.Now().UnixMilli()}
		e.windows = append(e.windows, window)
		delete(e.withdrawnFromMs, zone)

		return e.setZoneWithdrawn(ctx, zone, false)
	}
}

// setZoneWithdrawn withdraws or restores a zone with sparctl, as an operator does.
func (e *Experiment) setZoneWithdrawn(ctx context.Context, zone spar.Zone, withdrawn bool) error {
	direction := "in"
	if withdrawn {
		direction = "out"
	}

	_, err := e.Sparctl(ctx, "zone", direction, string(zone))

	return err
}

// Sparctl runs sparctl on the fleet and returns its output.
func (e *Experiment) Sparctl(ctx context.Context, args ...string) (string, error) {
	for _, v := range e.Fleet.VMs {
		args = append(args, "--node", v.PeerAddr())
	}

	cmd := exec.CommandContext(ctx, filepath.Join(e.BinDir, "sparctl"), append(args, "--by", "sparload")...)

	data, err := cmd.CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("sparctl: %w: %s", err, data)
	}

	return string(data), nil
}

// Kill kills the processes of the n-th VM of a service.
func Kill(service string, n int) func(context.Context, *Experiment) error {
	return func(_ context.Context, e *Experiment) error {
		v := e.VM(service, n)
		e.markFailed(v)
		v.Kill()

		return nil
	}
}

// markFailed marks a VM as failed, so that no new request is sent to it.
func (e *Experiment) markFailed(v *launch.VM) {
	e.failedEntries = append(e.failedEntries, v.HTTPAddr())
	e.runner.SetFailed(v.HTTPAddr(), true)
}

// Restart restarts the processes of a killed VM.
func Restart(service string, n int) func(context.Context, *Experiment) error {
	return func(ctx context.Context, e *Experiment) error {
		v := e.VM(service, n)
		if err := e.Fleet.StartSpard(ctx, v); err != nil {
			return err
		}

		e.runner.SetFailed(v.HTTPAddr(), false)

		return e.Fleet.StartBackend(ctx, v)
	}
}

// Freeze suspends the processes of a VM, which cannot notice it.
func Freeze(service string, n int) func(context.Context, *Experiment) error {
	return func(_ context.Context, e *Experiment) error {
		v := e.VM(service, n)
		e.markFailed(v)
		v.Freeze()

		return nil
	}
}

// Thaw resumes the processes of a frozen VM.
func Thaw(service string, n int) func(context.Context, *Experiment) error {
	return func(_ context.Context, e *Experiment) error {
		v := e.VM(service, n)
		v.Thaw()
		e.runner.SetFailed(v.HTTPAddr(), false)

		return nil
	}
}

// SlowDown multiplies the processing time of a backend server and delays its load reports.
func SlowDown(service string, n int, factor float64) func(context.Context, *Experiment) error {
	return func(ctx context.Context, e *Experiment) error {
		return post(ctx, "http://"+e.VM(service, n).BackendAddr()+"/admin/fault",
			map[string]any{"slow_factor": factor, "report_lag_ms": 5000})
	}
}

// SetTableOutage makes the platform's table unavailable, or available again.
func SetTableOutage(outage bool) func(context.Context, *Experiment) error {
	return func(ctx context.Context, e *Experiment) error {
		return post(ctx, "http://"+e.Fleet.PlatformAddr()+"/admin/fault",
			map[string]any{"outage": outage, "write_rate": 300, "read_rate": 2000})
	}
}

// post sends the faults to inject to a backend server or to the platform.
func post(ctx context.Context, url string, body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return fmt.Errorf("encode faults: %w", err)
	}

	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(data))
	if err != nil {
		return fmt.Errorf("set fault: %w", err)
	}

	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return fmt.Errorf("set fault: %w", err)
	}

	_ = resp.Body.Close()

	if resp.StatusCode != http.StatusNoContent {
		return fmt.Errorf("set fault: status %d", resp.StatusCode)
	}

	return nil
}
