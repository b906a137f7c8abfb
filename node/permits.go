// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package node

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/balance"
	"granitehoist.example/granitehoist/escrow"
	"granitehoist.example/granitehoist/throttle"
)

// Each upstream with a rate limit has one node that issues the permits for it, selected
// by rendezvous hashing. If that node does not respond, the next in rank issues permits at
// a fraction of the rate. A node that reaches neither, or does not know the fleet yet,
// sends the upstream nothing.

// methodPermits is the method by which a node requests permits from an issuer.
const methodPermits = "limits.permits"

const (
	// permitTimeout bounds a call of methodPermits, connecting included. A request with a
	// latency target of 0.5 s waits for a permit for at most this time (package forward).
	permitTimeout = 100 * time.Millisecond
	// permitRetryDelay is the delay before a failed call is retried.
	permitRetryDelay = 200 * time.Millisecond
	// minPermitInterval is the minimum delay before permits that were denied are requested
	// again, so that requests which arrive meanwhile share one call.
	minPermitInterval = 2 * time.Millisecond
	// issuerAvoidTime is how long an issuer that did not respond is avoided.
	issuerAvoidTime = 1500 * time.Millisecond
	// issuerShards is the number of groups of upstreams that share an issuer; peers
	// caches the ranking of each group.
	issuerShards = 256
)

// errNoIssuer says that no issuer is known or reachable.
var errNoIssuer = eris.New("node: no permit issuer is known or reachable")

// permitsParams holds the parameters of methodPermits. A node of an older version does
// not serve the method and counts as unreachable.
type permitsParams struct {
	// Fallback says that the node ranked before the called one did not respond. Its JSON
	// name stays for compatibility.
	Fallback bool            `json:"stands_in,omitempty"`
	Permits  []permitRequest `json:"permits"`
}

// permitRequest requests permits for one upstream.
type permitRequest struct {
	// Limit is the rate limit as known to the caller.
	Limit balance.LimitRecord `json:"limit"`
	Count int                 `json:"count"`
	// WithinMS is how long the caller can wait for the permits, in milliseconds.
	WithinMS float64 `json:"within_ms"`
}

// permitsResult holds one grant per request, in the same order.
type permitsResult struct {
	Permits []permitGrant `json:"permits"`
}

// permitGrant is the issuer's response for one upstream.
type permitGrant struct {
	// Count is the number of permits granted. They become valid DueMS milliseconds after
	// the start of the call, and stay valid for throttle.Validity.
	Count int     `json:"count,omitempty"`
	DueMS float64 `json:"due_ms,omitempty"`
	// RetryMS is the time after which to ask again, in milliseconds, if Count is zero.
	RetryMS float64 `json:"retry_ms,omitempty"`
	// Limit is the rate limit as known to the issuer.
	Limit *balance.LimitRecord `json:"limit,omitempty"`
}

// runPermits fetches the permits that the table requests, until ctx ends.
func (l *rateLimits) runPermits(ctx context.Context) {
	var calls sync.WaitGroup
	defer calls.Wait()
	for ctx.Err() == nil {
		now := l.clock()
		requests, next := l.table.PermitRequests(now)
		for issuer, requests := range l.groupByIssuer(requests, now) {
			calls.Go(func() { l.fetch(ctx, issuer, requests) })
		}
		l.waitForDemand(ctx, next, now)
	}
}

// waitForDemand waits until the table may need permits again: until PermitsWanted signals,
// or until next unless next is zero.
func (l *rateLimits) waitForDemand(ctx context.Context, next, now time.Time) {
	var due <-chan time.Time
	if !next.IsZero() {
		timer := time.NewTimer(max(minPermitInterval, next.Sub(now)))
		defer timer.Stop()
		due = timer.C
	}
	select {
	case <-ctx.Done():
	case <-due:
	case <-l.table.PermitsWanted():
	}
}

// issuer is the node to ask for permits.
type issuer struct {
	peer granitehoist.Peer
	// self says that the issuer is this node. known is false if no issuer is known.
	// fallback says that the issuer is asked because the first in rank is avoided.
	self, known bool
	fallback    bool
}

// groupByIssuer groups requests by the node that is asked.
func (l *rateLimits) groupByIssuer(requests []balance.PermitRequest, now time.Time) map[issuer][]balance.PermitRequest {
	var groups map[issuer][]balance.PermitRequest
	for _, r := range requests {
		if groups == nil {
			groups = map[issuer][]balance.PermitRequest{}
		}
		target := l.issuerOf(r.Limit.Upstream, now)
		groups[target] = append(groups[target], r)
	}
	return groups
}

// issuerOf returns the node to ask for permits for an upstream: the first in rank, or the
// second while the first is avoided. It returns the zero issuer if both are avoided or
// this node does not know the fleet.
func (l *rateLimits) issuerOf(u granitehoist.Upstream, now time.Time) issuer {
	ranked := l.peers.issuers(u)
	for rank, entry := range ranked[:min(2, len(ranked))] {
		candidate := issuer{peer: entry.peer(), self: entry.Box == l.peers.settings.self.Box, known: true, fallback: rank > 0}
		if candidate.self || !l.avoidedIssuers.contains(entry.Address, now) {
			return candidate
		}
	}
	return issuer{}
}

