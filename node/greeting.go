// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package node

import (
	"context"
	"sync"
	"time"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/balance"
)

// methodGreet is the method by which a node introduces itself to a neighbour
// and learns the neighbour's entry and those that it has.
const methodGreet = "peers.greet"

const (
	// greetTimeout bounds one greeting, connecting included: neighbours of one site answer
	// in milliseconds.
	greetTimeout = 200 * time.Millisecond
	// maxGreeted bounds the neighbours that are greeted at one time: above the 6 to 9
	// routers of the small sites, so that all of them learn of a new incarnation at once.
	maxGreeted = 12
)

// greeting is what nodes send each other: the sender's own entry, and in the
// reply the sender's neighbours.
type greeting struct {
	Self   peerEntry   `json:"self"`
	Others []peerEntry `json:"others,omitempty"`
	// Listed says that Others are as the store had them a short while ago
	// (vouchesForList).
	Listed bool `json:"listed,omitempty"`
	// Hints are what the sender knows of the instances. Only replies have them.
	Hints []balance.Hint `json:"hints,omitempty"`
	// News is what the sender believes of upstreams by what they said. Only replies have it.
	balance.News
}

// greetNeighbours sends this node's entry to neighbours and learns their
// present incarnations.
func (p *peers) greetNeighbours(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, greetTimeout)
	defer cancel()
	var calls sync.WaitGroup
	for _, other := range p.nextNeighbours(maxGreeted) {
		calls.Go(func() {
			// A neighbour that can't be greeted keeps its entry: only a list
			// removes it (see neighbours.go).
			_, _ = p.greetAddress(ctx, other.Address)
		})
	}
	calls.Wait()
}

// greetAddress greets the node at an address without naming an incarnation: the
// one in this node's list may have ended, and the reply names the present one.
func (p *peers) greetAddress(ctx context.Context, address string) (greeting, error) {
	ctx, cancel := context.WithTimeout(ctx, greetTimeout)
	defer cancel()
	var reply greeting
	err := p.client.Call(ctx, granitehoist.Peer{Address: address}, methodGreet, greeting{Self: p.settings.self}, &reply)
	if err == nil {
		p.noteGreeting(reply)
		p.settings.table.NoteHints(reply.Hints)
		p.settings.table.MergeNews(reply.News, p.settings.clock())
	}
	return reply, err
}

// noteGreeting updates the neighbours by a greeting: the sender's entry, and
// those that it passed on.
func (p *peers) noteGreeting(g greeting) {
	p.mu.Lock()
	defer p.mu.Unlock()
	self := p.settings.self.Box
	p.setOthers(withNeighbour(p.others, self, g.Self, fromItself))
	for _, other := range g.Others {
		p.setOthers(withNeighbour(p.others, self, other, fromOther))
	}
}

// serveGreet answers a neighbour's greeting. It uses only the sender's own entry,
// since a caller sends no others.
func (p *peers) serveGreet(_ context.Context, g greeting) (greeting, error) {
	p.noteGreeting(greeting{Self: g.Self})
	p.mu.Lock()
	defer p.mu.Unlock()
	return greeting{
		Self:   p.settings.self,
		Others: p.others,
		Hints:  p.settings.table.Hints(),
		News:   p.settings.table.AllNews(p.settings.clock()),
		Listed: vouchesForList(p.viewLocked().isRelay(), p.listedAt, p.settings.clock()),
	}, nil
}
