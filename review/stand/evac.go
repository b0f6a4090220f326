package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["evac"] = evacuation }

// The bounds of the small site files.
const (
	evacuateBound = 5 * time.Second
	contact       = 3 * time.Second
	// quietTime is how long the store gives some machines no answer.
	quietTime = 9 * time.Second
	// watchTime is how long the clients go on after the zone was taken out.
	watchTime = 24 * time.Second
)

const evacManifest = `{"version":"%08x","limits":{"max_header_bytes":16384,"max_body_bytes":67108864,
"header_timeout_ms":3000,"idle_timeout_ms":15000},"listeners":[{"host":"a.example","route_rules":[
{"name":"r1","kind":"safe","slo_ms":800,"priority":2,"match":{"prefix":"/stock/"},
"action":{"service":"desk","timeout_ms":%d,"attempts":2}},
{"name":"r2","kind":"unsafe","slo_ms":800,"priority":1,"match":{"prefix":"/pledge/"},
"action":{"service":"desk","timeout_ms":1500,"attempts":2}}]}],"clusters":[
{"name":"desk","health_path":"/healthz","max_connections":130,"cold_s":3.0,"cold_per_s":8.0}]}`

// evacuation takes a zone out while the store gives the machines of this zone no answer, and counts the requests that
// reach the zone's servers long after the store has answered everyone again.
func evacuation(e *env) error {
	const callers = 3

	e.store.put("config", []byte(fmt.Sprintf(evacManifest, 7, 1500)))

	var (
		servers []*upstream
		quiet   []string
		late    lateRuns
	)

	for i := range 6 {
		m := e.fleet.add([]string{"za", "zb", "zc"}[i%3], "desk")
		// Every machine reaches the store at an address of its own, so that the store can tell them apart.
		m.store = m.addr(portStore)

		if err := e.store.listen(m.store); err != nil {
			return err
		}

		if err := e.fleet.start(m); err != nil {
			return err
		}

		u, err := startUpstream(m, e.rec, upstreamSettings{
			id: "i-" + m.name, slots: 9, queue: 36, work: 60 * time.Millisecond, idle: 10 * time.Second, bodyBytes: 1500,
		})
		if err != nil {
			return err
		}

		servers = append(servers, u)

		if m.zone == "za" {
			quiet = append(quiet, m.store)
			u.setOnRun(late.add)
		}
	}

	if err := e.fleet.waitReady(settle); err != nil {
		return err
	}

	time.Sleep(settle)

	var wg sync.WaitGroup

	end := time.Now().Add(2*time.Second + watchTime)

	for _, m := range e.fleet.machines {
		for range callers {
			wg.Go(func() { e.callDesk(m, end) })
		}
	}

	time.Sleep(time.Second)
	e.store.put("config", []byte(fmt.Sprintf(evacManifest, 9, 1400)))
	e.rec.line("the store acknowledged manifest 00000009")
	time.Sleep(time.Second)

	if e.trouble {
		e.store.setMute(quiet, true)
		e.rec.line("the store gives no answer to the machines of za")
	}

	time.Sleep(500 * time.Millisecond)
	e.store.put("evacuate/za", []byte("{}"))
	e.rec.line("the store acknowledged that za is taken out")

	acked := time.Now()

	time.Sleep(quietTime)
	e.store.setMute(quiet, false)
	e.rec.line("the store answers all machines again")

	// From here on all machines are in touch, and the bound has passed.
	judged := time.Now().Add(contact)
	if bound := acked.Add(evacuateBound); judged.Before(bound) {
		judged = bound
	}

	late.begin(judged)
	wg.Wait()

	for _, l := range late.list {
		e.check.break_("EVAC: %s reached a server of za %d ms after its evacuation was acknowledged and %d ms after "+
			"the store answered again", l.id, l.at.Sub(acked).Milliseconds(), l.at.Sub(judged.Add(-contact)).Milliseconds())
	}

	e.check.checkRuns(servers)

	return nil
}

// lateRuns collects the runs after a time.
type lateRuns struct {
	mu   sync.Mutex
	from time.Time
	list []lateRun
}

type lateRun struct {
	id string
	at time.Time
}

// begin sets the time from which runs are collected.
func (l *lateRuns) begin(from time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.from = from
}

func (l *lateRuns) add(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()

	if now := time.Now(); !l.from.IsZero() && now.After(l.from) {
		l.list = append(l.list, lateRun{id: id, at: now})
	}
}
