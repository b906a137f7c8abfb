// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package node

import (
	"time"

	"go.uber.org/zap"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/balance"
	"granitehoist.example/granitehoist/catalog"
	"granitehoist.example/granitehoist/escrow"
	"granitehoist.example/granitehoist/follow"
	"granitehoist.example/granitehoist/internal/event"
)

// configCopy is the node's copy of the configuration. Only its follower's goroutine
// activates a configuration; reading catalog needs no lock. A configuration that cannot
// be decoded leaves the previous one active.
type configCopy struct {
	adapter *Adapter
	// catalog holds the active configuration. It is empty before the first one.
	catalog *catalog.Current
	// ledger and syncer receive the budgets of the workspaces.
	ledger *escrow.Ledger
	syncer *escrow.Syncer
	// table is told which availability zones are evacuated.
	table *balance.Table
	// rollouts receives the orders of roll-outs.
	rollouts *rollouts
	clock    granitehoist.Clock
	log      *zap.Logger
	follower *follow.Follower
}

// rewriteTime is how long an operator's entry that a restored store has lost stays in force
// while the operator has not written it again.
const rewriteTime = 3 * time.Second

func newConfigCopy(n *Node, current *catalog.Current) *configCopy {
	c := &configCopy{adapter: &n.adapter, catalog: current, ledger: n.components.ledger, syncer: n.components.syncer, table: n.components.table, rollouts: n.components.rollouts, clock: n.clock, log: n.log}
	c.follower = n.newFollower(follow.Settings{
		Prefix: n.adapter.ConfigPrefix, OnChange: c.applyEntries,
		Compare: n.adapter.CompareConfigs, KeepMissing: rewriteTime,
	})
	return c
}

// applyEntries applies changed entries: first the evacuations and the orders of roll-outs, so
// that a starting router serves no request without them, then the configuration. If the configuration's entry is
// deleted or invalid, the last configuration stays active.
func (c *configCopy) applyEntries(entries []granitehoist.Entry, _ granitehoist.Version) {
	for _, e := range entries {
		c.applyEvacuation(e)
	}
	c.rollouts.applyOrders(entries, c.follower.Missed())
	for _, e := range entries {
		if e.Key != c.adapter.ConfigKey || e.Deleted {
			continue
		}
		snapshot, err := c.decode(e)
		if err != nil {
			c.log.Error(event.ConfigBad, zap.Uint64("version", e.Version.Revision()), zap.Error(err))
			continue
		}
		c.activate(snapshot)
	}
}

// applyEvacuation starts or ends the evacuation of an availability zone, if the entry is
// about one.
func (c *configCopy) applyEvacuation(e granitehoist.Entry) {
	zone, found := c.adapter.EvacuatedZone(e.Key)
	switch {
	case !found:
	case e.Deleted && c.table.Restore(zone, c.clock()):
		c.log.Info(event.ZoneRestored, zap.String("zone", string(zone)), zap.Uint64("version", e.Version.Revision()))
	case !e.Deleted && c.table.Evacuate(zone):
		c.log.Info(event.ZoneEvacuated, zap.String("zone", string(zone)), zap.Uint64("version", e.Version.Revision()))
	}
}

func (c *configCopy) decode(e granitehoist.Entry) (*catalog.Snapshot, error) {
	document, err := c.adapter.DecodeConfig(e)
	if err != nil {
		return nil, err
	}
	return catalog.Build(document, e.Version)
}

// activate makes a configuration the active one and passes its budgets to the ledger. It
// does nothing if the configuration is not newer than the active one.
func (c *configCopy) activate(snapshot *catalog.Snapshot) {
	if !c.catalog.Offer(snapshot) {
		return
	}
	for name, w := range snapshot.Workspaces() {
		if w.Limited {
			c.ledger.SetLimit(name, w.Prepaid)
		}
	}
	c.syncer.TriggerSync()
	c.log.Info(event.ConfigInForce, zap.Uint64("version", snapshot.Version.Revision()), zap.Int64("revision", snapshot.Revision))
}
