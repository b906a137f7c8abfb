// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package budget

import (
	"bytes"
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/internal/batch"
)

// Keeper acts on the pages of one region and on the roots, for the boxes of
// the region. Any number of Keepers may act on the same records; more than one
// a shard only causes write conflicts. Messages that arrive while a page is being
// written are served together by the next write. It is safe for concurrent use.
type Keeper struct {
	settings KeeperSettings
	// mu guards shards.
	mu     sync.Mutex
	shards map[Shard]*batch.Group[syncItem, SyncResult]
}

// syncItem is a message and the time of its arrival.
type syncItem struct {
	params SyncParams
	now    time.Time
}

// KeeperSettings configure a Keeper.
type KeeperSettings struct {
	Region granitehoist.Region
	Store  granitehoist.Store
	// Prepaid returns the prepaid total of a budget and the serial of the
	// document that says so.
	Prepaid func(granitehoist.BudgetID) (granitehoist.Tokens, granitehoist.Serial, bool)
	// Split returns the split of a budget; nil stands for the zero Split.
	Split func(granitehoist.BudgetID) Split
	// Gather is how long a message that no request waits for may wait, so that
	// one write serves many; zero keeps none.
	Gather time.Duration
}

// DefaultShards is enough for some thousands of budgets, by an estimate of the
// size of a page against the store's limit for a value. The measured large fleet
// sets 64 (docs/CAPACITY.md).
const DefaultShards = 8

const (
	// conflictTries bounds how often a Keeper reads a record again after others changed
	// it.
	conflictTries = 20
	// lostTries bounds how often a Keeper reads a record again after the answer to its
	// write was lost.
	lostTries = 3
	// conflictPause is how much longer a Keeper waits with each further conflict, so that
	// keepers which conflict do not do so again.
	conflictPause = time.Millisecond
)

// NewKeeper returns a Keeper. It panics if the settings lack the region, the
// store or the prepaid totals.
func NewKeeper(s KeeperSettings) *Keeper {
	if s.Region == "" || s.Store == nil || s.Prepaid == nil {
		panic("budget: keeper without region, store or prepaid totals")
	}
	if s.Split == nil {
		s.Split = func(granitehoist.BudgetID) Split { return Split{} }
	}
	return &Keeper{settings: s, shards: map[Shard]*batch.Group[syncItem, SyncResult]{}}
}

// Sync serves a box's message: it records the reports and grants tokens. All
// asks must be of shard s. After an error grants may or may not have been
// written; sending the message again is safe. The errors are
// ErrUnknownIncarnation and those of the store.
func (k *Keeper) Sync(ctx context.Context, s Shard, params SyncParams, now time.Time) (SyncResult, error) {
	result, err := k.group(s).Do(ctx, syncItem{params: params, now: now})
	if err != nil {
		return SyncResult{}, err
	}
	if result.Unknown {
		return SyncResult{}, ErrUnknownIncarnation
	}
	return result, nil
}

// SyncAll serves the messages of several boxes with one write, as Sync does
// those that arrive together. A result is Unknown where Sync returns
// ErrUnknownIncarnation.
func (k *Keeper) SyncAll(ctx context.Context, s Shard, messages []SyncParams, now time.Time) ([]SyncResult, error) {
	items := make([]syncItem, len(messages))
	for i, params := range messages {
		items[i] = syncItem{params: params, now: now}
	}
	return k.serve(ctx, s, items)
}

// ErrUnknownIncarnation says that a page refuses an incarnation's message: the
// incarnation has closed, or the message names grants that the page never made.
var ErrUnknownIncarnation = eris.New("budget: unknown incarnation")

// group returns the group in which the messages of a shard gather.
func (k *Keeper) group(s Shard) *batch.Group[syncItem, SyncResult] {
	k.mu.Lock()
	defer k.mu.Unlock()
	g, ok := k.shards[s]
	if !ok {
		g = batch.New(batch.Settings[syncItem, SyncResult]{
			Commit: func(ctx context.Context, items []syncItem) ([]SyncResult, error) {
				return k.serve(ctx, s, items)
			},
			Linger: k.settings.Gather,
			Urgent: func(item syncItem) bool { return item.params.Urgent },
		})
		k.shards[s] = g
	}
	return g
}

