// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package bill

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/internal/batch"
	"granitehoist.example/granitehoist/internal/pack"
	"granitehoist.example/granitehoist/store"
)

// MaxBatch bounds the charges that a box sends at once, and maxSegment the
// batches of one segment, so that a segment stays under the store's limit.
const (
	MaxBatch   = 500
	maxSegment = 10
)

// Collector writes batches into segments. Batches that arrive while a segment
// is being written go into the next one together.
type Collector struct {
	settings CollectorSettings
	group    *batch.Group[Batch, CollectResult]
	mu       sync.Mutex
	next     uint64
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
	c.group = batch.New(batch.Settings[Batch, CollectResult]{Commit: c.commit, Most: maxSegment})
	return c
}

// Collect puts a batch into a segment. After an error the batch may be in the
// store or not, and is to be sent again.
func (c *Collector) Collect(ctx context.Context, b Batch) (CollectResult, error) {
	if len(b.Charges) == 0 {
		return CollectResult{}, nil
	}
	if len(b.Charges) > MaxBatch {
		return CollectResult{}, eris.Errorf("bill: batch of %d charges", len(b.Charges))
	}
	return c.group.Do(ctx, b)
}

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

// SenderSettings configure a Sender.
type SenderSettings struct {
	Ledger    *Ledger
	Collector *Collector
	Caller    granitehoist.Caller
	// Holder returns the region's collector, and false if it is this router or
	// none is known.
	Holder func() (granitehoist.Peer, bool)
	// Interval is the time between batches; zero stands for DefaultInterval.
	Interval time.Duration
	// Failed is told of errors; nil ignores them.
	Failed func(error)
}

// DefaultInterval is the time between a box's batches.
const DefaultInterval = time.Second

// Sender brings the charges of a Ledger into the store.
type Sender struct {
	settings SenderSettings
}

// NewSender returns a sender. It panics if a needed setting is missing.
func NewSender(s SenderSettings) *Sender {
	if s.Ledger == nil || s.Collector == nil || s.Caller == nil || s.Holder == nil {
		panic("bill: sender lacks a setting")
	}
	if s.Interval == 0 {
		s.Interval = DefaultInterval
	}
	if s.Failed == nil {
		s.Failed = func(error) {}
	}
	return &Sender{settings: s}
}

// Run sends batches until ctx ends.
func (s *Sender) Run(ctx context.Context) {
	ticker := time.NewTicker(s.settings.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if err := s.Flush(ctx); err != nil {
			s.settings.Failed(err)
		}
	}
}

// Flush sends all charges that are unconfirmed now, and returns the first
// error.
func (s *Sender) Flush(ctx context.Context) error {
	for {
		b := s.settings.Ledger.Next(MaxBatch)
		if len(b.Charges) == 0 {
			return nil
		}
		if err := s.send(ctx, b); err != nil {
			return err
		}
		s.settings.Ledger.Confirm(b)
	}
}

// send hands a batch to the region's collector, or collects it here if that
// fails. A batch may so be in two segments; readers count it once.
func (s *Sender) send(ctx context.Context, b Batch) error {
	if peer, ok := s.settings.Holder(); ok {
		params, err := pack.NewMessage(b)
		if err != nil {
			return err
		}
		var result CollectResult
		if err := s.settings.Caller.Call(ctx, peer, MethodCollect, params, &result); err == nil && result.Segment != "" {
			return nil
		}
	}
	_, err := s.settings.Collector.Collect(ctx, b)
	return err
}

// Read returns all charges in the store, each once.
func Read(ctx context.Context, s granitehoist.Store) ([]Charge, error) {
	entries, _, err := s.List(ctx, KeyPrefix)
	if err != nil {
		return nil, err
	}
	segments := make([]Segment, 0, len(entries))
	for _, e := range entries {
		segment, err := DecodeSegment(e)
		if err != nil {
			return nil, err
		}
		segments = append(segments, segment)
	}
	return Merge(segments), nil
}

// ServeCollect serves MethodCollect.
func (s *Sender) ServeCollect(ctx context.Context, p CollectParams) (CollectResult, error) {
	b, err := p.Value()
	if err != nil {
		return CollectResult{}, err
	}
	return s.settings.Collector.Collect(ctx, b)
}
