package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["bytes"] = wrongBytes }

// The share of the servers that hand out wrong bytes, and the share of their answers.
const (
	garbledServers = 0.6
	garbledAnswers = 0.03
)

const bytesManifest = `{"version":"00000007","limits":{"max_header_bytes":16384,"max_body_bytes":67108864,
"header_timeout_ms":3000,"idle_timeout_ms":15000},"listeners":[{"host":"a.example","route_rules":[
{"name":"r1","kind":"safe","slo_ms":800,"priority":2,"match":{"prefix":"/stock/"},
"action":{"service":"desk","timeout_ms":1500,"attempts":2}},
{"name":"r2","kind":"unsafe","slo_ms":800,"priority":1,"match":{"prefix":"/pledge/"},
"action":{"service":"desk","timeout_ms":1500,"attempts":2}}]}],"clusters":[
{"name":"desk","health_path":"/healthz","max_connections":130,"cold_s":3.0,"cold_per_s":8.0}]}`

// wrongBytes lets some servers break off a part of their answers and send a part of them twice.
func wrongBytes(e *env) error {
	const (
		machines = 14
		callers  = 6
		length   = 95 * time.Second
	)

	e.store.put("config", []byte(bytesManifest))

	var servers []*upstream

	for i := range machines {
		m := e.fleet.add([]string{"za", "zb", "zc"}[i%3], "desk")
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
	}

	if err := e.fleet.waitReady(settle); err != nil {
		return err
	}

	time.Sleep(settle)

	if e.trouble {
		for i, u := range servers {
			if float64(i+1) <= garbledServers*machines {
				// Every second one of the faulty servers knows that it fails.
				u.setFaults(faults{extra: garbledAnswers, cut: garbledAnswers, failing: i%2 == 1})
			}
		}
	}

	var wg sync.WaitGroup

	end := time.Now().Add(length)

	for _, m := range e.fleet.machines {
		for range callers {
			wg.Go(func() { e.callDesk(m, end) })
		}
	}

	wg.Wait()
	e.check.checkRuns(servers)

	checks := 0
	for _, u := range servers {
		checks += u.checks
	}

	e.rec.line("status checks: %d", checks)
	fmt.Println("status checks:", checks)

	return nil
}

// callDesk sends safe and unsafe requests one after another until a time.
func (e *env) callDesk(m *machine, end time.Time) {
	c := &caller{m: m}
	defer c.close()

	for time.Now().Before(end) {
		id := newID()
		s := &sent{
			request: request{
				id: id, method: http.MethodGet, host: "a.example", path: "/stock/" + id, key: noKey, deadline: requestTime,
			},
			services: []string{"desk"},
		}

		if rand.IntN(2) == 0 {
			s.method, s.path, s.unsafe, s.body = http.MethodPost, "/pledge/"+id, true, strings.Repeat("b", 1200)
		}

		e.check.begin(s)
		e.check.finish(s, c.send(s.request))
		time.Sleep(time.Duration(rand.IntN(100)) * time.Millisecond)
	}
}
