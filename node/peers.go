// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package node

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/fleet"
	"granitehoist.example/granitehoist/internal/event"
)

// peersPrefix is where nodes enter their addresses in the store.
const peersPrefix = "boxes/"

// methodGreet tells a neighbour of this node, and asks whom it knows.
const methodGreet = "peers.greet"

// Times of the exchange with neighbours.
const (
	listInterval   = 8 * time.Second
	listRetryPause = 300 * time.Millisecond
	// firstListPause is the time in which all nodes of a fleet enter themselves at
	// its first start.
	firstListPause = 1500 * time.Millisecond
	greetTimeout   = 200 * time.Millisecond
	// listFreshFor is the age up to which a list of entries is passed on.
	listFreshFor = 2 * listInterval
	// maxGreeted bounds the neighbours that are greeted at a time.
	maxGreeted = 12
)

// peerEntry is what a node writes of itself.
type peerEntry struct {
	Incarnation granitehoist.Incarnation      `json:"incarnation"`
	Box         granitehoist.Box              `json:"box"`
	Zone        granitehoist.AvailabilityZone `json:"place"`
	Address     string                        `json:"address"`
	// LinkMbps is the rate of the box's link in Mbit/s.
	LinkMbps float64 `json:"link_mbps,omitempty"`
}

type peersSettings struct {
	self  peerEntry
	store granitehoist.Store
	log   *zap.Logger
	// first says that the whole fleet starts for the first time, so that the
	// list of nodes is only filling.
	first bool
}

// peers knows the neighbours of a node.
type peers struct {
	settings peersSettings
	client   *fleet.Client

	mu      sync.Mutex
	others  []peerEntry
	next    int
	entered bool
	// listsRead counts the lists read, the last of them at listedAt.
	listsRead int
	listedAt  time.Time
}

func newPeers(s peersSettings) *peers {
	return &peers{settings: s, client: fleet.NewClient(fleet.ClientSettings{})}
}

// key is where the node enters itself.
func (p *peers) key() string { return peersPrefix + string(p.settings.self.Box) }

// run enters the node and reads the others until ctx ends.
func (p *peers) run(ctx context.Context) {
	greeted := false
	for ctx.Err() == nil {
		wait := listInterval
		err := p.refreshList(ctx)
		if p.listCount() < p.listsNeeded() {
			wait = firstListPause
		}
		if err != nil {
			wait = listRetryPause
		}
		if err != nil || !greeted {
			// The store tells neighbours of a new incarnation late, or not at
			// all while it does not answer.
			p.greetNeighbours(ctx)
			greeted = err == nil
		}
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
	}
}

func (p *peers) listCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.listsRead
}

// refreshList learns the present entries, from a relay if there is one.
func (p *peers) refreshList(ctx context.Context) error {
	for _, relay := range p.relaysToAsk() {
		if reply, err := p.greetAddress(ctx, relay.Address); err == nil && p.adoptRelayList(reply) {
			return nil
		}
	}
	return p.readList(ctx)
}

