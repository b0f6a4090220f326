package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() {
	cases["late"] = lateLeave
	cases["ranges"] = manyRanges
}

const (
	firstRoute = "/stock/"
	addedRoute = "/cards/"
	// steady is how long everything is calm before the added route is judged.
	steady = 6 * time.Second
	// minRequests is the number of requests on added routes from which the rule applies.
	minRequests = 20
)

// addedManifest returns a manifest with the first route and, if added is true, with a second one.
func addedManifest(version int, keyed, added bool) []byte {
	second := ""
	if added {
		second = `,{"name":"r2","kind":"safe","slo_ms":800,"priority":2,"match":{"prefix":"/cards/"},
"action":{"service":"cards","timeout_ms":1500,"attempts":2}}`
	}

	return []byte(fmt.Sprintf(`{"version":"%08x","limits":{"max_header_bytes":16384,"max_body_bytes":67108864,
"header_timeout_ms":3000,"idle_timeout_ms":15000},"listeners":[{"host":"a.example","route_rules":[
{"name":"r1","kind":"safe","slo_ms":800,"priority":2,"match":{"prefix":"/stock/"},
"action":{"service":"desk","timeout_ms":1500,"attempts":2}}%s]}],"clusters":[
{"name":"desk","health_path":"/healthz","max_connections":130,"cold_s":3.0,"cold_per_s":8.0},
{"name":"cards","health_path":"/healthz","max_connections":130,"cold_s":3.0,"cold_per_s":8.0,"shard_enabled":%t}]}`,
		version, second, keyed))
}

// startPair starts desks machines of the service of the first route, and cards machines of the other. It returns the
// backend servers of the latter.
func (e *env) startPair(desks, cards int, keyed bool) ([]*upstream, error) {
	var list []*upstream

	e.store.put("config", addedManifest(7, keyed, false))

	for i := range desks + cards {
		service := "desk"
		if i >= desks {
			service = "cards"
		}

		m := e.fleet.add([]string{"za", "zb", "zc"}[i%3], service)
		if err := e.fleet.start(m); err != nil {
			return nil, err
		}

		u, err := e.startServer(m, keyed && service == "cards")
		if err != nil {
			return nil, err
		}

		if service == "cards" {
			list = append(list, u)
		}
	}

	if err := e.fleet.waitReady(settle); err != nil {
		return nil, err
	}

	time.Sleep(settle)

	return list, nil
}

// startServer starts a backend server whose id is that of its machine in each of its lives.
func (e *env) startServer(m *machine, keyed bool) (*upstream, error) {
	return startUpstream(m, e.rec, upstreamSettings{
		id: "i-" + m.name, slots: 9, queue: 36, work: 30 * time.Millisecond, keyed: keyed, idle: 10 * time.Second,
		bodyBytes: 1500,
	})
}

// judgeAdded adds the second route, sends requests on both and compares how many are served.
func (e *env) judgeAdded(keyed bool, length time.Duration) {
	time.Sleep(steady)
	e.store.put("config", addedManifest(9, keyed, true))
	e.rec.line("the store acknowledged manifest 00000009, which adds the route %s", addedRoute)
	time.Sleep(steady)

	var (
		wg     sync.WaitGroup
		mu     sync.Mutex
		total  = map[string]int{}
		served = map[string]int{}
	)

	end := time.Now().Add(length)

	for _, m := range e.fleet.machines {
		wg.Go(func() {
			c := &caller{m: m}
			defer c.close()

			for time.Now().Before(end) {
				for _, route := range []string{firstRoute, addedRoute} {
					ok := e.callRoute(c, route)

					mu.Lock()
					total[route]++
					if ok {
						served[route]++
					}
					mu.Unlock()
				}

				time.Sleep(200 * time.Millisecond)
			}
		})
	}

	wg.Wait()

	first := float64(served[firstRoute]) / float64(max(1, total[firstRoute]))
	added := float64(served[addedRoute]) / float64(max(1, total[addedRoute]))
	text := fmt.Sprintf("%d of %d requests on the first route and %d of %d on the added one were served",
		served[firstRoute], total[firstRoute], served[addedRoute], total[addedRoute])
	fmt.Println(text)
	e.rec.line("%s", text)

	if total[addedRoute] >= minRequests && added < first/4 {
		e.check.break_("CONFIG: %s", text)
	}
}

// callRoute sends one request and reports whether it was served.
func (e *env) callRoute(c *caller, route string) bool {
	id := newID()
	s := &sent{
		request: request{
			id: id, method: http.MethodGet, host: "a.example", path: route + id, key: rand.IntN(65536), deadline: requestTime,
		},
		services: []string{"desk"},
	}

	if route == addedRoute {
		s.services = []string{"cards"}
	}

	e.check.begin(s)
	a := c.send(s.request)
	e.check.finish(s, a)

	return a.err == nil && a.status == http.StatusOK
}

// lateLeave restarts the servers of a service under their ids. What each earlier life says last is delayed and arrives
// after the next life has registered.
func lateLeave(e *env) error {
	const (
		delay = 6 * time.Second
		down  = 2500 * time.Millisecond
	)

	servers, err := e.startPair(2, 2, false)
	if err != nil {
		return err
	}

	for _, u := range servers {
		body := u.lastWords()
		sent := time.Now()
		e.rec.line("server %s sends its deregistration", u.cfg.id)

		if !e.trouble {
			u.sendLastWords(body)
		}

		time.Sleep(down)
		u.crash()
		time.Sleep(time.Second)

		next, err := e.startServer(u.m, false)
		if err != nil {
			return err
		}

		time.Sleep(time.Until(sent.Add(delay)))

		if e.trouble {
			e.rec.line("the deregistration of the earlier life of %s arrives", u.cfg.id)
			u.sendLastWords(body)
		}

		e.rec.line("server %s has reported %d times in its new life", next.cfg.id, next.reports())
	}

	e.judgeAdded(false, 10*time.Second)

	return nil
}

// manyRanges loses servers of a service with keys for good, one at a time. Beside each a relay without a server stays
// until its machine is taken away; a new machine with a new server has come by then.
func manyRanges(e *env) error {
	const (
		losses = 11
		// gone is how long the relay goes on without its server.
		gone = 7 * time.Second
	)

	servers, err := e.startPair(2, 7, true)
	if err != nil {
		return err
	}

	for range losses {
		lost := servers[0]
		servers = servers[1:]

		m := e.fleet.add(lost.m.zone, lost.m.service)
		if err := e.fleet.start(m); err != nil {
			return err
		}

		u, err := e.startServer(m, true)
		if err != nil {
			return err
		}

		servers = append(servers, u)

		if e.trouble {
			lost.crash()
			e.rec.line("server %s is lost for good", lost.cfg.id)
		}

		time.Sleep(gone)

		if e.trouble {
			e.fleet.signal(lost.m, syscall.SIGTERM)
			e.fleet.forget(lost.m)
		}

		for _, u := range servers {
			e.rec.line("server %s holds %d ranges; the last reply had %d bytes", u.cfg.id, u.heldRanges(), u.replyBytes())
		}
	}

	e.judgeAdded(true, 8*time.Second)

	return nil
}
