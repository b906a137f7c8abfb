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

// The three rules on the entries of the instances. The entries come from the store
// or from a neighbour's copy of it, in the order of their versions: package follow
// never replaces an entry by an older one.

// entryRemovesInstance decides whether an instance counts as removed: when its
// entry was deleted, or is missing in a newer list, which follow reports as a
// deletion. An instance that does not answer is not removed; balance.Table sends
// it no requests for a while. An entry that can't be read removes nothing either:
// the last announcement that could be read stays.
func entryRemovesInstance(e granitehoist.Entry) bool { return e.Deleted }

// repeatsAnnouncement decides whether an announcement equals the one before in all
// but its version, so that it need not be passed on. Instances write their
// entries again as a heartbeat: on tuul-hire-grown quiet-1 11,761 of 17,106 calls
// to the store were watches that heartbeats woke (commit c1de361).
//
// While an instance is cold the time that it remains so is shorter in each entry. That
// is no news, but a longer one is: it has become cold again.
func repeatsAnnouncement(before, after balance.Instance) bool {
	before.Version = after.Version
	if after.ColdFor > 0 && after.ColdFor <= before.ColdFor {
		before.ColdFor = after.ColdFor
	}
	return before == after
}

// isNewsOfInstance decides whether an announcement is logged, of an instance that
// the table has already: if its address changed, it began or stopped draining, became
// cold or warm, or began a new life.
func isNewsOfInstance(before, after balance.Instance) bool {
	return before.Draining != after.Draining || before.Address != after.Address ||
		(before.ColdFor > 0) != (after.ColdFor > 0) || before.Born != after.Born
}

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

// same reports whether an entry only repeats the announcement before it. Of entries
// that can't be read only the first is news: their writer writes them again and again.
func (c *instanceCopy) same(before, after granitehoist.Entry) bool {
	old, errBefore := c.adapter.DecodeInstance(before)
	now, errAfter := c.adapter.DecodeInstance(after)
	if errBefore != nil || errAfter != nil {
		return errBefore != nil && errAfter != nil
	}
	return repeatsAnnouncement(old, now)
}

// changed applies changed announcements; at is the store's version of the copy
// after them.
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
	before, known := c.table.Announce(instance, c.clock())
	if known && !isNewsOfInstance(before, instance) {
		return
	}
	c.log.Info(event.Upstream,
		zap.String("upstream", string(instance.ID)),
		zap.String("service", string(instance.Service)),
		zap.String("address", instance.Address),
		zap.Bool("draining", instance.Draining),
		zap.Duration("cold", instance.ColdFor),
		zap.Uint64("version", uint64(instance.Version)))
}

// remove takes an instance out of the table and closes the idle connections to
// its address. It does nothing if the table does not have the instance.
func (c *instanceCopy) remove(key string, at granitehoist.Version) {
	instance, known := c.table.Remove(c.adapter.InstanceID(key), c.clock())
	if !known {
		return
	}
	c.pool.Forget(instance.Address)
	c.log.Info(event.UpstreamGone, zap.String("upstream", string(instance.ID)), zap.Uint64("at", uint64(at)))
}
