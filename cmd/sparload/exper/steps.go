package exper

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/cmd/sparload/judge"
	"sardinespar.example/spar/cmd/sparload/launch"
	"sardinespar.example/spar/fleet"
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

func (s *Scene) withdraw(ctx context.Context, zone spar.Zone, out bool) error {
	key := fleet.ZoneKey(zone)

	row, _, err := s.Fleet.Table().Get(ctx, key)
	if err != nil {
		return err
	}

	value := fleet.Encode(spar.Withdrawal{Name: string(zone), Out: out, By: "sparload"})
	c := s.Fleet.Table().Commit(ctx, spar.Txn{
		Conditions: []spar.Condition{{Key: key, Revision: row.Revision}},
		Writes:     []spar.Write{{Key: key, Value: value}},
	})
	if c.Verdict != spar.Applied {
		return fmt.Errorf("withdraw zone %s: %s", zone, c.Verdict)
	}

	return nil
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
