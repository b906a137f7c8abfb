// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package node

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/internal/event"
	"granitehoist.example/granitehoist/internal/pause"
	"granitehoist.example/granitehoist/origin"
)

// A node records where a stream began before the caller gets its first event. While the
// service has several registered releases, or the store is silent, it also sends the
// record to some neighbours (the holders of the stream), so that the caller can resume the
// stream after this node has failed.
//
// A node that does not have the record of a stream reads the registrations in the store,
// and asks the holders of the stream. If neither gives an answer, the origin is unknown.

// methodHoldOrigins is the method by which a node sends records to a holder, and
// methodFindOrigin the one by which it asks for the record of a stream.
const (
	methodHoldOrigins = "origins.hold"
	methodFindOrigin  = "origins.find"
)

const (
	// originReplicas is the number of holders of a stream, and that in large fleets.
	originReplicas, originReplicasLarge = 3, 2
	// holdersAsked is the number of nodes, by rank, that are asked for a record. It exceeds
	// originReplicas, since a holder that fails is replaced by the next in rank, and since a
	// new node may be ranked before the holders.
	holdersAsked = 6
	// findTimeout bounds the search for the origin of a stream.
	findTimeout = 250 * time.Millisecond
	// silentStoreAge is the age of the copy of the instances from which the store counts as
	// silent.
	silentStoreAge = 4 * time.Second
	// originInterval is the time between two sweeps.
	originInterval = time.Second
)

// holdParams are the parameters of methodHoldOrigins.
type holdParams struct {
	Records []origin.Record `json:"records"`
}

// holdResult is the result of methodHoldOrigins.
type holdResult struct{}

// findParams are the parameters of methodFindOrigin.
type findParams struct {
	origin.Stream
}

// findResult is the result of methodFindOrigin.
type findResult struct {
	Found bool `json:"found"`
	origin.Origin
}

// origins keeps where streams began, together with the other nodes. It implements
// forward.Origins and is safe for concurrent use.
type origins struct {
	table    origin.Table
	registry *releaseRegistry
	outbox   *originOutbox
	writer   *originWriter
	archive  *originArchive
	peers    *peers
	clock    granitehoist.Clock
	log      *zap.Logger
	// storeAge returns the age of the copy of the instances.
	storeAge func(now time.Time) time.Duration
}

// newOrigins returns origins without records.
func newOrigins(n *Node, c *components) *origins {
	return &origins{
		registry: newReleaseRegistry(n, c),
		outbox:   newOriginOutbox(c.peers, n.log),
		writer:   newOriginWriter(n, c.peers),
		archive:  newOriginArchive(n, c.peers),
		peers:    c.peers,
		clock:    n.clock,
		log:      n.log,
		storeAge: func(now time.Time) time.Duration { return n.instances.follower.Age(now) },
	}
}

// Unregistered implements forward.Origins.
func (o *origins) Unregistered(s granitehoist.Service) ([]granitehoist.Release, <-chan struct{}) {
	return o.registry.known.Unregistered(s)
}

// Record implements forward.Origins.
func (o *origins) Record(r origin.Record) {
	now := o.clock()
	if !o.table.Add(r, now) {
		o.log.Warn(event.OriginDropped, zap.Int("records", 1))
	}
	if o.replicates(r.Service, now) {
		o.replicate(r)
	}
}

// replicates reports whether the records of a service are sent to other nodes.
func (o *origins) replicates(s granitehoist.Service, now time.Time) bool {
	return o.registry.known.IsMixed(s) || o.storeAge(now) > silentStoreAge
}

// replicate sends a record to the holders of its stream, and archives it while the service
// has several registered releases.
func (o *origins) replicate(r origin.Record) {
	if o.registry.known.IsMixed(r.Service) {
		o.writer.add(r)
	}
	view := o.peers.view()
	o.outbox.send(r, view.holders(r.Stream, holdersAsked), view.originReplicas())
}

// Find implements forward.Origins.
func (o *origins) Find(ctx context.Context, s origin.Stream, service granitehoist.Service) (origin.Origin, bool) {
	if found, known := o.table.Lookup(s, o.clock()); known {
		return found, true
	}
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	if s.Request == "" {
		found := o.onlyOrigin(ctx, service)
		return found.Origin, found.Found
	}
	var holders sync.WaitGroup
	var sources []func() findResult
	for _, holder := range o.peers.view().holders(s, holdersAsked) {
		holders.Add(1)
		sources = append(sources, func() findResult {
			defer holders.Done()
			return o.ask(ctx, holder.peer(), s)
		})
	}
	sources = append(sources, func() findResult { return o.findInStore(ctx, s, service, &holders) })
	return firstFound(sources)
}

