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

// A request that crashes the upstreams that run it is repeated under another id, so that
// no bound on the attempts of one request stops it. The gate records under which requests
// upstreams crashed, by digest, and refuses one when package suspect says so. Its routers
// don't share this: such a request crashes three upstreams for each router, where the edge
// routers, which share it, lose three together.

// suspicion is the evidence against a request when it was last looked up.
type suspicion struct {
	// digest is the request's; the zero Digest if it was not needed yet.
	digest  suspect.Digest
	verdict suspect.Verdict
}

// checkSuspicion looks up the evidence against a request. It returns an error with code
// CrashesUpstreams if the request is refused, or not to be sent for a moment: this gate
// has callers come back rather than hold them.
func (g *Gate) checkSuspicion(req *request) error {
	if !g.suspects.Any() {
		req.suspicion.verdict = suspect.Verdict{}
		return nil
	}
	if err := g.setDigest(req); err != nil {
		return err
	}
	v := g.suspects.Lookup(req.suspicion.digest, g.settings.Clock())
	req.suspicion.verdict = v
	switch {
	case v.Refused:
		return v.Refusal()
	case v.Hold > 0:
		return v.HoldRefusal()
	}
	return nil
}

// setDigest computes the request's digest, once. The body is taken with the same
// priority each time, since policies may give the request another one. The error has
// code BadRequest.
func (g *Gate) setDigest(req *request) error {
	if req.suspicion.digest != (suspect.Digest{}) {
		return nil
	}
	body, err := req.asked.writeBody(granitehoist.DefaultPriority)
	if err != nil {
		return granitehoist.Wrap(granitehoist.BadRequest, err, "")
	}
	facts := suspect.Facts{
		Method:    req.decided.call.Method,
		Host:      string(req.asked.offer.Name),
		Target:    req.decided.call.Path,
		Workspace: granitehoist.Workspace(req.decided.budget),
		Body:      body,
	}
	// The gate made the secret, so that the digest is known.
	req.suspicion.digest, _ = g.suspects.Digest(&facts)
	return nil
}

// noteEvidence records that an attempt succeeded, or that the upstream crashed under it.
func (g *Gate) noteEvidence(ctx context.Context, req *request, u config.Upstream, err error) {
	now := g.settings.Clock()
	switch {
	case err == nil:
		if g.suspects.Any() && g.setDigest(req) == nil {
			g.suspects.NoteSuccess(req.suspicion.digest, now)
		}
	case g.upstreamCrashed(ctx, u, err) && g.setDigest(req) == nil:
		// The documents do not say when an upstream was started, so that each crash counts
		// as one of another run. Crashes seen at the same time are one round in any case.
		v := g.suspects.NoteCrash(req.suspicion.digest, suspect.Observation{
			Life:  suspect.LifeOf(u.Name, now.UnixMilli()),
			Known: req.suspicion.verdict,
			Early: !req.sink.started,
		}, now)
		g.settings.Log.Warn("an upstream crashed under a request",
			zap.Stringer("digest", req.suspicion.digest), zap.String("upstream", string(u.Name)),
			zap.Int("round", v.Round), zap.Int("early", v.Early), zap.Int("crashes", v.Crashes), zap.Bool("refused", v.Refused))
	}
}

// upstreamCrashed reports whether the upstream of a failed attempt has crashed: it broke
// the connection off and its address refuses connections.
func (g *Gate) upstreamCrashed(ctx context.Context, u config.Upstream, err error) bool {
	if !exchange.ConnectionEnded(err) || ctx.Err() != nil {
		return false
	}
	// The documents' addresses were checked as URLs; one that is none is no evidence.
	base, err := url.Parse(u.Address)
	return err == nil && g.prober.IsDown(ctx, base.Host)
}
