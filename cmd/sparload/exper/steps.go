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

// ZoneOut takes an availability zone out.
func ZoneOut(zone spar.Zone) func(context.Context, *Scene) error {
	return func(ctx context.Context, s *Scene) error {
		if err := s.withdraw(ctx, zone, true); err != nil {
			return err
		}

		s.open[zone] = time.Now().Add(outGrace).UnixMilli()

		return nil
	}
}

// ZoneIn brings an availability zone back.
func ZoneIn(zone spar.Zone) func(context.Context, *Scene) error {
	return func(ctx context.Context, s *Scene) error {
		window := judge.Window{Zone: zone, FromMs: s.open[zone], ToMs: time.Now().UnixMilli()}
		s.windows = append(s.windows, window)
		delete(s.open, zone)

		return s.withdraw(ctx, zone, false)
	}
}

// withdraw asks the fleet through sparctl, as an operator does.
func (s *Scene) withdraw(ctx context.Context, zone spar.Zone, out bool) error {
	direction := "in"
	if out {
		direction = "out"
	}

	_, err := s.Sparctl(ctx, "zone", direction, string(zone))

	return err
}

// Sparctl runs the operators' command on the fleet and returns what it prints.
func (s *Scene) Sparctl(ctx context.Context, args ...string) (string, error) {
	for _, v := range s.Fleet.VMs {
		args = append(args, "--node", v.PeerAddr())
	}

	cmd := exec.CommandContext(ctx, filepath.Join(s.Bin, "sparctl"), append(args, "--by", "sparload")...)

	data, err := cmd.CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("sparctl: %w: %s", err, data)
	}

	return string(data), nil
}

// Kill ends a VM.
func Kill(service string, n int) func(context.Context, *Scene) error {
	return func(_ context.Context, s *Scene) error {
		v := s.VM(service, n)
		s.fail(v)
		v.Kill()

		return nil
	}
}

// fail notes that a VM fails, so that no new request enters through it.
func (s *Scene) fail(v *launch.VM) {
	s.failed = append(s.failed, v.HTTPAddr())
	s.runner.Fail(v.HTTPAddr(), true)
}

// Restart starts a killed VM's processes again.
func Restart(service string, n int) func(context.Context, *Scene) error {
	return func(ctx context.Context, s *Scene) error {
		v := s.VM(service, n)
		if err := s.Fleet.StartSpard(ctx, v); err != nil {
			return err
		}

		s.runner.Fail(v.HTTPAddr(), false)

		return s.Fleet.StartBackend(ctx, v)
	}
}

// Freeze stops a VM without its knowledge.
func Freeze(service string, n int) func(context.Context, *Scene) error {
	return func(_ context.Context, s *Scene) error {
		v := s.VM(service, n)
		s.fail(v)
		v.Freeze()

		return nil
	}
}

// Thaw lets a frozen VM go on.
func Thaw(service string, n int) func(context.Context, *Scene) error {
	return func(_ context.Context, s *Scene) error {
		v := s.VM(service, n)
		v.Thaw()
		s.runner.Fail(v.HTTPAddr(), false)

		return nil
	}
}

// Slow multiplies a backend server's work time; its reports lag.
func Slow(service string, n int, factor float64) func(context.Context, *Scene) error {
	return func(ctx context.Context, s *Scene) error {
		return post(ctx, "http://"+s.VM(service, n).BackendAddr()+"/admin/fault",
			map[string]any{"slow_factor": factor, "report_lag_ms": 5000})
	}
}

// StoreOutage starts or ends an outage of the platform's table.
func StoreOutage(outage bool) func(context.Context, *Scene) error {
	return func(ctx context.Context, s *Scene) error {
		return post(ctx, "http://"+s.Fleet.PlatformAddr()+"/admin/fault",
			map[string]any{"outage": outage, "write_rate": 300, "read_rate": 2000})
	}
}

func post(ctx context.Context, url string, body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return fmt.Errorf("encode fault: %w", err)
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
