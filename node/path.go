// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package node

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"granitehoist.example/granitehoist/balance"
	"granitehoist.example/granitehoist/exchange"
	"granitehoist.example/granitehoist/internal/event"
	"granitehoist.example/granitehoist/internal/pause"
)

const (
	// pathProbeInterval is the time between two probes of the direct path while it is not
	// open.
	pathProbeInterval = 250 * time.Millisecond
	// pathProbes is the number of upstreams probed at a time, isolatedPathProbes the number
	// while the node is isolated: after a crash of most upstreams it has to find one of the
	// others.
	pathProbes         = 2
	isolatedPathProbes = 8
)

// pathMonitor probes the direct path to the upstreams while it is not open, so that the
// node returns to it also if callers send nothing. It is safe for concurrent use.
type pathMonitor struct {
	table   *balance.Table
	detours *detours
	log     *zap.Logger
	wake    chan struct{}
	// pool is set before the first change of the path.
	pool *exchange.Pool

	// mu guards lost, whether the path was lost at the last change.
	mu   sync.Mutex
	lost bool
}

// newPathMonitor returns a pathMonitor. Its pool must be set before use.
func newPathMonitor(n *Node, t *balance.Table, d *detours) *pathMonitor {
	return &pathMonitor{table: t, detours: d, log: n.log, wake: make(chan struct{}, 1)}
}

// onChange handles a change of the path.
func (m *pathMonitor) onChange() {
	wake(m.wake)
	m.mu.Lock()
	defer m.mu.Unlock()
	lost := m.pool.Path() == exchange.PathLost
	if lost == m.lost {
		return
	}
	m.lost = lost
	// The failures of upstreams up to now may have been those of the path.
	m.table.ForgetFailures()
	if lost {
		m.log.Warn(event.PathLost)
	} else {
		m.log.Info(event.PathRegained)
	}
}

// run probes the path whenever it is not open, until ctx ends.
func (m *pathMonitor) run(ctx context.Context) {
	for ctx.Err() == nil {
		waitForWake(ctx, m.wake)
		for ctx.Err() == nil && m.pool.Path() != exchange.PathOpen {
			m.probe(ctx)
			pause.For(ctx, pathProbeInterval)
		}
	}
}

// probe dials some upstreams and keeps a detour known.
func (m *pathMonitor) probe(ctx context.Context) {
	probes := pathProbes
	if m.pool.Path() == exchange.PathIsolated {
		probes = isolatedPathProbes
	}
	var dials sync.WaitGroup
	for _, instance := range m.table.Sample(probes) {
		dials.Go(func() {
			// The pool judges the path by the result.
			_ = m.pool.Probe(ctx, instance.ID, instance.Address)
		})
	}
	// The search is for its effect: the next request finds the route.
	dials.Go(func() { _, _ = m.detours.route(ctx) })
	dials.Wait()
}

// isolated reports whether this node reaches no upstream, directly or through a neighbour,
// although another node may.
func (m *pathMonitor) isolated(now time.Time) bool {
	state := m.pool.Path()
	return (state == exchange.PathIsolated || state == exchange.PathLost) && m.detours.onlyOthersReach(now)
}
