// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package node

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/internal/event"
	"granitehoist.example/granitehoist/internal/pack"
	"granitehoist.example/granitehoist/origin"
)

// methodFindArchived is the method by which a node asks a reader for the archived record of a
// stream.
const methodFindArchived = "origins.archived"

const (
	// archiveReadInterval is the minimum time between two reads of a slot. Records that are
	// archived meanwhile are held by the nodes that made them.
	archiveReadInterval = time.Second
	// archiveDelay is how long a search for a record waits for the holders of the stream
	// before it looks into the archive.
	archiveDelay = 40 * time.Millisecond
)

// originArchive finds archived records of streams. It is safe for concurrent use.
type originArchive struct {
	records origin.Archive
	store   granitehoist.Store
	peers   *peers
	clock   granitehoist.Clock
	log     *zap.Logger

	// mu is held during a read of the store. It guards readAt, when the last successful read
	// of each prefix began.
	mu     sync.Mutex
	readAt map[string]time.Time
}

// newOriginArchive returns an archive that has read nothing.
func newOriginArchive(n *Node, p *peers) *originArchive {
	return &originArchive{store: n.adapter.Store, peers: p, clock: n.clock, log: n.log, readAt: map[string]time.Time{}}
}

// find returns the archived origin of a stream. Either this node reads the stream's slot, or it
// asks those that do.
func (a *originArchive) find(ctx context.Context, s origin.Stream) findResult {
	if found, known := a.records.Lookup(s, a.clock()); known {
		return findResult{Found: true, Origin: found}
	}
	view := a.peers.view()
	slots := view.originSlots()
	if slots == 1 {
		return a.read(ctx, s)
	}
	var sources []func() findResult
	for _, reader := range view.originReadersOf(origin.FingerprintOf(s).Slot(slots)) {
		if reader.Box == view.self.Box {
			return a.read(ctx, s)
		}
		sources = append(sources, func() findResult {
			var result findResult
			// A reader that does not answer counts as one without the record.
			_ = a.peers.Call(ctx, reader.peer(), methodFindArchived, findParams{Stream: s}, &result)
			return result
		})
	}
	found, known := firstFound(sources)
	return findResult{Found: known, Origin: found}
}

// serveFind serves methodFindArchived.
func (a *originArchive) serveFind(ctx context.Context, p findParams) (findResult, error) {
	return a.read(ctx, p.Stream), nil
}

// read returns the archived origin of a stream, for which it reads the stream's slot unless
// that was read a short while ago.
func (a *originArchive) read(ctx context.Context, s origin.Stream) findResult {
	view := a.peers.view()
	slots := view.originSlots()
	prefix := view.originSlotPrefix(slots, origin.FingerprintOf(s).Slot(slots))
	if err := a.readPrefix(ctx, prefix); err != nil {
		a.log.Warn(event.OriginArchiveFailed, zap.Error(err))
	}
	found, known := a.records.Lookup(s, a.clock())
	return findResult{Found: known, Origin: found}
}

// readPrefix reads the records whose keys begin with prefix, unless archiveReadInterval has
// not passed since the last time. Calls at the same time share reads.
func (a *originArchive) readPrefix(ctx context.Context, prefix string) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	started := a.clock()
	if at, read := a.readAt[prefix]; read && started.Sub(at) < archiveReadInterval {
		return nil
	}
	// Others wait for the result too, so that the read outlasts the request.
	readCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), findTimeout)
	defer cancel()
	entries, _, err := a.store.List(readCtx, prefix)
	if err != nil {
		return err
	}
	a.readAt[prefix] = started
	for _, e := range entries {
		if err := a.add(e, a.clock()); err != nil {
			// The other entries may still be of use.
			a.log.Warn(event.OriginArchiveFailed, zap.String("key", e.Key), zap.Error(err))
		}
	}
	return nil
}

// add adds the records of an entry at now.
func (a *originArchive) add(e granitehoist.Entry, now time.Time) error {
	var segment origin.Segment
	if err := pack.Unpack(e.Value, &segment); err != nil {
		return err
	}
	dropped, err := a.records.Add(segment, now)
	if dropped > 0 {
		a.log.Warn(event.OriginDropped, zap.Int("records", dropped))
	}
	return err
}
