// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package node

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/balance"
	"granitehoist.example/granitehoist/escrow"
	"granitehoist.example/granitehoist/fleet"
)

// peersSettings configure peers.
type peersSettings struct {
	// self is this node's own entry.
	self  peerEntry
	store granitehoist.Store
	// clock tells the present time; nil stands for time.Now.
	clock granitehoist.Clock
	log   *zap.Logger
	// table gets and gives the hints of greetings.
	table *balance.Table
	// first is Config.First.
	first bool
}

// peers holds the entries of a node's neighbours and calls them. The entries are
// those of the last list, from the store or from a relay, corrected by the
// greetings that neighbours sent since. Nothing is kept over a restart: a new
// process reads the list again.
//
// The rules that follow from the entries are methods of fleetView; peers only
// takes the view under its lock. It is safe for concurrent use.
type peers struct {
	settings peersSettings
	client   *fleet.Client

	// mu guards all fields below.
	mu sync.Mutex
	// others holds the neighbours, one entry a box. Changes replace the slice,
	// so that a view may share it.
	others []peerEntry
	// ranked holds fleetView.ranked of the shards that were asked for since others
	// last changed.
	ranked map[escrow.Shard][]peerEntry
	// next is the index in others from which neighbours are chosen in turn.
	next int
	// listsRead counts the lists that this node read from the store, the last
	// of them at listedAt.
	listsRead int
	listedAt  time.Time
	// startedAt is when this node started.
	startedAt time.Time
}

// newPeers returns a node's neighbours before any is known.
func newPeers(s peersSettings) *peers {
	if s.clock == nil {
		s.clock = time.Now
	}
	if s.table == nil {
		s.table = balance.New(balance.Settings{})
	}
	return &peers{settings: s, client: fleet.NewClient(fleet.ClientSettings{}), startedAt: s.clock()}
}

// view returns the present view of the fleet.
func (p *peers) view() fleetView {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.viewLocked()
}

func (p *peers) viewLocked() fleetView {
	return fleetView{
		self:     p.settings.self,
		others:   p.others,
		complete: p.listsRead >= listsNeeded(p.settings.first),
	}
}

// routers returns the number of nodes, this one included.
func (p *peers) routers() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.others) + 1
}

// isRelay reports whether this node reads from the store itself.
func (p *peers) isRelay() bool { return p.view().isRelay() }

// relaysToAsk returns the relays that this node asks in place of the store.
func (p *peers) relaysToAsk() []granitehoist.Peer { return p.view().relaysToAsk() }

// knowsRelays reports whether this node knows if it is a relay, and else whom to ask. At
// the first start of a fleet that takes two lists of nodes (listsNeeded): until then
// each of 87 routers watched the store by itself, which was a tenth of all calls of a
// calm day.
func (p *peers) knowsRelays() bool {
	view := p.view()
	waiting := p.settings.clock().Sub(p.startedAt) < maxUnready
	return view.complete || !p.settings.first || !waiting
}

// maxUnready bounds the time for which a node does not know whom to ask, in case the store
// does not list the nodes: twice the time in which the list of a new fleet fills.
const maxUnready = 2 * firstListPause

// role returns this node's role for the tokens of a shard.
func (p *peers) role(shard escrow.Shard) escrow.Role {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.viewLocked().role(p.rankedLocked(shard))
}

// dividesRecord reports whether the record of the budgets is divided.
func (p *peers) dividesRecord() bool { return p.view().dividesRecord() }

// lenders returns the neighbours that this node asks for a loan of the tokens of a
// shard, in that order.
func (p *peers) lenders(shard escrow.Shard) []escrow.Lender {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.viewLocked().lenders(p.rankedLocked(shard))
}

// rankedLocked returns fleetView.ranked, which is kept until the neighbours change:
// each request asks for it. The caller holds mu.
func (p *peers) rankedLocked(shard escrow.Shard) []peerEntry {
	if ranked, ok := p.ranked[shard]; ok {
		return ranked
	}
	if p.ranked == nil {
		p.ranked = map[escrow.Shard][]peerEntry{}
	}
	p.ranked[shard] = p.viewLocked().ranked(shard)
	return p.ranked[shard]
}

// setOthers replaces the neighbours. The caller holds mu.
func (p *peers) setOthers(others []peerEntry) {
	if slices.Equal(p.others, others) {
		return
	}
	p.others = others
	p.ranked = nil
}

// neighboursToAsk returns up to maxAsked neighbours, in turn from call to call.
func (p *peers) neighboursToAsk() []granitehoist.Peer {
	var chosen []granitehoist.Peer
	for _, other := range p.nextNeighbours(maxAsked) {
		chosen = append(chosen, other.peer())
	}
	return chosen
}

// nextNeighbours returns up to limit neighbours, and begins at each call after
// the last one of the call before.
func (p *peers) nextNeighbours(limit int) []peerEntry {
	p.mu.Lock()
	defer p.mu.Unlock()
	var chosen []peerEntry
	for range min(limit, len(p.others)) {
		chosen = append(chosen, p.others[p.next%len(p.others)])
		p.next++
	}
	return chosen
}

// Call implements granitehoist.Caller. If another incarnation has the address
// by now, the call fails, and a greeting learns that incarnation for the next
// call.
func (p *peers) Call(ctx context.Context, to granitehoist.Peer, method string, params, result any) error {
	err := p.client.Call(ctx, to, method, params, result)
	if errors.Is(err, fleet.ErrOtherIncarnation) {
		// The call has failed in any case. If this greeting fails too, the next
		// call meets the same error and greets again.
		_, _ = p.greetAddress(ctx, to.Address)
	}
	return err
}