// adoptRelayList takes the entries that a relay has read in place of the node's own
// list, unless they lack this node.
func (p *peers) adoptRelayList(reply greeting) bool {
	if !reply.Listed || !slices.Contains(reply.Others, p.settings.self) {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.others = []peerEntry{reply.Self}
	for _, other := range reply.Others {
		if other.Box != p.settings.self.Box {
			p.others = append(p.others, other)
		}
	}
	return true
}

// readList reads all entries, and writes the node's own if it is missing or is that
// of an earlier incarnation.
func (p *peers) readList(ctx context.Context) error {
	entries, _, err := p.settings.store.List(ctx, peersPrefix)
	if err != nil {
		return err
	}
	var others []peerEntry
	own := granitehoist.Entry{Key: p.key()}
	entered := false
	for _, e := range entries {
		var entry peerEntry
		if err := json.Unmarshal(e.Value, &entry); err != nil {
			p.settings.log.Error(event.PeerBad, zap.String("key", e.Key), zap.Error(err))
			continue
		}
		if e.Key != p.key() {
			others = append(others, entry)
			continue
		}
		own = e
		entered = entry == p.settings.self
	}
	p.mu.Lock()
	p.others, p.entered = others, entered
	p.listsRead++
	p.listedAt = time.Now()
	p.mu.Unlock()
	if entered {
		return nil
	}
	return p.writeEntry(ctx, own)
}

func (p *peers) writeEntry(ctx context.Context, own granitehoist.Entry) error {
	value, err := json.Marshal(p.settings.self)
	if err != nil {
		return err
	}
	_, err = p.settings.store.CompareAndSwap(ctx, granitehoist.Change{Key: p.key(), Value: value, Expect: own.Version})
	return err
}

// greeting is what nodes tell each other of themselves and of those they know.
type greeting struct {
	Self   peerEntry   `json:"self"`
	Others []peerEntry `json:"others,omitempty"`
	// Listed says that Others are as the store had them a short while ago.
	Listed bool `json:"listed,omitempty"`
}

// greetNeighbours tells neighbours of this node and learns their present incarnations.
func (p *peers) greetNeighbours(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, greetTimeout)
	defer cancel()
	var calls sync.WaitGroup
	for _, other := range p.nextNeighbours(maxGreeted) {
		calls.Go(func() { _, _ = p.greetAddress(ctx, other.Address) })
	}
	calls.Wait()
}

// greetAddress greets whoever is at an address. The incarnation that was known may
// be gone; the one that answers says who it is.
func (p *peers) greetAddress(ctx context.Context, address string) (greeting, error) {
	ctx, cancel := context.WithTimeout(ctx, greetTimeout)
	defer cancel()
	var reply greeting
	err := p.client.Call(ctx, granitehoist.Peer{Address: address}, methodGreet, greeting{Self: p.settings.self}, &reply)
	if err == nil {
		p.noteGreeting(reply)
	}
	return reply, err
}

// Call implements granitehoist.Caller. If another incarnation has the address
// by now, its name is learnt for the next call.
func (p *peers) Call(ctx context.Context, to granitehoist.Peer, method string, params, result any) error {
	err := p.client.Call(ctx, to, method, params, result)
	if errors.Is(err, fleet.ErrOtherIncarnation) {
		_, _ = p.greetAddress(ctx, to.Address)
	}
	return err
}

// noteGreeting takes in what a node said of itself, and the boxes that were not known.
func (p *peers) noteGreeting(g greeting) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.noteNeighbour(g.Self, true)
	for _, other := range g.Others {
		p.noteNeighbour(other, false)
	}
}

// noteNeighbour enters a neighbour. What a box says of itself goes before what
// others say of it.
func (p *peers) noteNeighbour(entry peerEntry, itself bool) {
	if entry.Box == "" || entry.Box == p.settings.self.Box {
		return
	}
	for i, other := range p.others {
		if other.Box != entry.Box {
			continue
		}
		if itself {
			p.others[i] = entry
		}
		return
	}
	p.others = append(p.others, entry)
}

// serveGreet answers a neighbour's greeting.
func (p *peers) serveGreet(_ context.Context, g greeting) (greeting, error) {
	p.noteGreeting(greeting{Self: g.Self})
	p.mu.Lock()
	defer p.mu.Unlock()
	listed := p.isRelayLocked() && time.Since(p.listedAt) <= listFreshFor
	return greeting{Self: p.settings.self, Others: append([]peerEntry(nil), p.others...), Listed: listed}, nil
}

// removeEntry removes the node's entry.
func (p *peers) removeEntry(ctx context.Context) error {
	entry, err := p.settings.store.Get(ctx, p.key())
	if err != nil || entry.Version == 0 {
		return err
	}
	_, err = p.settings.store.CompareAndSwap(ctx, granitehoist.Change{Key: p.key(), Expect: entry.Version, Delete: true})
	return err
}

// routers returns the number of nodes, this one included.
func (p *peers) routers() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.others) + 1
}

// nextNeighbours returns at most so many neighbours, each in its turn.
func (p *peers) nextNeighbours(most int) []peerEntry {
	p.mu.Lock()
	defer p.mu.Unlock()
	var chosen []peerEntry
	for range min(most, len(p.others)) {
		chosen = append(chosen, p.others[p.next%len(p.others)])
		p.next++
	}
	return chosen
}
