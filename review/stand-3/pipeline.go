package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	pipelineConns = 6
	pipelineDepth = 4
)

// pipelineTerm sends pipelined safe requests to a node and stops it while their upstreams are at work.
func pipelineTerm(rec *record, trouble bool) (bool, error) {
	d, err := startDeployment(rec, manifest(map[string]any{
		"host": "jepu9.example", "service": "huvo11a", "kind": "safe", "slo_ms": 600, "timeout_ms": 2000,
	}), "huvo11a", "huvo11a", "huvo11a")
	defer d.close()

	if err != nil {
		return false, err
	}

	var (
		wg   sync.WaitGroup
		mu   sync.Mutex
		lost int
		bad  error
	)

	for i := range pipelineConns {
		wg.Go(func() {
			n, err := d.pipelineClient(fmt.Sprintf("client %d", i+1))

			mu.Lock()
			defer mu.Unlock()

			lost += n

			if err != nil {
				bad = err
			}
		})
	}

	// All requests of the pipelines are at work from 1.1 s on.
	time.Sleep(1250 * time.Millisecond)

	if trouble {
		d.nodes[0].signal(syscall.SIGTERM)
	}

	wg.Wait()
	rec.say("%d of %d requests that an upstream ran got no complete answer", lost, pipelineConns*pipelineDepth)

	return lost > 0, bad
}

// pipelineClient sends a request, and a second later several on the same connection at once. It returns the number of
// requests that an upstream ran and that got no complete answer before the connection ended.
func (d *deployment) pipelineClient(name string) (lost int, err error) {
	c, err := dial(name, d.nodes[0].fields["listen.outbound"], 0, d.rec)
	if err != nil {
		return 0, err
	}
	defer c.close()

	start := time.Now()

	first := newCall("jepu9.example", "/view?ms=30&bytes=800", 2000, 800)
	if err := c.send(first); err != nil {
		return 0, err
	}

	if a := c.receive(first, nil); !a.whole(first) {
		return 0, fmt.Errorf("first request of %s failed: %v", name, a)
	}

	time.Sleep(time.Until(start.Add(time.Second)))

	var calls []*call
	for k := range pipelineDepth {
		calls = append(calls, newCall("jepu9.example", fmt.Sprintf("/view?ms=%d&bytes=800", 400+20*k), 2000, 800))
	}

	if err := c.send(calls...); err != nil {
		return 0, err
	}

	for _, x := range calls {
		a := c.receive(x, nil)
		if a.whole(x) {
			continue
		}

		ran, _ := d.ran(x.id)
		d.rec.add("%s: %s ran %d times and got no complete answer", name, x.id, ran)

		if ran > 0 && a.err != nil {
			lost++
		}
	}

	return lost, nil
}
