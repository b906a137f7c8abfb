// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package orphan

import (
	"context"
	"sort"
	"time"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/partner/budget"
)

// UnresponsiveTimeout is the time after the last report of a router from which another router
// charges the first router's attempts. A partitioned router may return later and store its
// own charges for these attempts; bill.Merge then drops the orphan charges.
const UnresponsiveTimeout = 2 * time.Minute

// lastSeen is the newest state of a router in the region records of its region.
type lastSeen struct {
	// at is the time of the router's newest report, in seconds since the Unix epoch.
	at int64
	// closed means that the router stopped gracefully, with all its charges in the store.
	closed bool
}

// isUnresponsive reports whether the router did not stop gracefully and has not reported for
// more than UnresponsiveTimeout.
func (l lastSeen) isUnresponsive(now time.Time) bool {
	return !l.closed && now.Sub(time.Unix(l.at, 0)) > UnresponsiveTimeout
}

// UnresponsiveRouters returns, in order, the incarnations of the region that drew on
// budgets, did not stop gracefully and have not reported for more than
// UnresponsiveTimeout. It returns the errors of the store, and an error if a region record
// can't be decoded.
func (s *Settler) UnresponsiveRouters(ctx context.Context, now time.Time) ([]granitehoist.Incarnation, error) {
	seen, err := s.readLastSeen(ctx)
	if err != nil {
		return nil, err
	}
	var unresponsive []granitehoist.Incarnation
	for id, l := range seen {
		if l.isUnresponsive(now) {
			unresponsive = append(unresponsive, id)
		}
	}
	sort.Slice(unresponsive, func(i, j int) bool { return unresponsive[i] < unresponsive[j] })
	return unresponsive, nil
}

// readLastSeen merges the region records of all shards. A router has a row in the record of
// each shard that it drew on.
func (s *Settler) readLastSeen(ctx context.Context) (map[granitehoist.Incarnation]lastSeen, error) {
	seen := map[granitehoist.Incarnation]lastSeen{}
	for shard := range budget.Shard(s.settings.Shards) {
		entry, err := s.settings.Store.Get(ctx, budget.RegionKey(s.settings.Region, shard))
		if err != nil {
			return nil, err
		}
		record, err := budget.DecodeRegionRecord(entry)
		if err != nil {
			return nil, err
		}
		for id, m := range record.Members {
			l := seen[id]
			seen[id] = lastSeen{at: max(l.at, m.LastSeen), closed: l.closed || m.Closed}
		}
	}
	return seen, nil
}
