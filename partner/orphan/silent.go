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

// SilentAfter is how long a router must be silent before its attempts are charged by
// another. A router that is only cut off may return; its own charges then replace those
// made here.
const SilentAfter = 2 * time.Minute

// lastSeen is what the pages of a region's budgets record of a router.
type lastSeen struct {
	// at is its newest report, in seconds of Unix time.
	at int64
	// closed says that it stopped gracefully, with its charges in the store.
	closed bool
}

// isSilent decides whether a router's attempts are to be charged by another: it
// did not stop gracefully and has not reported for SilentAfter.
func (l lastSeen) isSilent(now time.Time) bool {
	return !l.closed && now.Sub(time.Unix(l.at, 0)) > SilentAfter
}

// Silent returns the incarnations of the region that drew on budgets, did not
// stop gracefully and have been silent for SilentAfter. Its errors are the
// store's, or of a page that can't be read.
func (s *Settler) Silent(ctx context.Context, now time.Time) ([]granitehoist.Incarnation, error) {
	seen, err := s.readLastSeen(ctx)
	if err != nil {
		return nil, err
	}
	var silent []granitehoist.Incarnation
	for id, l := range seen {
		if l.isSilent(now) {
			silent = append(silent, id)
		}
	}
	sort.Slice(silent, func(i, j int) bool { return silent[i] < silent[j] })
	return silent, nil
}

// readLastSeen reads the pages of all shards; a router has a row in each that it
// drew on.
func (s *Settler) readLastSeen(ctx context.Context) (map[granitehoist.Incarnation]lastSeen, error) {
	seen := map[granitehoist.Incarnation]lastSeen{}
	for shard := range budget.Shard(s.settings.Shards) {
		entry, err := s.settings.Store.Get(ctx, budget.PageKey(s.settings.Region, shard))
		if err != nil {
			return nil, err
		}
		page, err := budget.DecodePage(entry)
		if err != nil {
			return nil, err
		}
		for id, m := range page.Members {
			l := seen[id]
			seen[id] = lastSeen{at: max(l.at, m.Seen), closed: l.closed || m.Closed}
		}
	}
	return seen, nil
}
