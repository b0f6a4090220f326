package route_test

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	spar "sardinespar.example/spar"
)

const (
	fileBytes  = 1 << 20
	chunkDelay = 30 * time.Millisecond
)

// file reads in chunks of at most 32 KiB, each after chunkDelay.
type file struct {
	*bytes.Reader
}

func (f file) Read(p []byte) (int, error) {
	time.Sleep(chunkDelay)

	return f.Reader.Read(p[:min(len(p), 32<<10)])
}

// fileContent returns bytes that depend only on their offset.
func fileContent() []byte {
	data := make([]byte, fileBytes)
	for i := range data {
		data[i] = byte(i*31 + i>>8)
	}

	return data
}

// serveFile serves the file. It aborts a resumed request that has no If-Range header.
func (b *backend) serveFile(w http.ResponseWriter, r *http.Request, fault string) {
	resumed := strings.Contains(r.Header.Get(spar.HeaderRequest), ".r")
	if resumed && r.Header.Get("If-Range") == "" {
		panic(http.ErrAbortHandler)
	}

	switch fault {
	case "weak":
		r.Header.Del("If-Range")
		w.Header().Set("ETag", `W/"v"`)
	case "differs, ignores If-Range":
		r.Header.Del("If-Range")

		fallthrough
	case "differs":
		w.Header().Set("ETag", fmt.Sprintf(`"v%d"`, b.node))
	case "ignores range":
		r.Header.Del("Range")

		fallthrough
	default:
		w.Header().Set("ETag", `"v"`)
	}

	http.ServeContent(w, r, "", time.Time{}, file{bytes.NewReader(fileContent())})
}

// download reads a file and reports whether the body ended without an error.
func (c *cluster) download(header http.Header) ([]byte, bool) {
	req, _ := http.NewRequest(http.MethodGet, "http://"+c.vms[fileNodes].httpListener.addr+"/f/file/x", nil)
	req.Header = header.Clone()

	resp, err := c.caller.RoundTrip(req)
	if err != nil {
		return nil, false
	}
	defer resp.Body.Close()

	data, err := io.ReadAll(resp.Body)

	return data, err == nil && resp.StatusCode < 300
}

// Guards against a download that fails because its upstream crashed, a download that uses more than two upstreams,
// and bytes of two files in one answer.
func TestResume(t *testing.T) {
	whole := fileContent()

	for _, test := range []struct {
		name   string
		resume bool
		losses int
		header http.Header
		want   []byte
	}{
		{"whole file", true, 1, http.Header{"If-None-Match": {`"other"`}}, whole},
		{"range", true, 1, http.Header{"Range": {"bytes=1000-999999"}}, whole[1000:1000000]},
		{"end of file", true, 1, http.Header{"Range": {"bytes=-900000"}}, whole[fileBytes-900000:]},
		{"no loss", true, 0, http.Header{"Range": {"bytes=5-9"}}, whole[5:10]},
		{"different ETag", true, 1, http.Header{"X-Fault": {"differs"}}, nil},
		{"different ETag in a partial response", true, 1, http.Header{"X-Fault": {"differs, ignores If-Range"}}, nil},
		{"weak ETag", true, 1, http.Header{"X-Fault": {"weak"}}, nil},
		{"upstream without ranges", true, 1, http.Header{"X-Fault": {"ignores range"}}, nil},
		{"second loss", true, 2, http.Header{}, nil},
		{"baseline", false, 1, http.Header{}, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(fileNodes+1, test.resume)
				defer c.close()

				lost := make(chan struct{})

				go func() {
					defer close(lost)

					for range test.losses {
						time.Sleep(400 * time.Millisecond)
						c.vms[c.runs.latest()].backend.crash()
					}
				}()

				data, ok := c.download(test.header)
				<-lost

				qt.Assert(t, ok, qt.Equals, test.want != nil)

				if ok {
					qt.Assert(t, bytes.Equal(data, test.want), qt.IsTrue)
				} else {
					qt.Assert(t, bytes.HasPrefix(whole, data), qt.IsTrue)
				}
			})
		})
	}
}

// Measures how many downloads fail while one upstream is killed and restarted, and guards against any failure
// when resuming is enabled.
func TestResumeLosses(t *testing.T) {
	lost := map[bool]int{}

	for _, resume := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(fileNodes+1, resume)
			defer c.close()

			var (
				all sync.WaitGroup
				mu  sync.Mutex
			)

			for i := range 60 {
				time.Sleep(50 * time.Millisecond)

				all.Go(func() {
					if data, ok := c.download(http.Header{}); !ok || len(data) != fileBytes {
						mu.Lock()
						defer mu.Unlock()
						lost[resume]++
					}
				})

				switch i {
				case 30:
					c.vms[0].backend.crash()
				case 40:
					c.startBackend(c.vms[0], 0)
				}
			}

			all.Wait()

			resumed := slices.ContainsFunc(c.ring.Events(), func(e spar.Event) bool { return e.Kind == spar.EventResumed })
			qt.Assert(t, resumed, qt.Equals, resume)
		})
	}

	t.Logf("failed of 60 downloads: %d without resuming, %d with resuming", lost[false], lost[true])
	qt.Assert(t, lost[false] > 0, qt.IsTrue)
	qt.Assert(t, lost[true], qt.Equals, 0)
}
