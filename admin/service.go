// Package admin serves the methods ops.* by which sparctl reads and changes the fleet through any spard.
package admin

import (
	"context"
	"sync"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/change"
	"sardinespar.example/spar/event"
	"sardinespar.example/spar/fleet"
	"sardinespar.example/spar/peers"
	"sardinespar.example/spar/preset"
)

// The methods that sparctl calls.
const (
	MethodNode           = "ops.node"
	MethodStatus         = "ops.status"
	MethodExplain        = "ops.explain"
	MethodEvents         = "ops.events"
	MethodPresetList     = "ops.preset_list"
	MethodPresetShow     = "ops.preset_show"
	MethodPresetCheck    = "ops.preset_check"
	MethodPresetDiff     = "ops.preset_diff"
	MethodPresetCreate   = "ops.preset_create"
	MethodPresetForce    = "ops.preset_force"
	MethodPresetRollback = "ops.preset_rollback"
	MethodForceStatus    = "ops.force_status"
	MethodWithdrawals    = "ops.withdrawals"
	MethodWithdraw       = "ops.withdraw"
	MethodQuarantines    = "ops.quarantines"
	MethodLift           = "ops.quarantine_lift"
)

const (
	// changeTimeout bounds how long one spard works on a change before it says that it does not
	// know the result; sparctl then asks the next spard.
	changeTimeout spar.Millis = 4000
	// readTimeout bounds a read of the table, after which the replica answers.
	readTimeout spar.Millis = 1000
	// askTimeout bounds a question to one peer.
	askTimeout spar.Millis = 1000
	// askParallel bounds the questions under way at once.
	askParallel = 32
	// pushQueue bounds the changes that wait to be pushed; what does not fit travels by pulls.
	pushQueue = 64
)

// Deps are what the service works with.
type Deps struct {
	Self    func() spar.NodeID
	Replica *fleet.Replica
	Spread  *fleet.Sync
	Table   spar.Table
	Calls   peers.Caller
	Ring    *event.Ring
	Clock   spar.Clock
	Wall    func() int64
	// Report returns what this node says of itself; the service adds what the replica and the ring
	// tell.
	Report func() NodeReport
}

// Service answers sparctl.
type Service struct {
	Deps

	presets preset.Store
	pushes  chan []spar.Row

	mu     sync.Mutex
	window window
}

// New returns a service; its Run spreads accepted changes.
func New(d Deps) *Service {
	return &Service{
		Deps: d, presets: preset.NewStore(d.Table, d.Clock, d.Wall), pushes: make(chan []spar.Row, pushQueue),
	}
}

// Register adds the methods that sparctl and peers call.
func (s *Service) Register(m *peers.Mux) {
	peers.Handle(m, MethodNode, s.node)
	peers.Handle(m, MethodStatus, s.status)
	peers.Handle(m, MethodExplain, s.explain)
	peers.Handle(m, MethodEvents, s.events)
	peers.Handle(m, MethodPresetList, s.presetList)
	peers.Handle(m, MethodPresetShow, s.presetShow)
	peers.Handle(m, MethodPresetCheck, s.presetCheck)
	peers.Handle(m, MethodPresetDiff, s.presetDiff)
	peers.Handle(m, MethodPresetCreate, s.presetCreate)
	peers.Handle(m, MethodPresetForce, s.presetForce)
	peers.Handle(m, MethodPresetRollback, s.presetRollback)
	peers.Handle(m, MethodForceStatus, s.forceStatus)
	peers.Handle(m, MethodWithdrawals, s.withdrawals)
	peers.Handle(m, MethodWithdraw, s.withdraw)
	peers.Handle(m, MethodQuarantines, s.quarantines)
	peers.Handle(m, MethodLift, s.lift)
}

// Run spreads accepted changes and samples refusals until ctx ends.
func (s *Service) Run(ctx context.Context) {
	s.loop(ctx)
}

func (s *Service) loop(ctx context.Context) {
	for {
		t := s.Clock.Timer(windowSpan)
		s.sample()

		select {
		case <-ctx.Done():
			t.Stop()

			return
		case rows := <-s.pushes:
			t.Stop()
			s.Spread.Push(ctx, s.Self(), rows)
		case <-t.C:
		}
	}
}

// finish merges an accepted change here and hands it to the loop, which pushes it to the peers.
func (s *Service) finish(r change.Result, e spar.Event) change.Result {
	if r.Verdict != change.Accepted || len(r.Rows) == 0 {
		return r
	}

	s.Replica.Merge(r.Rows, 0)

	e.Revision, e.Detail = r.Revision, r.Detail
	if e.Kind != "" {
		s.Ring.Record(e)
	}

	select {
	case s.pushes <- r.Rows:
	default:
	}

	return r
}

func (s *Service) bounded(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, changeTimeout.Duration())
}

// current returns the rows under prefix from the table, or from the replica if the table does not
// answer in time, and which of them it was.
func (s *Service) current(ctx context.Context, prefix string) ([]spar.Row, string) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout.Duration())
	defer cancel()

	rows, _, err := s.Table.Scan(ctx, prefix, 0)
	if err != nil {
		return s.Replica.View().Rows(prefix), SourceReplica
	}

	s.Replica.Merge(rows, 0)

	return rows, SourceTable
}

// answer is what one node said; err tells that it did not answer.
type answer[R any] struct {
	node   spar.Node
	result R
	err    error
}

// ask puts a question to nodes at the same time. The service's own node is asked by local.
func ask[P, R any](
	ctx context.Context, s *Service, nodes []spar.Node, method string, params P,
	local func(context.Context, P) (R, error),
) []answer[R] {
	answers := make([]answer[R], len(nodes))
	free := make(chan struct{}, askParallel)

	var wg sync.WaitGroup

	for i, n := range nodes {
		answers[i].node = n
		free <- struct{}{}

		wg.Go(func() {
			defer func() { <-free }()

			if n.ID == s.Self() {
				answers[i].result, answers[i].err = local(ctx, params)

				return
			}

			ctx, cancel := context.WithTimeout(ctx, askTimeout.Duration())
			defer cancel()

			answers[i].err = s.Calls.Call(ctx, n.PeerAddr, method, params, &answers[i].result)
		})
	}

	wg.Wait()

	return answers
}
