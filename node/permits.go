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

// The permits for an upstream are issued by the node that is ranked first for it, by
// rendezvous hashing. A node asks it as soon as a request could have used a permit. If it
// does not answer, the next in rank stands in, at a part of the rate. A node that reaches
// neither, or that does not know the fleet yet, has no permits and sends nothing there.

// methodPermits is the method by which a node asks another for permits.
const methodPermits = "limits.permits"

const (
	// permitTimeout bounds a question, connecting included: neighbours of one site answer
	// in milliseconds, and no request waits longer for a permit on a route with a target
	// of 0.5 s.
	permitTimeout = 100 * time.Millisecond
	// permitRetry is the time until the next question after one that nobody answered.
	permitRetry = 200 * time.Millisecond
	// permitPause is the least time between two rounds of questions, so that requests that
	// come together share one.
	permitPause = 2 * time.Millisecond
	// avoidIssuer is how long an issuer that did not answer is left out. Chosen, not
	// measured; as of a lender of tokens.
	avoidIssuer = 1500 * time.Millisecond
	// issuerShards is the number of groups of upstreams that have one issuer each: peers
	// keeps the ranks of each group.
	issuerShards = 256
)

// errNoIssuer says that this node knows nobody who issues permits.
var errNoIssuer = eris.New("node: no node to ask for permits")

// permitQuestion asks an issuer for permits. An issuer of an older version does not serve
// the method and counts as one that does not answer.
type permitQuestion struct {
	// StandsIn says that the node that is ranked before the asked one did not answer.
	StandsIn bool            `json:"stands_in,omitempty"`
	Permits  []permitRequest `json:"permits"`
}

// permitRequest asks for permits for one upstream.
type permitRequest struct {
	// Limit is what the asking node believes of the limit.
	Limit balance.LimitRecord `json:"limit"`
	Count int                 `json:"count"`
	// WithinMS is for how long the permits can be waited for, in milliseconds.
	WithinMS float64 `json:"within_ms"`
}

// permitReply has an entry for each entry of the question, in its order.
type permitReply struct {
	Permits []permitGrant `json:"permits"`
}

// permitGrant is what the issuer says of one upstream.
type permitGrant struct {
	// Count permits may be used DueMS milliseconds after the question.
	Count int     `json:"count,omitempty"`
	DueMS float64 `json:"due_ms,omitempty"`
	// RetryMS is when to ask again if Count is zero.
	RetryMS float64 `json:"retry_ms,omitempty"`
	// Limit is what the issuer believes of the limit.
	Limit *balance.LimitRecord `json:"limit,omitempty"`
}

// runPermits fetches the permits that the table wants, until ctx ends.
func (l *limits) runPermits(ctx context.Context) {
	var questions sync.WaitGroup
	defer questions.Wait()
	for ctx.Err() == nil {
		now := l.clock()
		requests, next := l.table.PermitRequests(now)
		for issuer, requests := range l.byIssuer(requests, now) {
			questions.Go(func() { l.fetch(ctx, issuer, requests) })
		}
		l.waitForWants(ctx, next, now)
	}
}

// waitForWants waits until the table may want permits again: until it says so, or until
// next if that is set.
func (l *limits) waitForWants(ctx context.Context, next, now time.Time) {
	var due <-chan time.Time
	if !next.IsZero() {
		timer := time.NewTimer(max(permitPause, next.Sub(now)))
		defer timer.Stop()
		due = timer.C
	}
	select {
	case <-ctx.Done():
	case <-due:
	case <-l.table.PermitsWanted():
	}
}

// issuer is whom a node asks for permits.
type issuer struct {
	peer granitehoist.Peer
	// self says that it is this node, known that there is one at all.
	self, known bool
	standsIn    bool
}

// byIssuer groups requests by the node that is asked.
func (l *limits) byIssuer(requests []balance.PermitRequest, now time.Time) map[issuer][]balance.PermitRequest {
	var groups map[issuer][]balance.PermitRequest
	for _, r := range requests {
		if groups == nil {
			groups = map[issuer][]balance.PermitRequest{}
		}
		asked := l.issuerOf(r.Limit.Upstream, now)
		groups[asked] = append(groups[asked], r)
	}
	return groups
}

