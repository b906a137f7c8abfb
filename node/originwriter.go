// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package node

import (
	"context"
	"errors"
	"fmt"
	"net/url"
	"sync"
	"time"

	"go.uber.org/zap"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/internal/event"
	"granitehoist.example/granitehoist/internal/pack"
	"granitehoist.example/granitehoist/internal/pause"
	"granitehoist.example/granitehoist/origin"
)

// While a service has several registered releases, the records of its streams are also
// archived in the store, since all nodes that hold them may be killed together. A node hands
// its records over to a writer, which writes those of several nodes with one call for an
// interval. A stream does not wait for that. The records expire in the store by a lease.

// methodArchiveOrigins is the method by which a node hands records over to a writer.
const methodArchiveOrigins = "origins.archive"

const (
	// originsPrefix is the prefix of the keys of archived records, followed by the escaped
	// region, the number of slots, the slot, and the writer's incarnation with a number.
	originsPrefix = "origins/"
	// archiveLeaseMargin is how long the lease of archived records outlasts the records that
	// are written first under it, so that later ones can use it too.
	archiveLeaseMargin = 45 * time.Second
	// maxArchiveLease is the longest lease that the store grants.
	maxArchiveLease = 10 * time.Minute
	// maxUnwrittenRecords bounds the records that wait to be written. Further ones are
	// dropped.
	maxUnwrittenRecords = 1 << 16
	// archiveRetryIntervals is the pause after a failed write, in intervals.
	archiveRetryIntervals = 4
)

// archiveParams are the parameters of methodArchiveOrigins.
type archiveParams struct{ origin.Segment }

// archiveResult is the result of methodArchiveOrigins.
type archiveResult struct{}

// originWriter archives the records of streams in the store. It is safe for concurrent use.
type originWriter struct {
	store       granitehoist.Store
	peers       *peers
	clock       granitehoist.Clock
	log         *zap.Logger
	incarnation granitehoist.Incarnation
	// ownWake wakes runHandOver, writeWake wakes runWrite. Both have a capacity of one.
	ownWake, writeWake chan struct{}

	// mu guards own, this node's records that were not handed over, and unwritten, those of
	// all nodes that this one has to write.
	mu             sync.Mutex
	own, unwritten origin.Segment

	// lease is the lease of the next write, which ends at leaseEnds; empty if there is none.
	// number is that of the next write. Only runWrite uses these fields.
	lease     granitehoist.LeaseID
	leaseEnds time.Time
	number    int
}

// newOriginWriter returns a writer without records.
func newOriginWriter(n *Node, p *peers) *originWriter {
	return &originWriter{
		store: n.adapter.Store, peers: p, clock: n.clock, log: n.log, incarnation: n.incarnation,
		ownWake: make(chan struct{}, 1), writeWake: make(chan struct{}, 1),
	}
}

// add archives a record of this node.
func (w *originWriter) add(r origin.Record) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.own.Len() >= maxUnwrittenRecords {
		w.log.Warn(event.OriginDropped, zap.Int("records", 1))
		return
	}
	w.own.Add(r)
	wake(w.ownWake)
}

// accept adds records that this node has to write. It returns an error for malformed ones.
func (w *originWriter) accept(s origin.Segment) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.unwritten.Len()+s.Len() > maxUnwrittenRecords {
		w.log.Warn(event.OriginDropped, zap.Int("records", s.Len()))
		return nil
	}
	if err := w.unwritten.Merge(s); err != nil {
		return err
	}
	wake(w.writeWake)
	return nil
}

// serveArchive serves methodArchiveOrigins.
func (w *originWriter) serveArchive(_ context.Context, p archiveParams) (archiveResult, error) {
	return archiveResult{}, w.accept(p.Segment)
}

// runHandOver hands this node's records over to writers until ctx ends.
func (w *originWriter) runHandOver(ctx context.Context) {
	for ctx.Err() == nil {
		waitForWake(ctx, w.ownWake)
		pause.For(ctx, w.peers.view().originPace().delay)
		w.mu.Lock()
		records := w.own
		w.own = origin.Segment{}
		w.mu.Unlock()
		if records.Len() > 0 {
			w.handOver(ctx, records)
		}
	}
}

// handOver hands records over to the first writer that takes them, or keeps them for this
// node to write.
func (w *originWriter) handOver(ctx context.Context, records origin.Segment) {
	view := w.peers.view()
	for _, writer := range view.originWriters() {
		if writer.Box == view.self.Box {
			break
		}
		callCtx, cancel := context.WithTimeout(ctx, pushTimeout)
		var result archiveResult
		err := w.peers.Call(callCtx, writer.peer(), methodArchiveOrigins, archiveParams{records}, &result)
		cancel()
		if err == nil {
			return
		}
		// A writer that does not answer may have the records; they may be written twice.
	}
	if err := w.accept(records); err != nil {
		w.log.Warn(event.OriginArchiveFailed, zap.Error(err))
	}
}

// runWrite writes records to the store until ctx ends.
func (w *originWriter) runWrite(ctx context.Context) {
	for ctx.Err() == nil {
		waitForWake(ctx, w.writeWake)
		interval := w.peers.view().originPace().interval
		pause.For(ctx, interval)
		w.mu.Lock()
		records := w.unwritten
		w.unwritten = origin.Segment{}
		w.mu.Unlock()
		if records.Len() == 0 || ctx.Err() != nil {
			continue
		}
		if err := w.write(ctx, records); err != nil {
			w.log.Warn(event.OriginArchiveFailed, zap.Int("records", records.Len()), zap.Error(err))
			pause.For(ctx, archiveRetryIntervals*interval)
			// They were checked when they were accepted.
			_ = w.accept(records)
		}
	}
}

// write writes records to the store, one key for each slot. A write whose outcome is unknown
// may be repeated, since records do not change.
func (w *originWriter) write(ctx context.Context, records origin.Segment) error {
	if err := w.prepareLease(ctx, time.Duration(records.KeepMS)*time.Millisecond); err != nil {
		return err
	}
	view := w.peers.view()
	slots := view.originSlots()
	var changes []granitehoist.Change
	for slot, part := range records.Split(slots) {
		value, err := pack.Pack(part)
		if err != nil {
			return err
		}
		key := fmt.Sprintf("%s%s-%d", view.originSlotPrefix(slots, slot), url.PathEscape(string(w.incarnation)), w.number)
		changes = append(changes, granitehoist.Change{Key: key, Value: value, Lease: w.lease})
	}
	w.number++
	_, err := w.store.CompareAndSwapAll(ctx, changes)
	if errors.Is(err, granitehoist.ErrNoLease) {
		w.lease = ""
	}
	return err
}

// originSlotPrefix returns the prefix of the keys of a slot's archived records.
func (v fleetView) originSlotPrefix(slots int, slot origin.Slot) string {
	return fmt.Sprintf("%s%s/%d.%d/", originsPrefix, url.PathEscape(string(v.regionOf(v.self))), slots, slot)
}

// prepareLease makes sure that the lease lasts for a time from now on.
func (w *originWriter) prepareLease(ctx context.Context, lasts time.Duration) error {
	now := w.clock()
	if w.lease != "" && now.Add(lasts).Before(w.leaseEnds) {
		return nil
	}
	ttl := min(maxArchiveLease, lasts+archiveLeaseMargin)
	lease, err := w.store.GrantLease(ctx, ttl)
	if err != nil {
		return err
	}
	w.lease, w.leaseEnds = lease, now.Add(ttl)
	return nil
}
