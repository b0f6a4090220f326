package shell_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"

	"sardinespar.example/spar/cmd/sparctl/shell"
	"sardinespar.example/spar/explain"
	"sardinespar.example/spar/gate"
	"sardinespar.example/spar/peers"
)

// Guards against an explanation that leaves out the choice, the refusal or what decided, and against parameters that do
// not arrive at the relay.
func TestRelayExplain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newTestNode(t)
		peers.Handle(n.mux, explain.Method, func(_ context.Context, p explain.Params) (explain.Result, error) {
			x := explain.Result{Node: "n0", Zone: "a", Rules: explain.Rules{Version: 7, Behind: true, Lag: 20}}

			switch p {
			case explain.Params{Method: "PUT", Host: "h", Path: "/a?b", ID: "i", Key: "3", Tenant: "t", TimeLeft: "90"}:
				x.Choice, x.Reason = "n1", "owner of the key"
				x.Owner = &explain.Owner{Key: 3, Node: "n1", Epoch: 5, Known: true}
			case explain.Params{Method: "GET", Host: "h", Path: "/", ID: "explain"}:
				x.Refusal, x.Reason = &explain.Refusal{Status: 503, Reason: "unreachable", RetryAfter: 50}, "no node"
				x.Candidates = []explain.Candidate{{Node: "n2", Zone: "b", Obstacle: "zone withdrawn", Load: gate.Load{Slots: 4}}}
			default:
				return x, errors.New("path: invalid")
			}

			return x, nil
		})

		for _, step := range []struct {
			args   []string
			status int
			texts  []string
		}{
			{
				[]string{"--path", "/a?b", "--method", "PUT", "--id", "i", "--key", "3", "--tenant", "t", "--time-left", "90"},
				shell.ExitOK,
				[]string{
					"goes to: n1: owner of the key", "epoch 5, known, not alive",
					"version 7, peers announce newer ones for 20 ms",
				},
			},
			{
				[]string{"--path", "/"},
				shell.ExitOK,
				[]string{"refused: 503 unreachable: no node; retry after 50 ms", "n2    b     0.0 %   zone withdrawn"},
			},
			{[]string{"--path", "a"}, shell.ExitFailed, []string{"path: invalid"}},
			{nil, shell.ExitUsage, []string{"--path"}},
		} {
			status, out, errs := n.run(append([]string{"relay", "explain", "--host", "h"}, step.args...)...)
			qt.Assert(t, status, qt.Equals, step.status, qt.Commentf("%s%s", out, errs))

			for _, text := range step.texts {
				qt.Assert(t, out+errs, qt.Contains, text)
			}
		}
	})
}
