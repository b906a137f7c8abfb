// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package node

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/balance"
	"granitehoist.example/granitehoist/escrow"
	"granitehoist.example/granitehoist/fleet"
)

// peersSettings configures peers.
type peersSettings struct {
	// self is this node's own entry.
	self  peerEntry
	store granitehoist.Store
	// clock returns the current time; nil means time.Now.
	clock granitehoist.Clock
	log   *zap.Logger
	// table supplies the hints and upstream signals that this node sends in greetings, and
	// receives those of other nodes.
	table *balance.Table
	// bootstrap is Config.Bootstrap.
	bootstrap bool
	// regions is Config.Regions.
	regions map[granitehoist.AvailabilityZone]granitehoist.Region
	// reads bounds what is read from the neighbours.
	reads fleet.ReadSettings
}

// peers holds the entries of a node's neighbours and calls them. The entries come from
// the last node list, read from the store or from a relay, updated by later greetings.
// They are not kept over a restart.
//
// The decisions that depend on the entries are methods of fleetView; peers only takes a
// view under its lock. It is safe for concurrent use.
type peers struct {
	settings peersSettings
	client   *fleet.Client

	// mu guards the fields up to startedAt.
	mu sync.Mutex
	// others holds the neighbours, one entry per box. Changes replace the slice, so that
	// views may share it.
	others []peerEntry
	// ranked caches fleetView.ranked of the shards requested since others last changed.
	ranked map[escrow.Shard][]peerEntry
	// subHolders caches fleetView.subHolder in the same way.
	subHolders map[escrow.Shard]peerEntry
	// nextIndex is the position in others for round-robin selection.
	nextIndex int
	// listsRead counts the node lists that this node read from the store, the last of
	// them at listedAt.
	listsRead int
	listedAt  time.Time
	startedAt time.Time

	// restoredLists is how many lists are left to be read from the store since it was
	// restored. listWake wakes run, and has a capacity of one.
	restoredLists atomic.Int32
	listWake      chan struct{}
}

// newPeers returns peers without any neighbour.
func newPeers(s peersSettings) *peers {
	if s.clock == nil {
		s.clock = time.Now
	}
	if s.table == nil {
		s.table = balance.New(balance.Settings{})
	}
	return &peers{settings: s, client: fleet.NewClient(fleet.ClientSettings{Reads: s.reads}), startedAt: s.clock(), listWake: make(chan struct{}, 1)}
}

// view returns the current view of the fleet.
func (p *peers) view() fleetView {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.viewLocked()
}

func (p *peers) viewLocked() fleetView {
	return fleetView{
		self:     p.settings.self,
		others:   p.others,
		regions:  p.settings.regions,
		complete: p.listsRead >= listsNeeded(p.settings.bootstrap),
	}
}

// routers returns the number of nodes, this one included.
func (p *peers) routers() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.others) + 1
}

// boxes returns the boxes of all nodes, this one's included.
func (p *peers) boxes() []granitehoist.Box {
	p.mu.Lock()
	defer p.mu.Unlock()
	boxes := []granitehoist.Box{p.settings.self.Box}
	for _, other := range p.others {
		boxes = append(boxes, other.Box)
	}
	return boxes
}

// isRelay reports whether this node reads the store itself.
func (p *peers) isRelay() bool { return p.view().isRelay() }

// relaysToAsk returns the relays that this node queries instead of the store.
func (p *peers) relaysToAsk() []granitehoist.Peer { return p.view().relaysToAsk() }

// nearRelaysToAsk returns those of relaysToAsk that are in this node's region.
func (p *peers) nearRelaysToAsk() []granitehoist.Peer { return p.view().nearRelaysToAsk() }

// knowsRelays reports whether the followers may watch the store. It returns false only at
// the first start of a fleet, until this node has read listsAtBootstrap node lists or
// maxBootstrapWait has passed. Until then no node knows the relays, and all nodes would
// watch the store.
func (p *peers) knowsRelays() bool {
	view := p.view()
	waiting := p.settings.clock().Sub(p.startedAt) < maxBootstrapWait
	return view.complete || !p.settings.bootstrap || !waiting
}

