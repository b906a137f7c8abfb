// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package node

import (
	"context"
	"encoding/json"

	"go.uber.org/zap"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/internal/event"
	"granitehoist.example/granitehoist/internal/pause"
)

// peersPrefix is where nodes enter their addresses in the store.
const peersPrefix = "boxes/"

// peerKey returns the key of a box's entry.
func peerKey(box granitehoist.Box) string { return peersPrefix + string(box) }

// run keeps the node's own entry in the store and its list of the others, until
// ctx ends.
func (p *peers) run(ctx context.Context) {
	greeted := false
	for ctx.Err() == nil {
		err := p.refreshList(ctx)
		attempt := listAttempt{failed: err != nil, complete: p.view().complete}
		// An error of the store is not logged here: it counts in store_calls, and
		// the followers log store_lost when the store does not answer.
		if attempt.shouldGreet(greeted) {
			p.greetNeighbours(ctx)
			greeted = !attempt.failed
		}
		pause.For(ctx, attempt.pause())
	}
}

// refreshList learns the present entries, from a relay if this node is not one
// itself, else from the store. Its error is that of the store.
func (p *peers) refreshList(ctx context.Context) error {
	for _, relay := range p.relaysToAsk() {
		reply, err := p.greetAddress(ctx, relay.Address)
		if err != nil {
			// The next relay is asked, and the store after the last one.
			continue
		}
		if p.adoptRelayList(reply) {
			return nil
		}
	}
	return p.readList(ctx)
}

// adoptRelayList takes the list that a relay sent in place of one from the
// store, and reports whether it did.
func (p *peers) adoptRelayList(reply greeting) bool {
	others, ok := listedByRelay(reply, p.settings.self)
	if !ok {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.others = others
	return true
}

// readList reads all entries from the store, and writes the node's own if it is
// missing or is that of an earlier incarnation.
func (p *peers) readList(ctx context.Context) error {
	entries, _, err := p.settings.store.List(ctx, peersPrefix)
	if err != nil {
		return err
	}
	list := newListing(entries, p.settings.self)
	for _, bad := range list.unreadable {
		p.settings.log.Error(event.PeerBad, zap.String("key", bad.key), zap.Error(bad.err))
	}
	p.mu.Lock()
	p.others = list.others
	p.listsRead++
	p.listedAt = p.settings.clock()
	p.mu.Unlock()
	if list.current {
		return nil
	}
	return p.writeEntry(ctx, list.own.Version)
}

// writeEntry writes the node's own entry over the version that the list had. If
// another write came between, the next list shows it.
func (p *peers) writeEntry(ctx context.Context, expect granitehoist.Version) error {
	value, err := json.Marshal(p.settings.self)
	if err != nil {
		return err
	}
	change := granitehoist.Change{Key: peerKey(p.settings.self.Box), Value: value, Expect: expect}
	_, err = p.settings.store.CompareAndSwap(ctx, change)
	return err
}

// removeEntry removes the node's entry from the store at a stop.
func (p *peers) removeEntry(ctx context.Context) error {
	key := peerKey(p.settings.self.Box)
	entry, err := p.settings.store.Get(ctx, key)
	if err != nil || entry.Version == 0 {
		return err
	}
	_, err = p.settings.store.CompareAndSwap(ctx, granitehoist.Change{Key: key, Expect: entry.Version, Delete: true})
	return err
}
