package main

import (
	"sync"
	"time"
)

func init() { cases["left"] = leftServer }

// drainBound is drain_ms of the small site files.
const drainBound = 2 * time.Second

// leftServer lets a server leave while the store is down, restarts the relay that acknowledged this, and delivers a
// status report late that the server sent before it left.
func leftServer(e *env) error {
	const (
		callers = 4
		// outage is how long the store is down.
		outage = 4500 * time.Millisecond
		// lateBy is how late the last status report arrives.
		lateBy = 8500 * time.Millisecond
		// served is how long the server goes on after it has left.
		served = 14 * time.Second
	)

	e.store.put("config", []byte(bytesManifest))

	var servers []*upstream

	for i := range 3 {
		m := e.fleet.add([]string{"za", "zb", "zc"}[i], "desk")
		if err := e.fleet.start(m); err != nil {
			return err
		}

		u, err := startUpstream(m, e.rec, upstreamSettings{
			id: "i-" + m.name, slots: 9, queue: 36, work: 150 * time.Millisecond, idle: 10 * time.Second, bodyBytes: 1500,
		})
		if err != nil {
			return err
		}

		servers = append(servers, u)
	}

	if err := e.fleet.waitReady(settle); err != nil {
		return err
	}

	time.Sleep(settle)

	var wg sync.WaitGroup

	end := time.Now().Add(served)

	for _, m := range e.fleet.machines {
		for range callers {
			wg.Go(func() { e.callDesk(m, end) })
		}
	}

	u := servers[0]

	if e.trouble {
		e.store.setDown(true)
		e.rec.line("the store is down")
	}

	down := time.Now()
	report := u.statusReport()
	e.rec.line("server %s sends a status report, which is delayed", u.cfg.id)

	reported := time.Now()

	if !e.trouble {
		u.sendReport(report)
	}

	time.Sleep(300 * time.Millisecond)

	if !u.deregister() {
		e.rec.line("the deregistration was not acknowledged")
	}

	acked := time.Now()

	time.Sleep(500 * time.Millisecond)

	if e.trouble {
		e.fleet.kill(u.m)
		time.Sleep(300 * time.Millisecond)

		if err := e.fleet.start(u.m); err != nil {
			return err
		}
	}

	time.Sleep(time.Until(down.Add(outage)))
	e.store.setDown(false)
	e.rec.line("the store answers again")
	time.Sleep(time.Until(reported.Add(lateBy)))

	var late lateRuns

	late.begin(acked.Add(drainBound))
	u.setOnRun(late.add)

	if e.trouble {
		e.rec.line("the delayed status report of %s arrives", u.cfg.id)
		u.call("instances.heartbeat", report)
	}

	wg.Wait()

	for _, l := range late.list {
		e.check.break_("DRAIN: %s reached %s %d ms after its leaving was acknowledged", l.id, u.cfg.id,
			l.at.Sub(acked).Milliseconds())
	}

	e.check.checkRuns(servers)

	return nil
}
