// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package node

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"go.uber.org/zap"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/internal/event"
)

const (
	// listInterval is the time between two reads of the node list. New nodes also greet
	// their neighbours, so the list is not the only way to learn of them. It is 8 s
	// rather than 4 s to make fewer calls to the store.
	listInterval = 8 * time.Second
	// listRetryDelay is the delay before a failed read is retried.
	listRetryDelay = 300 * time.Millisecond
	// bootstrapListDelay is the delay before the second read at the first start of a
	// fleet. It gives all nodes time to write their entries.
	bootstrapListDelay = 1500 * time.Millisecond
	// listsAtBootstrap is the number of lists to read before the view counts as complete at
	// the first start of a fleet: the first list lacks the nodes that start at the same
	// time. With one list, a starting fleet of 75 nodes had an incomplete view and served
	// far less.
	listsAtBootstrap = 2
	// listsAtStart is the number of lists to read at any other start.
	listsAtStart = 1
)

// listsNeeded returns how many lists a node has to read from the store before its view of
// the fleet is complete; bootstrap is Config.Bootstrap.
func listsNeeded(bootstrap bool) int {
	if bootstrap {
		return listsAtBootstrap
	}
	return listsAtStart
}

// listAttempt is the outcome of one attempt to read the node list.
type listAttempt struct {
	// failed says that neither a relay nor the store returned the list.
	failed bool
	// complete says that enough lists have been read (listsNeeded).
	complete bool
}

// delay returns the time until the list is read again.
func (a listAttempt) delay() time.Duration {
	switch {
	case a.failed:
		return listRetryDelay
	case !a.complete:
		return bootstrapListDelay
	default:
		return listInterval
	}
}

// shouldGreet decides whether neighbours are greeted after the attempt. greetedBefore says
// that they were greeted after an earlier success and that no attempt has failed since.
// They are greeted:
//   - after the first success, at the start and after failures, since neighbours may read
//     the new entry of this node from the store only listInterval later;
//   - after every failure, since this node then learns nothing from the store.
func (a listAttempt) shouldGreet(greetedBefore bool) bool { return a.failed || !greetedBefore }

// maxListAge is the age up to which a relay serves its node list. It allows for one
// failed read.
const maxListAge = 2 * listInterval

// canServeList decides whether a node may serve its node list in place of the store: it
// must be a relay that read the list from the store at most maxListAge ago. Other nodes
// get their lists from relays, so that their lists may be older.
func canServeList(isRelay bool, listedAt, now time.Time) bool {
	return isRelay && now.Sub(listedAt) <= maxListAge
}

// peersPrefix is the store prefix of the nodes' entries.
const peersPrefix = "boxes/"

// peerKey returns the key of a box's entry.
func peerKey(box granitehoist.Box) string { return peersPrefix + string(box) }

// run keeps the node's own entry in the store and its node list up to date, until ctx
// ends.
func (p *peers) run(ctx context.Context) {
	greeted := false
	for ctx.Err() == nil {
		err := p.refreshList(ctx)
		attempt := listAttempt{failed: err != nil, complete: p.view().complete}
		// The error is not logged: the metric store_calls counts it, and the followers
		// log the event store_lost when the store does not respond.
		if attempt.shouldGreet(greeted) {
			p.greetNeighbours(ctx)
			greeted = !attempt.failed
		}
		delay := attempt.delay()
		if p.restoredLists.Load() > 0 {
			delay = min(delay, bootstrapListDelay)
		}
		p.awaitNextList(ctx, delay)
	}
}

// listsAfterRestoration is the number of lists to read from the store after it was restored.
// The first one may lack nodes that have not written their entries again.
const listsAfterRestoration = 2

// withMissing returns the listed neighbours, and those known before of boxes that the list
// lacks.
func withMissing(listed, known []peerEntry) []peerEntry {
	all := slices.Clone(listed)
	for _, other := range known {
		isListed := slices.ContainsFunc(listed, func(e peerEntry) bool { return e.Box == other.Box })
		if !isListed {
			all = append(all, other)
		}
	}
	return all
}

// noteRestored makes run write the node's own entry again if the store has lost it.
func (p *peers) noteRestored() {
	p.restoredLists.Store(listsAfterRestoration)
	wake(p.listWake)
}

// awaitNextList waits until the list is to be read again: for a time, or until the store was
// restored.
func (p *peers) awaitNextList(ctx context.Context, delay time.Duration) {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-p.listWake:
		pauseToRewrite(ctx)
	}
}

// refreshList reads the node list from a relay. If this node is a relay itself, or no relay
// returns a usable list, it reads the list from the store. It also does so after the store
// was restored, since only this node writes its entry again. Its error is that of the store.
func (p *peers) refreshList(ctx context.Context) error {
	if left := p.restoredLists.Load(); left > 0 {
		if err := p.readList(ctx); err != nil {
			return err
		}
		p.restoredLists.CompareAndSwap(left, left-1)
		return nil
	}
	for _, relay := range p.relaysToAsk() {
		reply, err := p.greetAddress(ctx, relay.Address)
		if err != nil {
			// The next relay is tried, and after the last one the store.
			continue
		}
		if p.adoptRelayList(reply) {
			return nil
		}
	}
	return p.readList(ctx)
}

// adoptRelayList replaces the neighbours with a relay's list, and reports whether the
// list was usable (listedByRelay).
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

// readList reads the node list from the store, and writes the node's own entry if the
// stored one is missing or differs, for example since an earlier incarnation wrote it.
func (p *peers) readList(ctx context.Context) error {
	entries, _, err := p.settings.store.List(ctx, peersPrefix)
	if err != nil {
		return err
	}
	list := parseNodeList(entries, p.settings.self)
	for _, bad := range list.malformed {
		p.settings.log.Error(event.PeerBad, zap.String("key", bad.key), zap.Error(bad.err))
	}
	p.mu.Lock()
	if p.restoredLists.Load() == listsAfterRestoration {
		list.others = withMissing(list.others, p.others)
	}
	p.setOthers(list.others)
	p.listsRead++
	p.listedAt = p.settings.clock()
	p.mu.Unlock()
	if list.upToDate {
		return nil
	}
	return p.writeEntry(ctx, list.own.Version)
}

// writeEntry writes the node's own entry if the store still has the given version of it,
// zero if it has none. It returns an error otherwise; the next read of the list then
// returns the current version.
func (p *peers) writeEntry(ctx context.Context, expect granitehoist.Version) error {
	value, err := json.Marshal(p.settings.self)
	if err != nil {
		return err
	}
	change := granitehoist.Change{Key: peerKey(p.settings.self.Box), Value: value, Expect: expect}
	_, err = p.settings.store.CompareAndSwap(ctx, change)
	return err
}

// removeEntry deletes the node's entry from the store.
func (p *peers) removeEntry(ctx context.Context) error {
	key := peerKey(p.settings.self.Box)
	entry, err := p.settings.store.Get(ctx, key)
	if err != nil || entry.Version == 0 {
		return err
	}
	_, err = p.settings.store.CompareAndSwap(ctx, granitehoist.Change{Key: key, Expect: entry.Version, Delete: true})
	return err
}
