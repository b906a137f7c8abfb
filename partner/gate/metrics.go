// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package gate

import (
	"strconv"
	"time"

	"github.com/rcrowley/go-metrics"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/partner/report"
)

// countResult counts a request by its result code.
func (g *Gate) countResult(c granitehoist.Code) {
	metrics.GetOrRegisterCounter("requests.code."+strconv.Itoa(int(c)), g.settings.Metrics).Inc(1)
}

// recordTime records a duration under a timer's name.
func (g *Gate) recordTime(name string, d time.Duration) {
	metrics.GetOrRegisterTimer(name, g.settings.Metrics).Update(d)
}

// recordPiece notes that a piece of an answer arrived: the first one ends the
// time to the first token, each further one of a stream a gap between tokens.
func (g *Gate) recordPiece(req *request) {
	now := g.settings.Clock()
	p := &req.progress
	if p.pieces == 0 {
		took := now.Sub(req.asked.began)
		g.recordTime("first_token", took)
		p.counts.CountFirst(took)
	} else if req.sink.stream {
		gap := now.Sub(p.lastPiece)
		g.recordTime("between_tokens", gap)
		p.counts.CountBetween(gap)
	}
	p.pieces++
	p.lastPiece = now
}

// reportBurn enters a request into the burn report. A request that did not get
// as far as a service is not entered.
func (g *Gate) reportBurn(req *request, err error) {
	if g.settings.Burn == nil || req.asked.offer == nil {
		return
	}
	counts := report.CountsOf(granitehoist.CodeOf(err)).Add(req.progress.counts)
	key := report.Key{Service: req.asked.offer.Name, Workspace: req.asked.identity.Workspace, Zone: g.settings.Zone}
	g.settings.Burn.Add(key, counts, g.settings.Clock())
}
