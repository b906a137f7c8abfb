// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package bill

import (
	"context"
	"time"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/internal/pack"
)

// SenderSettings configure a Sender.
type SenderSettings struct {
	Ledger    *Ledger
	Collector *Collector
	Caller    granitehoist.Caller
	// RemoteCollector returns the region's collector, and false if this router is the
	// collector or none is known.
	RemoteCollector func() (granitehoist.Peer, bool)
	// Failed is called with each error; nil ignores them. The charges stay in the
	// ledger and are sent again.
	Failed func(error)
}

// DefaultInterval is the time between two flushes. While the store is reachable, a crash
// loses only the charges of about the last DefaultInterval.
const DefaultInterval = time.Second

// Sender writes the charges of a Ledger to the store. It is safe for concurrent use,
// since a batch that is sent twice is counted once.
type Sender struct {
	settings SenderSettings
}

// NewSender returns a sender. It panics if any setting but Failed is nil.
func NewSender(s SenderSettings) *Sender {
	if s.Ledger == nil || s.Collector == nil || s.Caller == nil || s.RemoteCollector == nil {
		panic("bill: SenderSettings incomplete")
	}
	if s.Failed == nil {
		s.Failed = func(error) {}
	}
	return &Sender{settings: s}
}

// Run calls Flush every DefaultInterval until ctx ends.
func (s *Sender) Run(ctx context.Context) {
	ticker := time.NewTicker(DefaultInterval)
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

// Flush sends unconfirmed charges until none are left or a batch fails, and returns
// that error.
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

// send sends a batch to the region's collector and, if that fails, writes it through the
// local Collector. The error of the remote call is dropped, since the local write decides. The
// batch may then be in two segments; readers count it once.
func (s *Sender) send(ctx context.Context, b Batch) error {
	if peer, ok := s.settings.RemoteCollector(); ok {
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

// ServeCollect handles MethodCollect calls of other routers.
func (s *Sender) ServeCollect(ctx context.Context, p CollectParams) (CollectResult, error) {
	b, err := p.Value()
	if err != nil {
		return CollectResult{}, err
	}
	return s.settings.Collector.Collect(ctx, b)
}
