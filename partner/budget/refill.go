// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package budget

import (
	"context"
	"errors"
	"time"

	"granitehoist.example/granitehoist"
)

// refill asks the root for the budgets that the region has too little of, and
// gives back what it has too much of.
func (k *Keeper) refill(ctx context.Context, s Shard, page *Page, asks asksByBudget, now time.Time) error {
	var regionAsks []RegionAsk
	shouldAsk := false
	for _, budget := range sorted(asks) {
		regionAsk := page.prepareAsk(budget, k.settings.Split(budget), now)
		shouldAsk = shouldAsk || page.Accounts[budget].shouldAskRoot(regionAsk, now)
		regionAsks = append(regionAsks, regionAsk)
	}
	if !shouldAsk {
		return nil
	}
	for range conflictTries {
		replies, err := k.askRoot(ctx, s, regionAsks, now)
		if errors.Is(err, granitehoist.ErrConflict) {
			continue
		}
		if err != nil {
			return err
		}
		for _, r := range replies {
			page.takeReply(r, now)
		}
		return nil
	}
	return granitehoist.ErrConflict
}

// rootInterval is the longest time between two reports to the root of an account
// that is in use. The holdings of regions follow demand with this delay. Before
// regions reported at intervals, a region that had drawn too much at the start
// never reported again, and 14.1 % of payable requests were refused (commit
// 82e9a37). The value was chosen.
const rootInterval = 20 * time.Second

// shouldAskRoot decides whether a region reports an account to the root now: if
// requests wait, if tokens were given back that the root has not confirmed, if
// the region never received any, if it has fallen below half of its limit and
// asks for more, or if the last report is rootInterval old. A report costs a
// write of the root's record.
func (a *PageAccount) shouldAskRoot(ask RegionAsk, now time.Time) bool {
	switch {
	case ask.Need > 0, ask.Returned > a.Confirmed, a.Received == 0:
		return true
	case ask.Live < a.Limit/2 && ask.Want > 0:
		return now.Sub(time.Unix(a.ReportedAt, 0)) >= shortfallInterval
	}
	return now.Sub(time.Unix(a.ReportedAt, 0)) >= rootInterval
}

// askRoot reports to the root and returns its replies once they are written.
func (k *Keeper) askRoot(ctx context.Context, s Shard, asks []RegionAsk, now time.Time) ([]regionReply, error) {
	entry, err := k.settings.Store.Get(ctx, RootKey(s))
	if err != nil {
		return nil, err
	}
	root, err := DecodeRoot(entry)
	if err != nil {
		return nil, err
	}
	replies := make([]regionReply, 0, len(asks))
	for _, ask := range asks {
		if prepaid, at, ok := k.settings.Prepaid(ask.Budget); ok {
			root.setPrepaid(ask.Budget, prepaid, at)
		}
		replies = append(replies, root.serve(k.settings.Region, ask, k.settings.Split(ask.Budget), now))
	}
	return replies, k.write(ctx, entry, root)
}
