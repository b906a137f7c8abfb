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
	// MaxBatch bounds the number of charges in a batch.
	MaxBatch = 500
	// maxSegmentBatches bounds the batches of one segment, so that a segment of full
	// batches stays below granitehoist.MaxValueSize.
	maxSegmentBatches = 10
)

// Collector writes batches of charges to segments in the store. Batches that arrive
// while a segment is being written share the next segment. It is safe for concurrent use.
type Collector struct {
	settings CollectorSettings
	group    *batch.Group[Batch, CollectResult]
	// mu guards lastSegment, the number of the last segment.
	mu          sync.Mutex
	lastSegment uint64
}

// CollectorSettings configure a Collector.
type CollectorSettings struct {
	Region      granitehoist.Region
	Incarnation granitehoist.Incarnation
	Store       granitehoist.Store
}

// NewCollector returns a collector. It panics if any of the settings is zero.
func NewCollector(s CollectorSettings) *Collector {
	if s.Region == "" || s.Incarnation == "" || s.Store == nil {
		panic("bill: CollectorSettings incomplete")
	}
	c := &Collector{settings: s}
	c.group = batch.New(batch.Settings[Batch, CollectResult]{Commit: c.commit, MaxItems: maxSegmentBatches})
	return c
}

// Collect writes a batch to a segment. An empty batch is not written and gives an empty
// result; more than MaxBatch charges are an error. After any other error the batch may or
// may not be in the store, and must be sent again.
func (c *Collector) Collect(ctx context.Context, b Batch) (CollectResult, error) {
	if len(b.Charges) == 0 {
		return CollectResult{}, nil
	}
	if len(b.Charges) > MaxBatch {
		return CollectResult{}, eris.Errorf("bill: batch of %d charges exceeds %d", len(b.Charges), MaxBatch)
	}
	return c.group.Do(ctx, b)
}

// commit writes the charges of several batches as one segment.
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

// nextKey returns a fresh segment key. Keys of writes whose outcome is unknown are not
// reused.
func (c *Collector) nextKey() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastSegment++
	return SegmentKey(c.settings.Region, c.settings.Incarnation, c.lastSegment)
}
