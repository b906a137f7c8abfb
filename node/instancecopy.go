// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package node

import (
	"go.uber.org/zap"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/balance"
	"granitehoist.example/granitehoist/exchange"
	"granitehoist.example/granitehoist/follow"
	"granitehoist.example/granitehoist/internal/event"
)

// instanceCopy is the node's copy of the instances' announcements. Only its
// follower's goroutine changes it; the instances themselves are in the table.
type instanceCopy struct {
	adapter  *Adapter
	table    *balance.Table
	pool     *exchange.Pool
	clock    granitehoist.Clock
	log      *zap.Logger
	follower *follow.Follower
}

func newInstanceCopy(n *Node) *instanceCopy {
	c := &instanceCopy{adapter: &n.adapter, table: n.parts.table, pool: n.parts.pool, clock: n.clock, log: n.log}
	c.follower = n.newFollower(follow.Settings{Prefix: n.adapter.InstancesPrefix, Changed: c.changed, Unchanged: c.same})
	return c
}

// same reports whether an instance announced itself again as before. Entries
// that can't be read are never the same.
func (c *instanceCopy) same(before, after granitehoist.Entry) bool {
	old, err := c.adapter.DecodeInstance(before)
	if err != nil {
		return false
	}
	now, err := c.adapter.DecodeInstance(after)
	return err == nil && repeatsAnnouncement(old, now)
}

// changed takes in changed announcements; at is the store's version that they
// bring the copy to.
func (c *instanceCopy) changed(entries []granitehoist.Entry, at granitehoist.Version) {
	for _, e := range entries {
		if entryRemovesInstance(e) {
			c.remove(e.Key, at)
			continue
		}
		instance, err := c.adapter.DecodeInstance(e)
		if err != nil {
			c.log.Error(event.UpstreamBad, zap.Uint64("version", uint64(e.Version)), zap.Error(err))
			continue
		}
		c.announce(instance)
	}
}

// announce enters an instance in the table, which keeps the newer of two
// announcements.
func (c *instanceCopy) announce(instance balance.Instance) {
	before, known := c.table.Announce(instance)
	if known && !isNewsOfInstance(before, instance) {
		return
	}
	c.log.Info(event.Upstream,
		zap.String("upstream", string(instance.ID)),
		zap.String("service", string(instance.Service)),
		zap.String("address", instance.Address),
		zap.Bool("draining", instance.Draining),
		zap.Uint64("version", uint64(instance.Version)))
}

// remove takes an instance out of the table and closes the idle connections to
// its address. One that was never announced, or is removed already, is no news.
func (c *instanceCopy) remove(key string, at granitehoist.Version) {
	instance, known := c.table.Remove(c.adapter.InstanceID(key), c.clock())
	if !known {
		return
	}
	c.pool.Forget(instance.Address)
	c.log.Info(event.UpstreamGone, zap.String("upstream", string(instance.ID)), zap.Uint64("at", uint64(at)))
}