// serve serves messages of one shard with one write, at the latest of their
// times. It tries again after conflicts and lost answers.
func (k *Keeper) serve(ctx context.Context, s Shard, items []syncItem) ([]SyncResult, error) {
	now := items[0].now
	for _, item := range items {
		if item.now.After(now) {
			now = item.now
		}
	}
	lost := 0
	for try := range conflictTries {
		results, err := k.try(ctx, s, items, now)
		switch {
		case errors.Is(err, granitehoist.ErrConflict):
			// Another router wrote the page since it was read.
			time.Sleep(time.Duration(try) * conflictPause)
		case errors.Is(err, granitehoist.ErrUnknown) && lost < lostTries:
			lost++
		default:
			return results, err
		}
	}
	return nil, granitehoist.ErrConflict
}

// try reads the page, serves the messages and writes the page. It returns grants
// only after the store has confirmed the write. A write whose answer is lost is
// not confirmed: the next try reads what it did, and totals make that harmless.
func (k *Keeper) try(ctx context.Context, s Shard, items []syncItem, now time.Time) ([]SyncResult, error) {
	entry, err := k.settings.Store.Get(ctx, PageKey(k.settings.Region, s))
	if err != nil {
		return nil, err
	}
	page, err := DecodePage(entry)
	if err != nil {
		return nil, err
	}
	results := make([]SyncResult, len(items))
	asks := asksByBudget{}
	for i, item := range items {
		if !page.takeReport(item.params, now) {
			results[i].Unknown = true
			continue
		}
		asks.add(item.params)
	}
	asks.addReturning(page)
	if err := k.refill(ctx, s, page, asks, now); err != nil {
		return nil, err
	}
	replies := k.grantAll(page, asks, now)
	if err := k.write(ctx, entry, page); err != nil {
		return nil, err
	}
	if page.returning() && len(items) > 0 {
		// Other regions may wait for what was given back, so report it to the
		// root now. An error is no loss: the page names what was given back, and
		// the next message of any box reports it.
		_, _ = k.try(ctx, s, nil, now)
	}
	for i, item := range items {
		if !results[i].Unknown {
			results[i].Replies = replies[item.params.Incarnation]
		}
	}
	return results, nil
}

// asksByBudget holds the asks of several messages by budget and incarnation.
type asksByBudget map[granitehoist.BudgetID]map[granitehoist.Incarnation]Ask

// add adds a message's asks. An incarnation that is closing is granted nothing.
func (a asksByBudget) add(s SyncParams) {
	if s.Closing {
		return
	}
	for _, ask := range s.Asks {
		if a[ask.Budget] == nil {
			a[ask.Budget] = map[granitehoist.Incarnation]Ask{}
		}
		a[ask.Budget][s.Incarnation] = ask
	}
}

// addReturning adds the budgets of which tokens were given back that the root has
// not confirmed, so that they are reported to it.
func (a asksByBudget) addReturning(page *Page) {
	for budget, account := range page.Accounts {
		if account.Sent > account.Confirmed && a[budget] == nil {
			a[budget] = map[granitehoist.Incarnation]Ask{}
		}
	}
}

// grantAll grants what the page has, budget by budget.
func (k *Keeper) grantAll(page *Page, asks asksByBudget, now time.Time) map[granitehoist.Incarnation][]Reply {
	replies := map[granitehoist.Incarnation][]Reply{}
	for _, budget := range sorted(asks) {
		for id, reply := range page.grant(budget, asks[budget], k.settings.Split(budget), now) {
			replies[id] = append(replies[id], reply)
		}
	}
	return replies
}

// write stores a record if it differs from the entry that it was read from.
func (k *Keeper) write(ctx context.Context, entry granitehoist.Entry, record any) error {
	raw, err := encodeRecord(entry.Key, record)
	if err != nil {
		return err
	}
	if bytes.Equal(raw, entry.Value) {
		return nil
	}
	_, err = k.settings.Store.CompareAndSwap(ctx, granitehoist.Change{Key: entry.Key, Value: raw, Expect: entry.Version})
	return err
}
