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

// countResult increments the counter of a result code.
func (g *Gate) countResult(c granitehoist.Code) {
	metrics.GetOrRegisterCounter("requests.code."+strconv.Itoa(int(c)), g.settings.Metrics).Inc(1)
}

// recordTime adds a duration to the timer with a name.
func (g *Gate) recordTime(name string, d time.Duration) {
	metrics.GetOrRegisterTimer(name, g.settings.Metrics).Update(d)
}

// recordChunk records the arrival of a chunk of the response. The first chunk records the time
// to the first token; each later chunk of a stream records the time since the last chunk.
func (g *Gate) recordChunk(req *request) {
	now := g.settings.Clock()
	p := &req.progress
	if p.chunks == 0 {
		took := now.Sub(req.input.startedAt)
		g.recordTime("first_token", took)
		p.counts.RecordFirstToken(took)
	} else if req.sink.stream {
		gap := now.Sub(p.lastChunkAt)
		g.recordTime("between_tokens", gap)
		p.counts.RecordTokenGap(gap)
	}
	p.chunks++
	p.lastChunkAt = now
}

// reportBurn adds a request to the burn report, unless it was refused before its service was
// known.
func (g *Gate) reportBurn(req *request, err error) {
	if g.settings.Burn == nil || req.input.offer == nil {
		return
	}
	counts := report.CountsOf(granitehoist.CodeOf(err)).Add(req.progress.counts)
	key := report.Key{Service: req.input.offer.Name, Workspace: req.input.identity.Workspace, Zone: g.settings.Zone}
	g.settings.Burn.Add(key, counts, g.settings.Clock())
}
