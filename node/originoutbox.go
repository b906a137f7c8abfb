// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package node

import (
	"context"
	"sync"

	"go.uber.org/zap"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/internal/event"
	"granitehoist.example/granitehoist/origin"
)

// maxQueuedRecords bounds the records that wait for one neighbour. Further ones are
// dropped.
const maxQueuedRecords = 4096

// originOutbox sends records of streams to their holders, one message at a time to each:
// records that arrive meanwhile are sent together by the next one. It is safe for
// concurrent use.
type originOutbox struct {
	peers *peers
	log   *zap.Logger

	// mu guards queues, which has an entry for each neighbour to which a message is being
	// sent.
	mu     sync.Mutex
	queues map[granitehoist.Box][]queuedRecord
}

// queuedRecord is a record that waits to be sent.
type queuedRecord struct {
	record origin.Record
	// spare, unless nil, is the node that gets the record if the first one does not
	// acknowledge it.
	spare *peerEntry
}

func newOriginOutbox(p *peers, log *zap.Logger) *originOutbox {
	return &originOutbox{peers: p, log: log, queues: map[granitehoist.Box][]queuedRecord{}}
}

// send sends a record to the first replicas of its holders. The ones after these are
// their spares.
func (b *originOutbox) send(r origin.Record, holders []peerEntry, replicas int) {
	for i := range min(replicas, len(holders)) {
		queued := queuedRecord{record: r}
		if spare := replicas + i; spare < len(holders) {
			queued.spare = &holders[spare]
		}
		b.queue(holders[i], queued)
	}
}

// queue adds a record to the queue of a node, and begins to send it unless a message to
// the node is under way.
func (b *originOutbox) queue(to peerEntry, queued queuedRecord) {
	b.mu.Lock()
	defer b.mu.Unlock()
	waiting, sending := b.queues[to.Box]
	if len(waiting) >= maxQueuedRecords {
		b.log.Warn(event.OriginDropped, zap.Int("records", 1))
		return
	}
	b.queues[to.Box] = append(waiting, queued)
	if !sending {
		go b.drain(to)
	}
}

// drain sends the records that wait for a node until there are none.
func (b *originOutbox) drain(to peerEntry) {
	for {
		b.mu.Lock()
		batch := b.queues[to.Box]
		if len(batch) == 0 {
			delete(b.queues, to.Box)
			b.mu.Unlock()
			return
		}
		b.queues[to.Box] = nil
		b.mu.Unlock()
		if b.deliver(to, batch) {
			continue
		}
		for _, queued := range batch {
			if queued.spare != nil {
				b.queue(*queued.spare, queuedRecord{record: queued.record})
			}
		}
	}
}

// deliver sends records to a node and reports whether it acknowledged them.
func (b *originOutbox) deliver(to peerEntry, batch []queuedRecord) bool {
	params := holdParams{Records: make([]origin.Record, len(batch))}
	for i, queued := range batch {
		params.Records[i] = queued.record
	}
	ctx, cancel := context.WithTimeout(context.Background(), pushTimeout)
	defer cancel()
	var result holdResult
	return b.peers.Call(ctx, to.peer(), methodHoldOrigins, params, &result) == nil
}
