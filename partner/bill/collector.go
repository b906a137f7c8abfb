// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package bill

import (
	"context"
	"sync"

	"github.com/rotisserie/eris"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/internal/batch"
	"granitehoist.example/granitehoist/store"
)

const (
	// MaxBatch bounds the charges that a box sends at once.
	MaxBatch = 500
	// maxSegment bounds the batches of one segment, so that its 5,000 charges stay below
	// granitehoist.MaxValueSize.
	maxSegment = 10
)

// Collector writes batches into segments. Batches that arrive while a segment
// is being written go into the next one together. It is safe for concurrent use.
type Collector struct {
	settings CollectorSettings
	group    *batch.Group[Batch, CollectResult]
	// mu guards next, the number of the last segment.
	mu   sync.Mutex
	next uint64
}

// CollectorSettings configure a Collector.
type CollectorSettings struct {
	Region      granitehoist.Region
	Incarnation granitehoist.Incarnation
	Store       granitehoist.Store
}

// NewCollector returns a collector. It panics if a setting is missing.
func NewCollector(s CollectorSettings) *Collector {
	if s.Region == "" || s.Incarnation == "" || s.Store == nil {
		panic("bill: collector lacks a setting")
	}
	c := &Collector{settings: s}
	c.group = batch.New(batch.Settings[Batch, CollectResult]{Commit: c.commit, MaxItems: maxSegment})
	return c
}

// Collect puts a batch into a segment. After an error the batch may be in the
// store or not, and must be sent again.
func (c *Collector) Collect(ctx context.Context, b Batch) (CollectResult, error) {
	if len(b.Charges) == 0 {
		return CollectResult{}, nil
	}
	if len(b.Charges) > MaxBatch {
		return CollectResult{}, eris.Errorf("bill: batch of %d charges", len(b.Charges))
	}
	return c.group.Do(ctx, b)
}

// commit writes the charges of some batches as one segment.
func (c *Collector) commit(ctx context.Context, batches []Batch) ([]CollectResult, error) {
	var charges []Charge
	for _, b := range batches {
		charges = append(charges, b.Charges...)
	}
	key := c.nextKey()
	raw, err := EncodeSegment(key, charges)
	if err != nil {
		return nil, err
	}
	if _, err := store.Create(ctx, c.settings.Store, key, raw); err != nil {
		return nil, err
	}
	results := make([]CollectResult, len(batches))
	for i := range results {
		results[i].Segment = key
	}
	return results, nil
}

// nextKey returns a key that was not used before, not even by a write whose
// outcome is unknown.
func (c *Collector) nextKey() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next++
	return SegmentKey(c.settings.Region, c.settings.Incarnation, c.next)
}
