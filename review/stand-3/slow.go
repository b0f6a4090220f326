package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	slowReaders = 5
	// slowBytes is the length of a download, and slowRate the rate at which a client reads it, in bytes per second.
	slowBytes = 1130*(16<<10) + 1000
	slowRate  = 4 << 20
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

// slowTerm stops a node while a client slowly reads the last part of a download from it.
func slowTerm(rec *record, trouble bool) (bool, error) {
	d, err := startDeployment(rec, slowManifest(), "gowu98c", "huvo11a", "huvo11a")
	defer d.close()

	if err != nil {
		return false, err
	}

	begin := time.Now()

	if trouble {
		time.AfterFunc(100*time.Millisecond, func() { d.nodes[0].signal(syscall.SIGTERM) })
	}

	pace := func(total int) func(int) {
		return func(n int) {
			total += n
			time.Sleep(time.Until(begin.Add(time.Duration(total) * time.Second / slowRate)))
		}
	}

	lost, bad := d.download("client 1", slowBytes, pace(0))

	return lost, bad
}

// slowReader lets clients pause while they read a download.
func slowReader(rec *record, trouble bool) (bool, error) {
	d, err := startDeployment(rec, slowManifest(), "gowu98c", "huvo11a", "huvo11a")
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

	for i := range slowReaders {
		wg.Go(func() {
			total := 0
			l, err := d.download(fmt.Sprintf("client %d", i+1), pauseBytes, func(n int) {
				if total += n; trouble && total > readBytes && total-n <= readBytes {
					time.Sleep(pauseTime)
				}
			})

			mu.Lock()
			defer mu.Unlock()

			if l {
				lost++
			}

			if err != nil {
				bad = err
			}
		})
	}

	wg.Wait()
	rec.say("%d of %d downloads that an upstream ran got no complete answer", lost, slowReaders)

	return lost > 3, bad
}

// download sends a short request and a download on one connection. It reports whether the download ran and got no
// complete answer within the client's time budget.
func (d *deployment) download(name string, size int, pace func(int)) (lost bool, err error) {
	c, err := dial(name, d.nodes[0].fields["listen.outbound"], receiveBytes, d.rec)
	if err != nil {
		return false, err
	}
	defer c.close()

	first := newCall("fiti832.example", "/sheet?ms=20&bytes=800", 1500, 800)
	if err := c.send(first); err != nil {
		return false, err
	}

	if a := c.receive(first, nil); !a.whole(first) {
		return false, fmt.Errorf("first request of %s failed: %v", name, a)
	}

	x := newCall("fiti832.example", fmt.Sprintf("/sheet?ms=20&bytes=%d", size), slowBudget, size)
	if err := c.send(x); err != nil {
		return false, err
	}

	a := c.receive(x, pace)
	took := time.Since(x.sent)
	ran, _ := d.ran(x.id)

	if a.whole(x) {
		return false, nil
	}

	d.rec.say("%s: download %s ran %d times and ended after %d ms: %v", name, x.id, ran, took.Milliseconds(), a)

	return ran > 0 && a.err != nil && took < slowBudget*time.Millisecond, nil
}
