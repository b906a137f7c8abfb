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

// Allocator grants tokens to the boxes of one region. It updates the region's records and
// the root records by compare-and-swap. Several Allocators may work on the same shard;
// that only causes write conflicts. Messages that arrive during a write share the next
// one. It is safe for concurrent use.
type Allocator struct {
	settings AllocatorSettings
	// mu guards shards.
	mu     sync.Mutex
	shards map[Shard]*batch.Group[syncItem, SyncResult]
}

// syncItem is a message and the time of its arrival.
type syncItem struct {
	params SyncParams
	now    time.Time
}

// AllocatorSettings configures an Allocator.
type AllocatorSettings struct {
	Region granitehoist.Region
	Store  granitehoist.Store
	// Prepaid returns the prepaid total of a budget and the serial of the configuration
	// that sets it. It returns false for an unknown budget.
	Prepaid func(granitehoist.BudgetID) (granitehoist.Tokens, granitehoist.Serial, bool)
	// Split returns the Split of a budget; nil means the zero Split for all.
	Split func(granitehoist.BudgetID) Split
	// BatchDelay is how long a message that is not urgent may be delayed to share a write
	// with other messages; zero means no delay.
	BatchDelay time.Duration
}

// DefaultShards is the default number of shards. It keeps the records of some thousands of
// budgets below the store's maximum value size.
const DefaultShards = 8

const (
	// maxConflictAttempts bounds the attempts to update a record that other Allocators
	// write concurrently.
	maxConflictAttempts = 20
	// maxLostWriteRetries bounds the retries after writes whose outcome is unknown.
	maxLostWriteRetries = 3
	// conflictBackoff is the backoff after a write conflict, multiplied by the number of
	// earlier attempts.
	conflictBackoff = time.Millisecond
)

// NewAllocator returns an Allocator. It panics if Region, Store or Prepaid is missing.
func NewAllocator(s AllocatorSettings) *Allocator {
	if s.Region == "" || s.Store == nil || s.Prepaid == nil {
		panic("budget: AllocatorSettings needs Region, Store and Prepaid")
	}
	if s.Split == nil {
		s.Split = func(granitehoist.BudgetID) Split { return Split{} }
	}
	return &Allocator{settings: s, shards: map[Shard]*batch.Group[syncItem, SyncResult]{}}
}

// Sync processes a box's message: it records the reports and grants tokens. All reports
// must be of shard s. After an error the grants may have been written or not; it is safe
// to send the message again. The errors are ErrUnknownIncarnation and the errors of the store.
func (a *Allocator) Sync(ctx context.Context, s Shard, params SyncParams, now time.Time) (SyncResult, error) {
	result, err := a.group(s).Do(ctx, syncItem{params: params, now: now})
	if err != nil {
		return SyncResult{}, err
	}
	if result.Unknown {
		return SyncResult{}, ErrUnknownIncarnation
	}
	return result, nil
}

// SyncAll processes the messages of several boxes with one write, as Sync does with
// messages that arrive together. A result has Unknown set where Sync would return
// ErrUnknownIncarnation.
func (a *Allocator) SyncAll(ctx context.Context, s Shard, messages []SyncParams, now time.Time) ([]SyncResult, error) {
	items := make([]syncItem, len(messages))
	for i, params := range messages {
		items[i] = syncItem{params: params, now: now}
	}
	return a.serve(ctx, s, items)
}

// ErrUnknownIncarnation means that a message was refused: its incarnation has closed, or
// it names grants that the region never made.
var ErrUnknownIncarnation = eris.New("budget: unknown incarnation")

// group returns the batch of pending messages of a shard.
func (a *Allocator) group(s Shard) *batch.Group[syncItem, SyncResult] {
	a.mu.Lock()
	defer a.mu.Unlock()
	g, ok := a.shards[s]
	if !ok {
		g = batch.New(batch.Settings[syncItem, SyncResult]{
			Commit: func(ctx context.Context, items []syncItem) ([]SyncResult, error) {
				return a.serve(ctx, s, items)
			},
			Linger: a.settings.BatchDelay,
			Urgent: func(item syncItem) bool { return item.params.Urgent },
		})
		a.shards[s] = g
	}
	return g
}

