package quota_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a bucket and an entry that stay forever for a tenant that the rules no longer contain.
func TestRemovedTenantIsForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		l := &tenantLoad{name: "removed", rate: 10, burst: 10}
		f := newFleet(ctx, t, 3, l)

		time.Sleep(warmUp)
		f.setLimit(l, 0, 0)
		time.Sleep(5 * time.Minute)

		for _, n := range f.nodes {
			c.Check(n.proc.quota.Remembered(), qt.Equals, 0, qt.Commentf(n.name))
		}

		f.finish(cancel)
	})
}