// maxBootstrapWait bounds the wait in knowsRelays in case the store does not list the
// nodes.
const maxBootstrapWait = 2 * bootstrapListDelay

// role returns this node's role for the tokens of a shard.
func (p *peers) role(shard escrow.Shard) escrow.Role {
	p.mu.Lock()
	defer p.mu.Unlock()
	ranked := p.rankedLocked(shard)
	role := p.viewLocked().role(ranked)
	if role == escrow.RoleBorrower && p.subHolderLocked(shard, ranked).Box == p.settings.self.Box {
		return escrow.RoleSubHolder
	}
	return role
}

// shardsRecord reports whether the budget record in the store is split into shards.
func (p *peers) shardsRecord() bool { return p.view().shardsRecord() }

// lenders returns the neighbours that this node asks for a loan of a shard's tokens, in
// order.
func (p *peers) lenders(shard escrow.Shard) []escrow.Lender {
	p.mu.Lock()
	defer p.mu.Unlock()
	ranked := p.rankedLocked(shard)
	view := p.viewLocked()
	return view.withSubHolder(p.subHolderLocked(shard, ranked), view.lenders(ranked))
}

// rankedLocked returns fleetView.ranked, cached until the neighbours change, since each
// request needs it. The caller holds mu.
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

// subHolderLocked returns fleetView.subHolder, cached as by rankedLocked. The caller holds mu.
func (p *peers) subHolderLocked(shard escrow.Shard, ranked []peerEntry) peerEntry {
	if sub, ok := p.subHolders[shard]; ok {
		return sub
	}
	if p.subHolders == nil {
		p.subHolders = map[escrow.Shard]peerEntry{}
	}
	p.subHolders[shard] = p.viewLocked().subHolder(shard, ranked)
	return p.subHolders[shard]
}

// setOthers replaces the neighbours. The caller holds mu.
func (p *peers) setOthers(others []peerEntry) {
	if slices.Equal(p.others, others) {
		return
	}
	p.others = others
	p.ranked = nil
	p.subHolders = nil
}

// neighboursToAsk returns up to maxNeighboursAsked neighbours, round-robin over calls.
func (p *peers) neighboursToAsk() []granitehoist.Peer {
	var chosen []granitehoist.Peer
	for _, other := range p.nextNeighbours(maxNeighboursAsked) {
		chosen = append(chosen, other.peer())
	}
	return chosen
}

// nextNeighbours returns up to limit neighbours, round-robin over calls.
func (p *peers) nextNeighbours(limit int) []peerEntry {
	p.mu.Lock()
	defer p.mu.Unlock()
	var chosen []peerEntry
	for range min(limit, len(p.others)) {
		chosen = append(chosen, p.others[p.nextIndex%len(p.others)])
		p.nextIndex++
	}
	return chosen
}

// sampleNeighbours returns up to limit random neighbours of this node's region, or of the
// other regions if far is set.
func (p *peers) sampleNeighbours(limit int, far bool) []peerEntry {
	view := p.view()
	var sample []peerEntry
	for _, other := range view.others {
		if view.isFar(other) == far {
			sample = append(sample, other)
		}
	}
	rand.Shuffle(len(sample), func(i, j int) { sample[i], sample[j] = sample[j], sample[i] })
	return sample[:min(limit, len(sample))]
}

// Call implements granitehoist.Caller. If the address now belongs to another incarnation,
// the call fails, and Call greets that incarnation so that the next call can reach it.
func (p *peers) Call(ctx context.Context, to granitehoist.Peer, method string, params, result any) error {
	err := p.client.Call(ctx, to, method, params, result)
	if errors.Is(err, fleet.ErrOtherIncarnation) {
		// A greeting that fails too is retried by the next call, which gets the same
		// error.
		_, _ = p.greetAddress(ctx, to.Address)
	}
	return err
}