// serve processes messages of one shard with one write. All messages count as arrived when
// the last of them did. It retries after conflicts and after writes whose outcome is
// unknown.
func (a *Allocator) serve(ctx context.Context, s Shard, items []syncItem) ([]SyncResult, error) {
	now := items[0].now
	for _, item := range items {
		if item.now.After(now) {
			now = item.now
		}
	}
	lost := 0
	for attempt := range maxConflictAttempts {
		results, err := a.attempt(ctx, s, items, now)
		switch {
		case errors.Is(err, granitehoist.ErrConflict):
			// Another router has changed the record since it was read.
			time.Sleep(time.Duration(attempt) * conflictBackoff)
		case errors.Is(err, granitehoist.ErrUnknown) && lost < maxLostWriteRetries:
			lost++
		default:
			return results, err
		}
	}
	return nil, granitehoist.ErrConflict
}

// attempt reads the region's record, processes the messages and writes the record. It
// returns grants only after the store has confirmed the write. After a write whose outcome
// is unknown, the next attempt reads what is stored. Messages contain running totals, so
// processing them twice is harmless.
func (a *Allocator) attempt(ctx context.Context, s Shard, items []syncItem, now time.Time) ([]SyncResult, error) {
	entry, err := a.settings.Store.Get(ctx, RegionKey(a.settings.Region, s))
	if err != nil {
		return nil, err
	}
	record, err := DecodeRegionRecord(entry)
	if err != nil {
		return nil, err
	}
	results := make([]SyncResult, len(items))
	reports := reportsByBudget{}
	for i, item := range items {
		if !record.applyReports(item.params, now) {
			results[i].Unknown = true
			continue
		}
		reports.add(item.params)
	}
	reports.addUnconfirmedReturns(record)
	if err := a.refill(ctx, s, record, reports, now); err != nil {
		return nil, err
	}
	replies := a.grantAll(record, reports, now)
	if err := a.write(ctx, entry, record); err != nil {
		return nil, err
	}
	if record.hasUnconfirmedReturns() && len(items) > 0 {
		// Report returned tokens to the root now, since other regions may need them.
		// An error can be ignored: the stored record contains the returns, and the
		// next message of any box makes the region report them.
		_, _ = a.attempt(ctx, s, nil, now)
	}
	for i, item := range items {
		if !results[i].Unknown {
			results[i].Replies = replies[item.params.Incarnation]
		}
	}
	return results, nil
}

// reportsByBudget holds the reports of several messages by budget and incarnation.
type reportsByBudget map[granitehoist.BudgetID]map[granitehoist.Incarnation]Report

// add adds the reports of a message. A closing incarnation is skipped, since it must not
// get grants.
func (a reportsByBudget) add(s SyncParams) {
	if s.Closing {
		return
	}
	for _, report := range s.Reports {
		if a[report.Budget] == nil {
			a[report.Budget] = map[granitehoist.Incarnation]Report{}
		}
		a[report.Budget][s.Incarnation] = report
	}
}

// addUnconfirmedReturns adds the budgets with returns that the root has not confirmed, so
// that they are reported to it.
func (a reportsByBudget) addUnconfirmedReturns(record *RegionRecord) {
	for budget, account := range record.Accounts {
		if account.Returned > account.Confirmed && a[budget] == nil {
			a[budget] = map[granitehoist.Incarnation]Report{}
		}
	}
}

// grantAll grants tokens from the region's stock, budget by budget.
func (a *Allocator) grantAll(record *RegionRecord, reports reportsByBudget, now time.Time) map[granitehoist.Incarnation][]Reply {
	replies := map[granitehoist.Incarnation][]Reply{}
	for _, budget := range sortedKeys(reports) {
		for id, reply := range record.grant(budget, reports[budget], a.settings.Split(budget), now) {
			replies[id] = append(replies[id], reply)
		}
	}
	return replies
}

// write stores a record if it differs from the entry that it was read from.
func (a *Allocator) write(ctx context.Context, entry granitehoist.Entry, record any) error {
	raw, err := encodeRecord(entry.Key, record)
	if err != nil {
		return err
	}
	if bytes.Equal(raw, entry.Value) {
		return nil
	}
	_, err = a.settings.Store.CompareAndSwap(ctx, granitehoist.Change{Key: entry.Key, Value: raw, Expect: entry.Version})
	return err
}
