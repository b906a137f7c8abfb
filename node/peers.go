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
	peersInterval = 8 * time.Second
	peersPause    = 300 * time.Millisecond
	// peersFill is the time in which all nodes of a fleet enter themselves at
	// its first start.
	peersFill    = 1500 * time.Millisecond
	greetTimeout = 200 * time.Millisecond
	// listFresh is the age up to which a list of entries is passed on.
	listFresh = 2 * peersInterval
	// greetAtMost bounds the neighbours that are greeted at a time.
	greetAtMost = 12
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
	// listed counts the lists read, the last of them at listedAt.
	listed   int
	listedAt time.Time
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
		wait := peersInterval
		err := p.refresh(ctx)
		if p.lists() < p.listsNeeded() {
			wait = peersFill
		}
		if err != nil {
			wait = peersPause
		}
		if err != nil || !greeted {
			// The store tells neighbours of a new incarnation late, or not at
			// all while it does not answer.
			p.greet(ctx)
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

func (p *peers) lists() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.listed
}

// refresh learns the present entries, from a relay if there is one.
func (p *peers) refresh(ctx context.Context) error {
	for _, relay := range p.relays() {
		if reply, err := p.greetOne(ctx, relay.Address); err == nil && p.adopt(reply) {
			return nil
		}
	}
	return p.list(ctx)
}

// adopt takes the entries that a relay has read in place of the node's own
// list, unless they lack this node.
func (p *peers) adopt(reply greeting) bool {
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

// list reads all entries, and writes the node's own if it is missing or is that
// of an earlier incarnation.
func (p *peers) list(ctx context.Context) error {
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
	p.listed++
	p.listedAt = time.Now()
	p.mu.Unlock()
	if entered {
		return nil
	}
	return p.enter(ctx, own)
}

func (p *peers) enter(ctx context.Context, own granitehoist.Entry) error {
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

// greet tells neighbours of this node and learns their present incarnations.
func (p *peers) greet(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, greetTimeout)
	defer cancel()
	var calls sync.WaitGroup
	for _, other := range p.some(greetAtMost) {
		calls.Go(func() { _, _ = p.greetOne(ctx, other.Address) })
	}
	calls.Wait()
}

// greetOne greets whoever is at an address. The incarnation that was known may
// be gone; the one that answers says who it is.
func (p *peers) greetOne(ctx context.Context, address string) (greeting, error) {
	ctx, cancel := context.WithTimeout(ctx, greetTimeout)
	defer cancel()
	var reply greeting
	err := p.client.Call(ctx, granitehoist.Peer{Address: address}, methodGreet, greeting{Self: p.settings.self}, &reply)
	if err == nil {
		p.met(reply)
	}
	return reply, err
}

// Call implements granitehoist.Caller. If another incarnation has the address
// by now, its name is learnt for the next call.
func (p *peers) Call(ctx context.Context, to granitehoist.Peer, method string, params, result any) error {
	err := p.client.Call(ctx, to, method, params, result)
	if errors.Is(err, fleet.ErrOtherIncarnation) {
		_, _ = p.greetOne(ctx, to.Address)
	}
	return err
}

// met takes in what a node said of itself, and the boxes that were not known.
func (p *peers) met(g greeting) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.enterOther(g.Self, true)
	for _, other := range g.Others {
		p.enterOther(other, false)
	}
}

// enterOther enters a neighbour. What a box says of itself goes before what
// others say of it.
func (p *peers) enterOther(entry peerEntry, itself bool) {
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
	p.met(greeting{Self: g.Self})
	p.mu.Lock()
	defer p.mu.Unlock()
	listed := p.isDirect() && time.Since(p.listedAt) <= listFresh
	return greeting{Self: p.settings.self, Others: append([]peerEntry(nil), p.others...), Listed: listed}, nil
}

// leave removes the node's entry.
func (p *peers) leave(ctx context.Context) error {
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

// some returns at most so many neighbours, each in its turn.
func (p *peers) some(most int) []peerEntry {
	p.mu.Lock()
	defer p.mu.Unlock()
	var chosen []peerEntry
	for range min(most, len(p.others)) {
		chosen = append(chosen, p.others[p.next%len(p.others)])
		p.next++
	}
	return chosen
}
