// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package node

import (
	"context"
	"encoding/json"
	"time"

	"go.uber.org/zap"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/internal/event"
	"granitehoist.example/granitehoist/internal/pause"
)

const (
	// listInterval is the time from one list of nodes to the next: commit f7eef06 doubled
	// it from 4 s to make fewer calls to the store. New nodes greet their neighbours, so
	// that the list is not the only way to learn of them.
	listInterval = 8 * time.Second
	// listRetryPause is the time to the next attempt after a list could not be read.
	listRetryPause = 300 * time.Millisecond
	// firstListPause is the time in which all nodes of a fleet enter themselves
	// at its first start. Chosen, not measured on its own; commit 0c0db10
	// measured that carga-andina-grown quiet-1 earned 0.04 without the wait for a
	// second list and 0.27 with it.
	firstListPause = 1500 * time.Millisecond
	// listsAtFirstStart and listsAtStart are how many lists a node reads before its
	// view of the fleet counts as complete. At the first start of a fleet the first
	// list lacks the nodes that start at the same time.
	listsAtFirstStart = 2
	// listsAtStart is one: the first list that is read has all other nodes.
	listsAtStart = 1
)

// listsNeeded returns how many lists a node has to read from the store before
// its view of the fleet counts as complete; first is Config.First.
func listsNeeded(first bool) int {
	if first {
		return listsAtFirstStart
	}
	return listsAtStart
}

// listAttempt is the result of one attempt to read the list of nodes.
type listAttempt struct {
	// failed says that neither a relay nor the store gave the list.
	failed bool
	// complete says that enough lists were read so far (listsNeeded).
	complete bool
}

// pause returns the time until the list is read again: soon after a failure,
// after firstListPause while the fleet is still filling, else at the usual
// interval.
func (a listAttempt) pause() time.Duration {
	switch {
	case a.failed:
		return listRetryPause
	case !a.complete:
		return firstListPause
	default:
		return listInterval
	}
}

// shouldGreet decides whether neighbours are greeted after the attempt. They are
// greeted once after the first list that could be read, since they learn of a
// new incarnation from the store up to listInterval late. They are also greeted
// after every attempt that failed, since the store then reports nothing.
func (a listAttempt) shouldGreet(greetedBefore bool) bool { return a.failed || !greetedBefore }

// listFreshFor is the age up to which a relay vouches for its list of nodes. It is two
// intervals, so that a relay still vouches after one read that failed.
const listFreshFor = 2 * listInterval

// vouchesForList decides whether a node may tell others that its entries are
// as the store had them a short while ago, so that they needn't read the store
// themselves. It may if it is a relay, which reads the list from the store each
// listInterval, and if its last list is not older than listFreshFor. Nodes
// behind relays don't vouch: they have their list from a relay, and it would be
// older with each node that passes it on.
func vouchesForList(isRelay bool, listedAt, now time.Time) bool {
	return isRelay && now.Sub(listedAt) <= listFreshFor
}

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

// refreshList gets the present entries, from a relay if this node is not one
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

// adoptRelayList replaces the neighbours by the list that a relay sent, and
// reports whether it did (listedByRelay).
func (p *peers) adoptRelayList(reply greeting) bool {
	others, ok := listedByRelay(reply, p.settings.self)
	if !ok {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.setOthers(others)
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
	p.setOthers(list.others)
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
