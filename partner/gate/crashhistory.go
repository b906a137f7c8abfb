// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package gate

import (
	"context"
	"net/url"

	"go.uber.org/zap"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/exchange"
	"granitehoist.example/granitehoist/partner/config"
	"granitehoist.example/granitehoist/suspect"
)

// A caller may repeat a request that crashes upstreams under a new id. The limit on
// attempts doesn't cover such repetitions. The gate therefore records crashes by the
// digest of the request, and refuses requests that package suspect identifies as the
// cause. The record is local to the router, so that one request can crash three upstreams
// at each router. The routers of granitehoist-edge share the record, so that one request
// can crash three upstreams in total.

// crashHistory is the result of the latest lookup of a request in the crash table.
type crashHistory struct {
	// digest is the digest of the request; zero until it is needed.
	digest  suspect.Digest
	verdict suspect.Verdict
}

// checkCrashHistory looks the request up in the crash table. The error has code
// CrashesUpstreams if the request is refused or must not be sent yet. A
// request that must not be sent yet is not queued: the error asks the caller to retry after
// Verdict.Hold.
func (g *Gate) checkCrashHistory(req *request) error {
	if !g.crashTable.HasSuspects() {
		req.crashes.verdict = suspect.Verdict{}
		return nil
	}
	if err := g.setDigest(req); err != nil {
		return err
	}
	v := g.crashTable.Lookup(req.crashes.digest, g.settings.Clock())
	req.crashes.verdict = v
	switch {
	case v.Refused:
		return v.Refusal()
	case v.Hold > 0:
		return v.HoldRefusal()
	}
	return nil
}

// setDigest computes the digest of the request once. It encodes the body with the default
// priority, since policies may assign another priority when the request is repeated. The
// error has code BadRequest.
func (g *Gate) setDigest(req *request) error {
	if req.crashes.digest != (suspect.Digest{}) {
		return nil
	}
	body, err := req.input.writeBody(granitehoist.DefaultPriority)
	if err != nil {
		return granitehoist.Wrap(granitehoist.BadRequest, err, "")
	}
	key := suspect.RequestKey{
		Method:    req.plan.call.Method,
		Host:      string(req.input.offer.Name),
		Target:    req.plan.call.Path,
		Workspace: granitehoist.Workspace(req.plan.budget),
		Body:      body,
	}
	// Digest succeeds, since New has set the secret.
	req.crashes.digest, _ = g.crashTable.Digest(&key)
	return nil
}

// recordCrashEvidence records the success of an attempt, or the crash of its upstream.
func (g *Gate) recordCrashEvidence(ctx context.Context, req *request, u config.Upstream, err error) {
	now := g.settings.Clock()
	switch {
	case err == nil:
		if g.crashTable.HasSuspects() && g.setDigest(req) == nil {
			g.crashTable.RecordSuccess(req.crashes.digest, now)
		}
	case g.upstreamCrashed(ctx, u, err) && g.setDigest(req) == nil:
		// The documents have no start time of upstreams, so each crash counts as one of a
		// new incarnation. Crashes at the same time count as one round in any case.
		v := g.crashTable.RecordCrash(req.crashes.digest, suspect.Observation{
			Incarnation: suspect.IncarnationOf(u.Name, now.UnixMilli()),
			Verdict:     req.crashes.verdict,
			Early:       !req.sink.started,
		}, now)
		g.settings.Log.Warn("an upstream crashed under a request",
			zap.Stringer("digest", req.crashes.digest), zap.String("upstream", string(u.Name)),
			zap.Int("round", v.Round), zap.Int("early", v.EarlyRound), zap.Int("crashes", v.Crashes), zap.Bool("refused", v.Refused))
	}
}

// upstreamCrashed reports whether the upstream of a failed attempt crashed: the connection
// broke and the address refuses new connections.
func (g *Gate) upstreamCrashed(ctx context.Context, u config.Upstream, err error) bool {
	if !exchange.ClosedByPeer(err) || ctx.Err() != nil {
		return false
	}
	// Addresses are validated with the documents; an invalid one counts as not crashed.
	base, err := url.Parse(u.Address)
	return err == nil && g.prober.IsDown(ctx, u.Name, base.Host)
}
