// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package node

import (
	"context"
	"fmt"
	"time"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/balance"
	"granitehoist.example/granitehoist/fleet"
	"granitehoist.example/granitehoist/forward"
	"granitehoist.example/granitehoist/rollout"
)

// rollouts connects the roll-outs to the node. Without Config.Rollout.Enabled it does
// nothing.
type rollouts struct {
	adapter     *Adapter
	gate        *rollout.Gate
	coordinator *rollout.Coordinator
	// read says that the orders have been read for the first time. Only the goroutine of the
	// orders' follower uses it.
	read bool
}

func newRollouts(n *Node, c *components) *rollouts {
	r := &rollouts{adapter: &n.adapter}
	if !n.config.Rollout.Enabled {
		return r
	}
	r.gate = rollout.NewGate(n.config.Rollout)
	r.coordinator = rollout.New(rollout.Settings{
		Terms:         n.config.Rollout,
		Self:          c.peers.settings.self.member(),
		Gate:          r.gate,
		Store:         n.adapter.Store,
		StatusKey:     n.adapter.StatusKey,
		EncodeStatus:  n.adapter.EncodeStatus,
		Releases:      c.table.Releases,
		OrdersVersion: func() granitehoist.Version { return n.configs.follower.AppliedVersion() },
		Members:       c.peers.members,
		Caller:        c.peers,
		Regions:       countRegions(n.config.Regions),
		Stopping:      n.stopping.Load,
		Clock:         n.clock,
		Log:           n.log,
	})
	return r
}

// forwarder returns the roll-outs of the forwarder, nil if they are disabled.
func (r *rollouts) forwarder() forward.Rollouts {
	if r.gate == nil {
		return nil
	}
	return r.gate
}

// applyOrders applies the changed orders among the operators' entries. missed is
// follow.Follower.Missed.
func (r *rollouts) applyOrders(entries []granitehoist.Entry, missed time.Duration) {
	if r.coordinator == nil {
		return
	}
	for _, e := range entries {
		if service, found := r.adapter.OrderedService(e.Key); found {
			r.applyOrder(service, e, missed)
		}
	}
	if !r.read {
		r.read = true
		r.coordinator.OrdersRead()
	}
}

func (r *rollouts) applyOrder(service granitehoist.Service, e granitehoist.Entry, missed time.Duration) {
	if e.Deleted {
		r.coordinator.Withdraw(service, e.Version)
		return
	}
	order, err := r.adapter.DecodeOrder(e)
	if err != nil {
		r.coordinator.SetUnreadable(service, e.Version, err)
		return
	}
	r.coordinator.SetOrder(order, rollout.Sighting{AtStart: !r.read, Missed: missed})
}

// announce handles an announcement of an instance before the table has it.
func (r *rollouts) announce(instance balance.Instance) {
	if r.coordinator != nil {
		r.coordinator.Announce(instance.Service, instance.Release, instance.Version)
	}
}

// refresh handles changes of the instances in the table.
func (r *rollouts) refresh() {
	if r.coordinator != nil {
		r.coordinator.Refresh()
	}
}

// noteRestored makes the coordinator write again what a restored store may have lost.
func (r *rollouts) noteRestored() {
	if r.coordinator != nil {
		r.coordinator.NoteStoreRestored()
	}
}

// addMethods adds the methods that other routers call.
func (r *rollouts) addMethods(methods map[string]fleet.HandlerFunc) {
	if r.coordinator != nil {
		methods[rollout.MethodReport] = fleet.Handle(r.coordinator.ServeReport)
	}
}

// run carries out orders until ctx ends.
func (r *rollouts) run(ctx context.Context) {
	if r.coordinator != nil {
		r.coordinator.Run(ctx)
	}
}

// metricLines returns the metrics of the orders.
func (r *rollouts) metricLines() []string {
	if r.coordinator == nil {
		return nil
	}
	var lines []string
	for _, p := range r.coordinator.Progress() {
		lines = append(lines, fmt.Sprintf("%s{service=%q,target=%q,stage=%q} %g", metricRolloutShare, p.Service, p.Target, p.Stage, p.Share))
		target, baseline := p.Evidence.Sides()
		for side, arm := range map[string]rollout.Arm{"target": target, "baseline": baseline} {
			lines = append(lines,
				fmt.Sprintf("%s{service=%q,side=%q,result=\"good\"} %d", metricRolloutAnswers, p.Service, side, arm.Good),
				fmt.Sprintf("%s{service=%q,side=%q,result=\"bad\"} %d", metricRolloutAnswers, p.Service, side, arm.Bad))
		}
	}
	return lines
}

// member returns the router as package rollout names it.
func (e peerEntry) member() rollout.Member { return rollout.Member{Box: e.Box, Peer: e.peer()} }

// members returns all routers, this one included.
func (p *peers) members() []rollout.Member {
	view := p.view()
	members := []rollout.Member{view.self.member()}
	for _, other := range view.others {
		members = append(members, other.member())
	}
	return members
}

// countRegions returns the number of regions.
func countRegions(regions map[granitehoist.AvailabilityZone]granitehoist.Region) int {
	distinct := map[granitehoist.Region]bool{}
	for _, region := range regions {
		distinct[region] = true
	}
	return len(distinct)
}