// issuers returns the nodes that issue permits for an upstream, by rank; none while this
// node does not know the fleet.
func (p *peers) issuers(u granitehoist.Upstream) []peerEntry {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.viewLocked().complete {
		return nil
	}
	return p.rankedLocked(escrow.Shard(xxhash.Sum64String(string(u)) % issuerShards))
}

// fetch requests permits from one node and passes them to the table.
func (l *rateLimits) fetch(ctx context.Context, from issuer, requests []balance.PermitRequest) {
	startedAt := l.clock()
	params := newPermitsParams(requests, from.fallback)
	reply, err := l.ask(ctx, from, params)
	now := l.clock()
	if err != nil || len(reply.Permits) != len(requests) {
		l.counters.count(int64(len(requests)), metricPermits, "result=%q", "failed")
		l.avoidedIssuers.add(from.peer.Address, now.Add(issuerAvoidTime))
		for _, r := range requests {
			l.table.AddPermits(balance.PermitResponse{Incarnation: r.Limit.Incarnation(), RetryAt: now.Add(permitRetryDelay)})
		}
		return
	}
	for i, r := range requests {
		l.applyGrant(r, reply.Permits[i], startedAt, now)
	}
}

// newPermitsParams returns the parameters of a call for requests.
func newPermitsParams(requests []balance.PermitRequest, fallback bool) permitsParams {
	params := permitsParams{Fallback: fallback}
	for _, r := range requests {
		params.Permits = append(params.Permits, permitRequest{Limit: r.Limit, Count: r.Count, WithinMS: toMilliseconds(r.MaxWait)})
	}
	return params
}

// ask calls the issuer, which may be this node.
func (l *rateLimits) ask(ctx context.Context, to issuer, params permitsParams) (permitsResult, error) {
	switch {
	case !to.known:
		return permitsResult{}, errNoIssuer
	case to.self:
		return l.servePermits(ctx, params)
	}
	ctx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	var reply permitsResult
	err := l.peers.Call(ctx, to.peer, methodPermits, params, &reply)
	return reply, err
}

// applyGrant passes a grant to the table. Times count from the start of the call, so that
// a slow response does not extend the validity of a permit.
func (l *rateLimits) applyGrant(r balance.PermitRequest, g permitGrant, startedAt, now time.Time) {
	if g.Limit != nil {
		l.table.MergeLimits([]balance.LimitRecord{*g.Limit}, now)
	}
	result := "denied"
	if g.Count > 0 {
		result = "granted"
	}
	l.counters.count(int64(max(1, g.Count)), metricPermits, "result=%q", result)
	due := startedAt.Add(fromMilliseconds(g.DueMS))
	l.table.AddPermits(balance.PermitResponse{
		Incarnation: r.Limit.Incarnation(),
		Count:       g.Count,
		Due:         due,
		Expires:     due.Add(throttle.Validity),
		RetryAt:     startedAt.Add(max(minPermitInterval, fromMilliseconds(g.RetryMS))),
	})
}

// servePermits issues permits to a node, which may be this one.
func (l *rateLimits) servePermits(_ context.Context, params permitsParams) (permitsResult, error) {
	now := l.clock()
	var reply permitsResult
	for _, r := range params.Permits {
		reply.Permits = append(reply.Permits, l.issue(r, params.Fallback, now))
	}
	return reply, nil
}

// issue issues permits for one upstream. If this node does not know the upstream's limit,
// it uses that of the caller.
func (l *rateLimits) issue(r permitRequest, fallback bool, now time.Time) permitGrant {
	l.table.MergeLimits([]balance.LimitRecord{r.Limit}, now)
	limit, known := l.table.Limit(r.Limit.Incarnation(), now)
	if !known {
		limit = r.Limit
	}
	if !limit.Limited {
		return permitGrant{RetryMS: toMilliseconds(minPermitInterval), Limit: &limit}
	}
	grant := l.issuer.Issue(throttle.Request{
		Incarnation: throttle.Incarnation{Upstream: limit.Upstream, StartedAtMS: limit.StartedAtMS},
		Rate:        float64(limit.Rate),
		Count:       r.Count,
		MaxWait:     fromMilliseconds(r.WithinMS),
		Fallback:    fallback,
	}, now)
	return permitGrant{
		Count:   grant.Count,
		DueMS:   toMilliseconds(grant.Due),
		RetryMS: toMilliseconds(grant.RetryAfter),
		Limit:   &limit,
	}
}

// maxMessageDuration bounds the durations accepted in messages.
const maxMessageDuration = time.Hour

// toMilliseconds and fromMilliseconds convert the durations of messages. fromMilliseconds
// limits its result to between 0 and maxMessageDuration.
func toMilliseconds(d time.Duration) float64 { return d.Seconds() * 1000 }

func fromMilliseconds(ms float64) time.Duration {
	return time.Duration(min(max(0, ms), toMilliseconds(maxMessageDuration)) * float64(time.Millisecond))
}
