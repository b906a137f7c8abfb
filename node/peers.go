// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package node

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/fleet"
	"granitehoist.example/granitehoist/follow"
	"granitehoist.example/granitehoist/internal/event"
)

// peersPrefix is where nodes enter their addresses in the store.
const peersPrefix = "boxes/"

// methodNewer asks a neighbour for a newer copy of a prefix.
const methodNewer = "follow.newer"

// methodGreet tells a neighbour of this node, and asks whom it knows.
const methodGreet = "peers.greet"

// Times of the exchange with neighbours.
const (
	peersInterval = 8 * time.Second
	peersPause    = 300 * time.Millisecond
	// peersFill is the time in which all nodes of a fleet enter themselves at
	// its first start.
	peersFill    = 1500 * time.Millisecond
	askTimeout   = 400 * time.Millisecond
	greetTimeout = 200 * time.Millisecond
	// greetAtMost bounds the neighbours that are greeted at a time.
	greetAtMost = 12
	// askAtMost bounds the neighbours that are asked at a time.
	askAtMost = 3
)

// peerEntry is what a node writes of itself.
type peerEntry struct {
	Incarnation granitehoist.Incarnation `json:"incarnation"`
	Box         granitehoist.Box         `json:"box"`
	Place       granitehoist.Place       `json:"place"`
	Address     string                   `json:"address"`
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
	// listed counts the lists read.
	listed int
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

// refresh reads all entries, and writes the node's own if it is missing or is
// that of an earlier incarnation.
func (p *peers) refresh(ctx context.Context) error {
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
}

// greet tells neighbours of this node and learns their present incarnations.
func (p *peers) greet(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, greetTimeout)
	defer cancel()
	var calls sync.WaitGroup
	for _, other := range p.some(greetAtMost) {
		calls.Go(func() {
			var reply greeting
			// The incarnation that was known may be gone; whoever answers says
			// who it is.
			to := granitehoist.Peer{Address: other.Address}
			if err := p.client.Call(ctx, to, methodGreet, greeting{Self: p.settings.self}, &reply); err == nil {
				p.met(reply)
			}
		})
	}
	calls.Wait()
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
	return greeting{Self: p.settings.self, Others: append([]peerEntry(nil), p.others...)}, nil
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

// largeFleet is the number of nodes from which only keepers write the record of
// the budgets, keepersPerPlace of them in each place.
const (
	largeFleet      = 16
	keepersPerPlace = 2
)

// keepers returns the keepers by box, nil while every node is one. All nodes
// that know the same boxes choose the same.
func (p *peers) keepers() map[granitehoist.Box]bool {
	if len(p.others)+1 < largeFleet {
		return nil
	}
	places := map[granitehoist.Place][]granitehoist.Box{}
	for _, entry := range append([]peerEntry{p.settings.self}, p.others...) {
		places[entry.Place] = append(places[entry.Place], entry.Box)
	}
	chosen := map[granitehoist.Box]bool{}
	for _, boxes := range places {
		slices.SortFunc(boxes, func(a, b granitehoist.Box) int {
			return cmp.Compare(xxhash.Sum64String(string(a)), xxhash.Sum64String(string(b)))
		})
		for _, box := range boxes[:min(keepersPerPlace, len(boxes))] {
			chosen[box] = true
		}
	}
	return chosen
}

// keeps reports whether this node is a keeper.
func (p *peers) keeps() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listed < p.listsNeeded() {
		return false
	}
	keepers := p.keepers()
	return keepers == nil || keepers[p.settings.self.Box]
}

// listsNeeded returns how many lists must have been read before the others are
// known.
func (p *peers) listsNeeded() int {
	if p.settings.first {
		return 2
	}
	return 1
}

// sharers returns the number of nodes with which this one shares the budgets:
// keepers share with keepers, others with all.
func (p *peers) sharers() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if keepers := p.keepers(); keepers[p.settings.self.Box] {
		return len(keepers)
	}
	return len(p.others) + 1
}

// lenders returns all neighbours: keepers before others, and those in the
// node's own place before those elsewhere.
func (p *peers) lenders() []granitehoist.Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	keepers := p.keepers()
	ranked := make([][]granitehoist.Peer, 4)
	for i := range p.others {
		other := p.others[(p.next+i)%len(p.others)]
		rank := 0
		if other.Place != p.settings.self.Place {
			rank++
		}
		if keepers != nil && !keepers[other.Box] {
			rank += 2
		}
		ranked[rank] = append(ranked[rank], granitehoist.Peer{Incarnation: other.Incarnation, Address: other.Address})
	}
	p.next++
	return slices.Concat(ranked...)
}

// newerParams asks for a copy of a prefix that is newer than a version.
type newerParams struct {
	Prefix string               `json:"prefix"`
	After  granitehoist.Version `json:"after"`
}

// newerResult has the copy if Newer is set.
type newerResult struct {
	Newer bool        `json:"newer"`
	Copy  follow.Copy `json:"copy"`
}

// newer asks neighbours for a copy, and returns the newest that they have.
func (p *peers) newer(ctx context.Context, prefix string, after granitehoist.Version) (follow.Copy, bool) {
	chosen := p.some(askAtMost)
	results := make(chan newerResult, len(chosen))
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	for _, other := range chosen {
		go func() {
			var result newerResult
			to := granitehoist.Peer{Incarnation: other.Incarnation, Address: other.Address}
			if err := p.client.Call(ctx, to, methodNewer, newerParams{prefix, after}, &result); err != nil {
				result = newerResult{}
			}
			results <- result
		}()
	}
	var best newerResult
	for range chosen {
		result := <-results
		if result.Newer && (!best.Newer || result.Copy.At > best.Copy.At) {
			best = result
		}
	}
	return best.Copy, best.Newer
}

// serveNewer answers a neighbour.
func (n *Node) serveNewer(_ context.Context, params newerParams) (newerResult, error) {
	for _, f := range []*follow.Follower{n.configs, n.instances} {
		if f.Prefix() != params.Prefix {
			continue
		}
		newer, ok := f.Newer(params.After)
		return newerResult{Newer: ok, Copy: newer}, nil
	}
	return newerResult{}, nil
}