// issuerOf returns whom this node asks for permits for an upstream: the node ranked first,
// or the second while the first does not answer.
func (l *limits) issuerOf(u granitehoist.Upstream, now time.Time) issuer {
	ranked := l.peers.issuers(u)
	for rank, entry := range ranked[:min(2, len(ranked))] {
		candidate := issuer{peer: entry.peer(), self: entry.Box == l.peers.settings.self.Box, known: true, standsIn: rank > 0}
		if candidate.self || !l.avoided.contains(entry.Address, now) {
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

// fetch asks one node for permits and hands them to the table.
func (l *limits) fetch(ctx context.Context, from issuer, requests []balance.PermitRequest) {
	asked := l.clock()
	question := questionOf(requests, from.standsIn)
	reply, err := l.ask(ctx, from, question)
	now := l.clock()
	if err != nil || len(reply.Permits) != len(requests) {
		l.counters.count(int64(len(requests)), metricPermits, "result=%q", "failed")
		l.avoided.add(from.peer.Address, now.Add(avoidIssuer))
		for _, r := range requests {
			l.table.NotePermits(balance.PermitAnswer{Life: r.Limit.Life(), Retry: now.Add(permitRetry)})
		}
		return
	}
	for i, r := range requests {
		l.take(r, reply.Permits[i], asked, now)
	}
}

// questionOf returns the message for requests.
func questionOf(requests []balance.PermitRequest, standsIn bool) permitQuestion {
	question := permitQuestion{StandsIn: standsIn}
	for _, r := range requests {
		question.Permits = append(question.Permits, permitRequest{Limit: r.Limit, Count: r.Count, WithinMS: inMilliseconds(r.Within)})
	}
	return question
}

// ask asks a node, which may be this one.
func (l *limits) ask(ctx context.Context, to issuer, question permitQuestion) (permitReply, error) {
	switch {
	case !to.known:
		return permitReply{}, errNoIssuer
	case to.self:
		return l.serveQuestion(ctx, question)
	}
	ctx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	var reply permitReply
	err := l.peers.Call(ctx, to.peer, methodPermits, question, &reply)
	return reply, err
}

// take hands what an issuer said of one upstream to the table. Its times count from when
// the question was asked, so that a reply that was long under way does not move a permit
// beyond the time for which it was issued.
func (l *limits) take(r balance.PermitRequest, g permitGrant, asked, now time.Time) {
	if g.Limit != nil {
		l.table.MergeLimits([]balance.LimitRecord{*g.Limit}, now)
	}
	result := "denied"
	if g.Count > 0 {
		result = "granted"
	}
	l.counters.count(int64(max(1, g.Count)), metricPermits, "result=%q", result)
	due := asked.Add(duration(g.DueMS))
	l.table.NotePermits(balance.PermitAnswer{
		Life:    r.Limit.Life(),
		Count:   g.Count,
		Due:     due,
		Expires: due.Add(throttle.Validity),
		Retry:   asked.Add(max(permitPause, duration(g.RetryMS))),
	})
}

// serveQuestion issues permits to a node, which may be this one.
func (l *limits) serveQuestion(_ context.Context, q permitQuestion) (permitReply, error) {
	now := l.clock()
	var reply permitReply
	for _, r := range q.Permits {
		reply.Permits = append(reply.Permits, l.issue(r, q.StandsIn, now))
	}
	return reply, nil
}

// issue issues permits for one upstream. An upstream that this node does not know is
// issued for by what the asking node believes.
func (l *limits) issue(r permitRequest, standsIn bool, now time.Time) permitGrant {
	l.table.MergeLimits([]balance.LimitRecord{r.Limit}, now)
	limit, known := l.table.Limit(r.Limit.Life(), now)
	if !known {
		limit = r.Limit
	}
	if !limit.Limited {
		return permitGrant{RetryMS: inMilliseconds(permitPause), Limit: &limit}
	}
	grant := l.issuer.Issue(throttle.Request{
		Life:     throttle.Life{Upstream: limit.Upstream, Born: limit.Born},
		Rate:     float64(limit.Rate),
		Count:    r.Count,
		Within:   duration(r.WithinMS),
		StandsIn: standsIn,
	}, now)
	return permitGrant{
		Count:   grant.Count,
		DueMS:   inMilliseconds(grant.Due),
		RetryMS: inMilliseconds(grant.Retry),
		Limit:   &limit,
	}
}

// maxMessageTime bounds the times of messages, which are far below it.
const maxMessageTime = time.Hour

// inMilliseconds and duration translate the times of messages; one that can't be counts as
// the nearest that can.
func inMilliseconds(d time.Duration) float64 { return d.Seconds() * 1000 }

func duration(ms float64) time.Duration {
	return time.Duration(min(max(0, ms), inMilliseconds(maxMessageTime)) * float64(time.Millisecond))
}
