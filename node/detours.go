// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package node

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"go.uber.org/zap"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/exchange"
	"granitehoist.example/granitehoist/internal/event"
	"granitehoist.example/granitehoist/internal/readlimit"
	"granitehoist.example/granitehoist/tunnel"
)

// A node that has lost its path to the upstreams, but not to its neighbours, connects to
// upstreams through a neighbour that has one (package tunnel). It asks its neighbours for
// theirs, since those of its own zone may be partitioned too.

// methodReach is the method by which a node asks a neighbour whether it reaches the
// upstreams and opens tunnels to them.
const methodReach = "upstreams.reach"

// reachParams are the parameters of methodReach.
type reachParams struct{}

// reachResult is the result of methodReach.
type reachResult struct {
	// Reaches says that the neighbour has not lost its path to the upstreams.
	Reaches bool `json:"reaches"`
	// Tunnel is the address at which the neighbour opens tunnels, as IP:PORT; empty if it
	// opens none.
	Tunnel string `json:"tunnel,omitempty"`
}

const (
	// reachTimeout bounds a call of methodReach, connecting included, farReachTimeout one to
	// another region.
	reachTimeout    = 150 * time.Millisecond
	farReachTimeout = 500 * time.Millisecond
	// maxReachAsked is the number of neighbours asked in one search.
	maxReachAsked = 8
	// searchInterval is the minimum time between two searches without a result.
	searchInterval = 200 * time.Millisecond
	// routeLifetime is how long the response of a neighbour counts.
	routeLifetime = 2 * time.Second
	// maxDetourAttempts is the number of neighbours tried for one connection.
	maxDetourAttempts = 3
)

// detourRoute is a neighbour that opens tunnels.
type detourRoute struct {
	box     granitehoist.Box
	address string
	until   time.Time
}

// detours opens connections through neighbours. It implements exchange.Detour and is safe
// for concurrent use.
type detours struct {
	peers    *peers
	client   *tunnel.Client
	clock    granitehoist.Clock
	log      *zap.Logger
	counters *counters
	// onExceeded is called with each neighbour whose response exceeded a bound.
	onExceeded func(box string, e *readlimit.Error)

	// mu guards the fields below it.
	mu     sync.Mutex
	routes []detourRoute
	// search is the search in progress, nil if there is none. searchedAt is the end of the
	// last one.
	search     *detourSearch
	searchedAt time.Time
	// othersMayReach says that a neighbour which opens no tunnels for this node may have a
	// path to the upstreams, as of the last search.
	othersMayReach bool
}

// detourSearch is a search for neighbours that open tunnels.
type detourSearch struct {
	// found is closed with the first of them, ended after the last call.
	found, ended chan struct{}
	once         sync.Once
}

// newDetours returns detours without any route.
func newDetours(n *Node, p *peers) *detours {
	return &detours{peers: p, client: &tunnel.Client{}, clock: n.clock, log: n.log, counters: n.counters, onExceeded: n.exceededBy(neighbourPeer)}
}

// DialUpstream implements exchange.Detour.
func (d *detours) DialUpstream(ctx context.Context, upstream granitehoist.Upstream) (net.Conn, error) {
	for range maxDetourAttempts {
		route, found := d.route(ctx)
		if !found {
			break
		}
		c, err := d.client.Dial(ctx, route.address, upstream)
		d.counters.count(1, metricDetours, "result=%q", detourResult(err))
		if err == nil || isUpstreamError(err) || ctx.Err() != nil {
			return c, err
		}
		if exceeded := readlimit.Of(err); exceeded != nil {
			d.onExceeded(string(route.box), exceeded)
		}
		d.remove(route, err)
	}
	return nil, exchange.ErrNoDetour
}

// isUpstreamError reports whether an error of tunnel.Client.Dial is about the upstream, so
// that another neighbour would hardly help.
func isUpstreamError(err error) bool {
	return errors.Is(err, tunnel.ErrRefused) || errors.Is(err, tunnel.ErrTimedOut)
}

// detourResult returns the label of a dial through a neighbour in the metrics.
func detourResult(err error) string {
	switch {
	case err == nil:
		return "ok"
	case errors.Is(err, tunnel.ErrRefused):
		return "refused"
	case errors.Is(err, tunnel.ErrTimedOut):
		return "timeout"
	}
	return "failed"
}

