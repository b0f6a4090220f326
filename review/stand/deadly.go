package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

func init() { cases["deadly"] = deadlyRequest }

const (
	deadlyPath = "/stock/deadly"
	// backAfter is how long a server that crashed is away.
	backAfter = 3 * time.Second
	// againAfter is the time after which the deadly request comes again.
	againAfter = 2 * time.Second
	// maxRetries is the number of retries that may still reach servers after the third crash.
	maxRetries = 3
)

// deadlyServers keeps the servers of one service and starts each again after it has crashed.
type deadlyServers struct {
	e *env

	mu      sync.Mutex
	all     []*upstream
	lives   int
	crashes []time.Time
	ended   bool
}

// start starts a new life of the server beside a machine.
func (d *deadlyServers) start(m *machine) error {
	d.mu.Lock()
	defer d.mu.Unlock()

	if d.ended {
		return nil
	}

	d.lives++
	cfg := upstreamSettings{
		id: fmt.Sprintf("i-%s-%d", m.name, d.lives), slots: 9, queue: 36, work: 150 * time.Millisecond,
		idle: 10 * time.Second, bodyBytes: 1500,
		onCrash: func() { go d.runAgain(m) },
	}

	if d.e.trouble {
		cfg.deadly = deadlyPath
	}

	u, err := startUpstream(m, d.e.rec, cfg)
	if err != nil {
		return err
	}

	d.all = append(d.all, u)

	return nil
}

// runAgain counts a crash and starts the next life.
func (d *deadlyServers) runAgain(m *machine) {
	d.mu.Lock()
	d.crashes = append(d.crashes, time.Now())
	d.mu.Unlock()

	time.Sleep(backAfter)

	if err := d.start(m); err != nil {
		d.e.rec.line("server beside %s can't start again: %v", m.name, err)
	}
}

// thirdCrash returns when the third server crashed, and whether that has been.
func (d *deadlyServers) thirdCrash() (time.Time, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()

	if len(d.crashes) < 3 {
		return time.Time{}, false
	}

	return d.crashes[2], true
}

// runs returns how many servers began to run a request.
func (d *deadlyServers) runs(id string) int {
	d.mu.Lock()
	defer d.mu.Unlock()

	n := 0

	for _, u := range d.all {
		u.mu.Lock()
		n += u.runs[id]
		u.mu.Unlock()
	}

	return n
}

// deadlyRequest sends a request that crashes each server that runs it again and again, at any machine, beside the
// usual requests.
func deadlyRequest(e *env) error {
	const (
		machines = 6
		callers  = 4
		length   = 45 * time.Second
	)

	e.store.put("config", []byte(bytesManifest))

	servers := &deadlyServers{e: e}

	for i := range machines {
		m := e.fleet.add([]string{"za", "zb", "zc"}[i%3], "desk")
		if err := e.fleet.start(m); err != nil {
			return err
		}

		if err := servers.start(m); err != nil {
			return err
		}
	}

	if err := e.fleet.waitReady(settle); err != nil {
		return err
	}

	time.Sleep(settle)

	var wg sync.WaitGroup

	end := time.Now().Add(length)

	for _, m := range e.fleet.machines {
		for range callers {
			wg.Go(func() { e.callDesk(m, end) })
		}
	}

	retries := 0

	for time.Now().Before(end) {
		third, crashed := servers.thirdCrash()
		late := crashed && time.Since(third) > contact

		m := e.fleet.machines[rand.IntN(machines)]
		id := e.sendDeadly(m)

		if n := servers.runs(id); late && n > 0 {
			retries++
			e.rec.line("retry %d after the third crash reached %d servers", retries, n)
		}

		time.Sleep(againAfter)
	}

	wg.Wait()

	servers.mu.Lock()
	defer servers.mu.Unlock()

	servers.ended = true
	text := fmt.Sprintf("%d crashes; %d retries reached servers later than %d ms after the third crash", len(servers.crashes),
		retries, contact.Milliseconds())
	fmt.Println(text)
	e.rec.line("%s", text)

	if e.trouble && retries > maxRetries {
		e.check.break_("BUDGET: %s", text)
	}

	e.check.checkRuns(servers.all)

	return nil
}

// sendDeadly sends the deadly request once and returns its id.
func (e *env) sendDeadly(m *machine) string {
	c := &caller{m: m}
	defer c.close()

	id := newID()
	s := &sent{
		request: request{
			id: id, method: http.MethodGet, host: "a.example", path: deadlyPath, key: noKey, deadline: requestTime,
		},
		services: []string{"desk"},
	}

	e.check.begin(s)
	e.check.finish(s, c.send(s.request))

	return id
}
