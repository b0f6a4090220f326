// Package admin implements the ops.* methods of spard, with which sparctl reads and changes the state of the fleet.
// Any spard of the fleet can serve them.
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
	MethodNode             = "ops.node"
	MethodStatus           = "ops.status"
	MethodExplain          = "ops.explain"
	MethodEvents           = "ops.events"
	MethodPresetList       = "ops.preset_list"
	MethodPresetShow       = "ops.preset_show"
	MethodPresetCheck      = "ops.preset_check"
	MethodPresetDiff       = "ops.preset_diff"
	MethodPresetCreate     = "ops.preset_create"
	MethodPresetForce      = "ops.preset_force"
	MethodPresetRollback   = "ops.preset_rollback"
	MethodActivationStatus = "ops.force_status"
	MethodWithdrawals      = "ops.withdrawals"
	MethodWithdraw         = "ops.withdraw"
	MethodQuarantines      = "ops.quarantines"
	MethodQuarantineLift   = "ops.quarantine_lift"
)

const (
	// changeTimeout bounds the time that one spard spends on a change before it reports the result
	// as unknown; sparctl then sends the change to the next spard.
	changeTimeout spar.Millis = 4000
	// readTimeout bounds a read of the table. After it, the local replica is read instead.
	readTimeout spar.Millis = 1000
	// queryTimeout bounds a call to one peer.
	queryTimeout spar.Millis = 1000
	// maxParallelQueries bounds the calls to peers that are in flight at once.
	maxParallelQueries = 32
	// pushQueueSize bounds the changes that wait to be pushed. Changes beyond it are not pushed;
	// peers pull them.
	pushQueueSize = 64
)

// Deps holds the dependencies of a Service.
type Deps struct {
	Self       func() spar.NodeID
	Replica    *fleet.Replica
	Sync       *fleet.Sync
	Table      spar.Table
	Caller     peers.Caller
	Ring       *event.Ring
	Clock      spar.Clock
	UnixMillis func() int64
	// Report returns this node's own state. The service adds the fields that come from the replica
	// and from the event ring.
	Report func() NodeReport
}

// Service handles the calls of sparctl.
type Service struct {
	Deps

	presets   preset.Store
	pushQueue chan []spar.Row

	mu     sync.Mutex
	window window
}

// New returns a service. Accepted changes are pushed to the peers only while Run is running.
func New(d Deps) *Service {
	return &Service{
		Deps: d, presets: preset.NewStore(d.Table, d.Clock, d.UnixMillis), pushQueue: make(chan []spar.Row, pushQueueSize),
	}
}

// Register adds the service's methods to m.
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
	peers.Handle(m, MethodActivationStatus, s.activationStatus)
	peers.Handle(m, MethodWithdrawals, s.withdrawals)
	peers.Handle(m, MethodWithdraw, s.withdraw)
	peers.Handle(m, MethodQuarantines, s.quarantines)
	peers.Handle(m, MethodQuarantineLift, s.lift)
}

// Run pushes accepted changes to the peers and samples the refusal counters until ctx ends.
func (s *Service) Run(ctx context.Context) {
	s.loop(ctx)
}

func (s *Service) loop(ctx context.Context) {
	for {
		t := s.Clock.Timer(sampleInterval)
		s.sampleRefusals()

		select {
		case <-ctx.Done():
			t.Stop()

			return
		case rows := <-s.pushQueue:
			t.Stop()
			s.Sync.Push(ctx, s.Self(), rows)
		case <-t.C:
		}
	}
}

// publish merges the rows of an accepted change into the local replica, records its event, and
// queues the rows for the loop, which pushes them to the peers.
func (s *Service) publish(r change.Result, e spar.Event) change.Result {
	if r.Verdict != change.Accepted || len(r.Rows) == 0 {
		return r
	}

	s.Replica.Merge(r.Rows, 0)

	e.Revision, e.Detail = r.Revision, r.Detail
	if e.Kind != "" {
		s.Ring.Record(e)
	}

	select {
	case s.pushQueue <- r.Rows:
	default:
	}

	return r
}

// changeContext bounds ctx by changeTimeout.
func (s *Service) changeContext(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, changeTimeout.Duration())
}

// readRows returns the rows under prefix and their source: the table, or the replica if the table
// does not answer within readTimeout.
func (s *Service) readRows(ctx context.Context, prefix string) ([]spar.Row, string) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout.Duration())
	defer cancel()

	rows, _, err := s.Table.Scan(ctx, prefix, 0)
	if err != nil {
		return s.Replica.View().Rows(prefix), SourceReplica
	}

	s.Replica.Merge(rows, 0)

	return rows, SourceTable
}

// response is the result of a call to one node, or the error of the call.
type response[R any] struct {
	node   spar.Node
	result R
	err    error
}

// queryNodes calls a method on several nodes in parallel and returns the responses in the order of
// nodes. For the service's own node it calls queryLocal instead.
func queryNodes[P, R any](
	ctx context.Context, s *Service, nodes []spar.Node, method string, params P,
	queryLocal func(context.Context, P) (R, error),
) []response[R] {
	responses := make([]response[R], len(nodes))
	semaphore := make(chan struct{}, maxParallelQueries)

	var wg sync.WaitGroup

	for i, n := range nodes {
		responses[i].node = n
		semaphore <- struct{}{}

		wg.Go(func() {
			defer func() { <-semaphore }()

			if n.ID == s.Self() {
				responses[i].result, responses[i].err = queryLocal(ctx, params)

				return
			}

			ctx, cancel := context.WithTimeout(ctx, queryTimeout.Duration())
			defer cancel()

			responses[i].err = s.Caller.Call(ctx, n.PeerAddr, method, params, &responses[i].result)
		})
	}

	wg.Wait()

	return responses
}
