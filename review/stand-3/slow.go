package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	slowReaders = 5
	// receiveBytes is the size of the clients' receive buffers.
	receiveBytes = 16 << 10
	// pauseBytes is the length of a download whose client pauses for pauseTime after readBytes.
	pauseBytes = 120_000
	readBytes  = 16 << 10
	pauseTime  = 2500 * time.Millisecond
	slowBudget = 5000
)

func slowManifest() map[string]any {
	return manifest(
		map[string]any{
			"host": "fiti832.example", "service": "gowu98c", "kind": "download", "slo_ms": 4000, "timeout_ms": slowBudget,
		},
		map[string]any{
			"host": "jepu9.example", "service": "huvo11a", "kind": "safe", "slo_ms": 600, "timeout_ms": 1500,
		},
	)
}

// slowReader lets clients pause while they read a download, behind which they have sent another request.
func slowReader(rec *record, trouble bool) (bool, error) {
	d, err := startDeployment(rec, slowManifest(), "gowu98c", "huvo11a", "huvo11a")
	defer d.close()

	if err != nil {
		return false, err
	}

	var (
		wg    sync.WaitGroup
		mu    sync.Mutex
		total losses
		bad   error
	)

	for i := range slowReaders {
		wg.Go(func() {
			l, err := d.slowClient(fmt.Sprintf("client %d", i+1), trouble)

			mu.Lock()
			defer mu.Unlock()

			total.cut += l.cut
			total.unanswered += l.unanswered

			if err != nil {
				bad = err
			}
		})
	}

	wg.Wait()
	rec.say("of %d requests that an upstream ran, the answers to %d were cut, and %d got not one byte of an answer",
		2*slowReaders, total.cut, total.unanswered)

	return total.unanswered > 3, bad
}

// losses are the requests that ran and got no complete answer within the client's time budget: a part of one, or none.
type losses struct{ cut, unanswered int }

// slowClient sends a short request, and then a download and another short one at once, on one connection. It pauses
// while it reads the download.
func (d *deployment) slowClient(name string, trouble bool) (l losses, err error) {
	c, err := dial(name, d.nodes[0].fields["listen.outbound"], receiveBytes, d.rec)
	if err != nil {
		return l, err
	}
	defer c.close()

	short := func() *call { return newCall("fiti832.example", "/sheet?ms=20&bytes=800", slowBudget, 800) }

	first := short()
	if err := c.send(first); err != nil {
		return l, err
	}

	if a := c.receive(first, nil); !a.whole(first) {
		return l, fmt.Errorf("first request of %s failed: %v", name, a)
	}

	calls := []*call{
		newCall("fiti832.example", fmt.Sprintf("/sheet?ms=20&bytes=%d", pauseBytes), slowBudget, pauseBytes), short(),
	}
	if err := c.send(calls...); err != nil {
		return l, err
	}

	total := 0
	pace := func(n int) {
		if total += n; trouble && total > readBytes && total-n <= readBytes {
			time.Sleep(pauseTime)
		}
	}

	for _, x := range calls {
		a := c.receive(x, pace)
		ran, complete := d.ran(x.id)

		if a.whole(x) || ran == 0 || time.Since(x.sent) > slowBudget*time.Millisecond {
			continue
		}

		d.rec.say("%s: %s ran %d times, its upstream's answer was complete: %t; the client got %v", name, x.id, ran,
			complete, a)

		if a.status == 0 {
			l.unanswered++
		} else {
			l.cut++
		}
	}

	return l, nil
}