// route returns a random neighbour that opens tunnels. If none is known it searches for one
// until ctx ends.
func (d *detours) route(ctx context.Context) (detourRoute, bool) {
	if route, found := d.knownRoute(d.clock()); found {
		return route, true
	}
	search := d.startSearch(d.clock())
	if search == nil {
		return detourRoute{}, false
	}
	select {
	case <-search.found:
	case <-search.ended:
	case <-ctx.Done():
	}
	return d.knownRoute(d.clock())
}

// knownRoute returns a random known route at now.
func (d *detours) knownRoute(now time.Time) (detourRoute, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	current := d.routes[:0]
	for _, route := range d.routes {
		if now.Before(route.until) {
			current = append(current, route)
		}
	}
	d.routes = current
	if len(current) == 0 {
		return detourRoute{}, false
	}
	return current[rand.IntN(len(current))], true
}

// remove removes a route that failed.
func (d *detours) remove(failed detourRoute, cause error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i, route := range d.routes {
		if route == failed {
			d.routes = append(d.routes[:i:i], d.routes[i+1:]...)
			d.log.Info(event.DetourFailed, zap.String("box", string(failed.box)), zap.Error(cause))
			return
		}
	}
}

// startSearch starts a search or returns the one in progress. It returns nil if the last
// one ended less than searchInterval ago.
func (d *detours) startSearch(now time.Time) *detourSearch {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.search != nil || now.Sub(d.searchedAt) < searchInterval {
		return d.search
	}
	d.search = &detourSearch{found: make(chan struct{}), ended: make(chan struct{})}
	go d.runSearch(d.search)
	return d.search
}

// runSearch asks neighbours whether they open tunnels: those of its own region first and,
// if none does, those of other regions, over which the bytes cross twice.
func (d *detours) runSearch(search *detourSearch) {
	othersMayReach := false
	for _, far := range []bool{false, true} {
		othersMayReach = d.askNeighbours(search, far) || othersMayReach
		if _, found := d.knownRoute(d.clock()); found {
			break
		}
	}
	if _, found := d.knownRoute(d.clock()); !found {
		// The neighbours may know nodes that this one does not know yet.
		d.peers.greetNeighbours(context.Background())
	}
	d.mu.Lock()
	d.search, d.searchedAt, d.othersMayReach = nil, d.clock(), othersMayReach
	d.mu.Unlock()
	close(search.ended)
}

// askNeighbours asks some neighbours of this node's region, or of the others if far is set,
// and adds the routes that they offer. It reports whether one that offers none may have a
// path to the upstreams.
func (d *detours) askNeighbours(search *detourSearch, far bool) (mayReach bool) {
	timeout := reachTimeout
	if far {
		timeout = farReachTimeout
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var calls sync.WaitGroup
	var mu sync.Mutex
	for _, other := range d.peers.sampleNeighbours(maxReachAsked, far) {
		calls.Go(func() {
			var reply reachResult
			err := d.peers.Call(ctx, other.peer(), methodReach, reachParams{}, &reply)
			if err == nil && reply.Reaches && reply.Tunnel != "" {
				d.add(detourRoute{box: other.Box, address: reply.Tunnel, until: d.clock().Add(routeLifetime)})
				search.once.Do(func() { close(search.found) })
				return
			}
			mu.Lock()
			defer mu.Unlock()
			// A neighbour of an older version does not serve the method.
			mayReach = mayReach || reply.Reaches || isUnknownMethod(err)
		})
	}
	calls.Wait()
	return mayReach
}

// add adds a route or replaces that of the same box.
func (d *detours) add(added detourRoute) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i, route := range d.routes {
		if route.box == added.box {
			d.routes[i] = added
			return
		}
	}
	d.routes = append(d.routes, added)
}

// onlyOthersReach reports whether no neighbour opens tunnels for this node at now, although
// one may have a path to the upstreams.
func (d *detours) onlyOthersReach(now time.Time) bool {
	if _, found := d.knownRoute(now); found {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.othersMayReach
}
