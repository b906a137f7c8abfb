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

// The entries of the instances come from the store or from a neighbour's copy of it, in
// order of their versions: package follow never replaces an entry by an older one.

// isInstanceRemoval decides whether an entry removes its instance: only if it was
// deleted, or is missing in a newer list, which package follow reports as a deletion. An
// instance that does not respond is not removed, and an entry that cannot be decoded
// leaves the last valid one in force.
func isInstanceRemoval(e granitehoist.Entry) bool { return e.Deleted }

// isHeartbeat decides whether an announcement differs from the one before only in its
// version, so that it need not be passed on to other nodes. Instances rewrite their
// entries as heartbeats.
//
// The ColdFor of a cold instance shrinks from entry to entry until it is zero. A smaller
// positive value is therefore not a difference. A larger value is one, since the instance
// has become cold again, and so is zero, since the instance is now warm.
func isHeartbeat(before, after balance.Instance) bool {
	before.Version = after.Version
	if after.ColdFor > 0 && after.ColdFor <= before.ColdFor {
		before.ColdFor = after.ColdFor
	}
	return before == after
}

// shouldLogInstance decides whether a new announcement of a known instance is logged: if
// it moved, started or stopped draining, became cold or warm, or restarted.
func shouldLogInstance(before, after balance.Instance) bool {
	return before.Draining != after.Draining || before.Address != after.Address ||
		(before.ColdFor > 0) != (after.ColdFor > 0) || before.StartedAtMS != after.StartedAtMS
}

// instanceCopy is the node's copy of the instances' announcements. Only its follower's
// goroutine changes it; the instances are held by the table.
type instanceCopy struct {
	adapter  *Adapter
	table    *balance.Table
	pool     *exchange.Pool
	rollouts *rollouts
	releases *releaseRegistry
	clock    granitehoist.Clock
	log      *zap.Logger
	follower *follow.Follower
}

func newInstanceCopy(n *Node) *instanceCopy {
	c := &instanceCopy{adapter: &n.adapter, table: n.components.table, pool: n.components.pool, rollouts: n.components.rollouts, releases: n.components.origins.registry, clock: n.clock, log: n.log}
	c.follower = n.newFollower(follow.Settings{
		Prefix: n.adapter.InstancesPrefix, OnChange: c.applyEntries, Equivalent: c.isRepeated,
		Compare: n.adapter.CompareInstances,
	})
	return c
}

// isRepeated reports whether an entry only repeats the one before: either the later one is
// a heartbeat, or neither can be decoded. It returns false if only one can be decoded.
func (c *instanceCopy) isRepeated(before, after granitehoist.Entry) bool {
	instanceBefore, errBefore := c.adapter.DecodeInstance(before)
	instanceAfter, errAfter := c.adapter.DecodeInstance(after)
	if errBefore != nil || errAfter != nil {
		return errBefore != nil && errAfter != nil
	}
	return isHeartbeat(instanceBefore, instanceAfter)
}

// applyEntries applies changed entries; at is the store version of the copy after them.
func (c *instanceCopy) applyEntries(entries []granitehoist.Entry, at granitehoist.Version) {
	for _, e := range entries {
		if isInstanceRemoval(e) {
			c.remove(e.Key, at)
			continue
		}
		instance, err := c.adapter.DecodeInstance(e)
		if err != nil {
			c.log.Error(event.UpstreamBad, zap.Uint64("version", e.Version.Revision()), zap.Error(err))
			continue
		}
		c.announce(instance)
	}
	c.rollouts.refresh()
}

// announce adds an instance to the table, which keeps the newer of two announcements.
func (c *instanceCopy) announce(instance balance.Instance) {
	c.rollouts.announce(instance)
	c.releases.announce(instance)
	before, known := c.table.Announce(instance, c.clock())
	if known && !shouldLogInstance(before, instance) {
		return
	}
	c.log.Info(event.Upstream,
		zap.String("upstream", string(instance.ID)),
		zap.String("service", string(instance.Service)),
		zap.String("address", instance.Address),
		zap.String("release", string(instance.Release)),
		zap.Bool("draining", instance.Draining),
		zap.Duration("cold", instance.ColdFor),
		zap.Uint64("version", instance.Version.Revision()))
}

// remove removes an instance from the table and closes the idle connections to its
// address. It does nothing if the table does not have the instance.
func (c *instanceCopy) remove(key string, at granitehoist.Version) {
	instance, known := c.table.Remove(c.adapter.InstanceID(key), c.clock())
	if !known {
		return
	}
	c.pool.CloseIdle(instance.Address)
	c.log.Info(event.UpstreamGone, zap.String("upstream", string(instance.ID)), zap.Uint64("at", at.Revision()))
}