// findInStore returns the only registered release of a service, or the archived origin of a
// stream. It looks into the archive once the holders of the stream have answered, or after
// archiveDelay.
func (o *origins) findInStore(ctx context.Context, s origin.Stream, service granitehoist.Service, holders *sync.WaitGroup) findResult {
	if found := o.onlyOrigin(ctx, service); found.Found {
		return found
	}
	answered := make(chan struct{})
	go func() {
		holders.Wait()
		close(answered)
	}()
	pause.Until(ctx, answered, archiveDelay)
	return o.archive.find(ctx, s)
}

// firstFound calls all sources at once and returns the first origin that one of them
// found.
func firstFound(sources []func() findResult) (origin.Origin, bool) {
	results := make(chan findResult, len(sources))
	for _, source := range sources {
		go func() { results <- source() }()
	}
	for range sources {
		if result := <-results; result.Found {
			return result.Origin, true
		}
	}
	return origin.Origin{}, false
}

// onlyOrigin returns the only registered release of a service. It reads nothing while this
// node knows of several.
func (o *origins) onlyOrigin(ctx context.Context, s granitehoist.Service) findResult {
	if o.registry.known.IsMixed(s) {
		return findResult{}
	}
	release, found := o.registry.only(ctx, s, o.clock())
	return findResult{Found: found, Origin: origin.Origin{Service: s, Release: release}}
}

// ask asks another node for the record of a stream. A node that does not answer counts as
// one without the record.
func (o *origins) ask(ctx context.Context, to granitehoist.Peer, s origin.Stream) findResult {
	var result findResult
	if err := o.peers.Call(ctx, to, methodFindOrigin, findParams{Stream: s}, &result); err != nil {
		return findResult{}
	}
	return result
}

// serveHold serves methodHoldOrigins.
func (o *origins) serveHold(_ context.Context, p holdParams) (holdResult, error) {
	if dropped := o.table.Merge(p.Records, o.clock()); dropped > 0 {
		o.log.Warn(event.OriginDropped, zap.Int("records", dropped))
	}
	return holdResult{}, nil
}

// serveFind serves methodFindOrigin.
func (o *origins) serveFind(_ context.Context, p findParams) (findResult, error) {
	found, known := o.table.Lookup(p.Stream, o.clock())
	return findResult{Found: known, Origin: found}, nil
}

// run removes old records, and replicates the streams in progress of each service whose
// records begin to be replicated, until ctx ends.
func (o *origins) run(ctx context.Context) {
	replicated := map[granitehoist.Service]bool{}
	for ctx.Err() == nil {
		now := o.clock()
		o.table.Sweep(now)
		o.archive.records.Sweep(now)
		var started []granitehoist.Service
		for service := range o.registry.known.Registered() {
			replicates := o.replicates(service, now)
			if replicates && !replicated[service] {
				started = append(started, service)
			}
			replicated[service] = replicates
		}
		if len(started) > 0 {
			o.replicateOwn(started, now)
		}
		o.registry.awaitChange(ctx, originInterval)
	}
}

// replicateOwn replicates the records that this node made for some services.
func (o *origins) replicateOwn(services []granitehoist.Service, now time.Time) {
	for _, r := range o.table.Own(now) {
		if slices.Contains(services, r.Service) {
			o.replicate(r)
		}
	}
}

// originReplicas returns the number of holders of a stream besides the node that serves it.
func (v fleetView) originReplicas() int {
	if v.isSmall() {
		return originReplicas
	}
	return originReplicasLarge
}

// holders returns up to limit other nodes in the order in which they hold the record of a
// stream: those of this node's region, where callers come back, unless it has too few, by
// rendezvous hashing.
func (v fleetView) holders(s origin.Stream, limit int) []peerEntry {
	candidates := v.near()
	if len(candidates) < v.originReplicas() {
		candidates = v.others
	}
	streamHash := xxhash.Sum64String(string(s.Workspace) + "\x00" + string(s.Request))
	// ranked holds the first candidates so far, in order.
	ranked := make([]rankedHolder, 0, limit+1)
	for _, candidate := range candidates {
		holder := rankedHolder{entry: candidate, score: mixHashes(streamHash, boxHash(candidate.Box))}
		i, _ := slices.BinarySearchFunc(ranked, holder, func(a, b rankedHolder) int { return cmp.Compare(b.score, a.score) })
		if i < limit {
			ranked = slices.Insert(ranked, i, holder)
			ranked = ranked[:min(limit, len(ranked))]
		}
	}
	holders := make([]peerEntry, len(ranked))
	for i, holder := range ranked {
		holders[i] = holder.entry
	}
	return holders
}

// rankedHolder is a candidate of fleetView.holders.
type rankedHolder struct {
	entry peerEntry
	score uint64
}

// near returns the other nodes of this node's region.
func (v fleetView) near() []peerEntry {
	if len(v.regions) == 0 {
		return v.others
	}
	var near []peerEntry
	for _, other := range v.others {
		if !v.isFar(other) {
			near = append(near, other)
		}
	}
	return near
}

// mixHashes combines two hashes so that the order of the results for different b depends on
// all bits of a: the finalizer of MurmurHash3.
func mixHashes(a, b uint64) uint64 {
	h := a ^ b
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}
