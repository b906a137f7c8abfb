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

// methodGreet is the method by which a node announces itself to a neighbour and learns
// the neighbour's entry and node list.
const methodGreet = "peers.greet"

const (
	// greetTimeout bounds one greeting, connecting included.
	greetTimeout = 200 * time.Millisecond
	// maxGreeted bounds the neighbours greeted at a time. If there are no more neighbours
	// than that, all of them learn of a new incarnation at once.
	maxGreeted = 12
)

// greeting is the message of methodGreet: the sender's own entry and, in replies, its
// neighbours.
type greeting struct {
	Self   peerEntry   `json:"self"`
	Others []peerEntry `json:"others,omitempty"`
	// Listed says that the receiver may use Others as its node list: the sender read the
	// list from the store at most maxListAge ago (canServeList).
	Listed bool `json:"listed,omitempty"`
	// Hints are the sender's hints on slow instances, in replies only.
	Hints []balance.Hint `json:"hints,omitempty"`
	// Updates holds the rate limits and departures of upstreams known to the sender, in
	// replies only.
	balance.Updates
}

// greetNeighbours sends this node's entry to neighbours and learns their current
// incarnations.
func (p *peers) greetNeighbours(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, greetTimeout)
	defer cancel()
	var calls sync.WaitGroup
	for _, other := range p.nextNeighbours(maxGreeted) {
		calls.Go(func() {
			// A neighbour that cannot be greeted keeps its entry: only a list removes it.
			_, _ = p.greetAddress(ctx, other.Address)
		})
	}
	calls.Wait()
}

// greetAddress greets the node at an address and applies its reply. It accepts any
// incarnation, since the one in this node's list may have ended.
func (p *peers) greetAddress(ctx context.Context, address string) (greeting, error) {
	ctx, cancel := context.WithTimeout(ctx, greetTimeout)
	defer cancel()
	var reply greeting
	err := p.client.Call(ctx, granitehoist.Peer{Address: address}, methodGreet, greeting{Self: p.settings.self}, &reply)
	if err == nil {
		p.applyGreeting(reply)
		p.settings.table.ApplyHints(reply.Hints)
		p.settings.table.MergeUpdates(reply.Updates, p.settings.clock())
	}
	return reply, err
}

// applyGreeting updates the neighbours with the sender's entry and those that it passed
// on.
func (p *peers) applyGreeting(g greeting) {
	p.mu.Lock()
	defer p.mu.Unlock()
	self := p.settings.self.Box
	p.setOthers(upsertNeighbour(p.others, self, g.Self, sourceSelf))
	for _, other := range g.Others {
		p.setOthers(upsertNeighbour(p.others, self, other, sourceThirdParty))
	}
}

// serveGreet serves a neighbour's greeting. It applies only the sender's own entry,
// since callers send no others.
func (p *peers) serveGreet(_ context.Context, g greeting) (greeting, error) {
	p.applyGreeting(greeting{Self: g.Self})
	p.mu.Lock()
	defer p.mu.Unlock()
	return greeting{
		Self:    p.settings.self,
		Others:  p.others,
		Hints:   p.settings.table.Hints(),
		Updates: p.settings.table.Snapshot(p.settings.clock()),
		Listed:  canServeList(p.viewLocked().isRelay(), p.listedAt, p.settings.clock()),
	}, nil
}
