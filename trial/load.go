// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package trial

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/partner/router"
)

// shape is a kind of request in the mix.
type shape struct {
	workspace granitehoist.Workspace
	partner   granitehoist.Partner
	model     granitehoist.Model
	service   granitehoist.Service
	stream    bool
	// once marks a POST that must not be repeated; other requests to plain
	// services are GETs.
	once bool
	// weight is the shape's share of the mix, as a part of all weights.
	weight int
}

// mix is the load, after the kinds of requests that the users' pages describe. The
// weights are chosen, not measured.
var mix = []shape{
	{workspace: "lock-kiosks", partner: Tuul, model: TuulModel, stream: true, weight: 5},
	{workspace: "lock-kiosks", partner: Tuul, model: LimaModel, weight: 1},
	{workspace: "booking-clerks", partner: Tuul, service: "booking-desk", weight: 3},
	{workspace: "booking-clerks", partner: Tuul, service: "booking-desk", once: true, weight: 2},
	{workspace: "boat-club", partner: Tuul, model: TuulModel, weight: 3},
	{workspace: "archive", partner: Tuul, model: TuulModel, weight: 1},
	{workspace: "drivers", partner: Lima, service: "estacion-api", once: true, weight: 2},
	{workspace: "dispatch", partner: Lima, model: LimaModel, weight: 3},
	{workspace: "accountants", partner: Lima, model: LimaModel, stream: true, weight: 2},
}

// load sends the requests, one each interval, to the routers in turn, and
// returns their outcomes in the order of sending.
func (s *Site) load(ctx context.Context, settings Settings) []*Outcome {
	random := rand.New(rand.NewPCG(settings.Seed, 1))
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	defer client.CloseIdleConnections()
	shapes := weighted(settings.Kill)
	calls := make([]*call, settings.Requests)
	var group sync.WaitGroup
	for i := range calls {
		if settings.stopsBefore(i, s.stops.begun) {
			s.replaceOne(ctx, random.IntN(len(s.Routers)))
		}
		c := newCall(i, shapes[random.IntN(len(shapes))])
		calls[i] = c
		first, second := random.Int(), random.Int()
		address := s.address(first)
		group.Go(func() {
			c.send(ctx, client, address)
			if c.shape.once {
				c.send(ctx, client, s.address(second))
			}
		})
		if settings.Kill && i == len(calls)/2 {
			s.killOne(random.IntN(len(s.Routers)))
		}
		time.Sleep(settings.Interval)
	}
	group.Wait()
	s.stops.running.Wait()
	return s.outcomes(calls)
}

// stopsBefore reports whether a router is to be stopped before request i, when
// the given number of stops has begun: stops are spread evenly over the load.
func (s Settings) stopsBefore(i, begun int) bool {
	return begun < s.Stops && i > 0 && i%max(1, s.Requests/(s.Stops+1)) == 0
}

// outcomes returns the outcomes of calls that have ended.
func (s *Site) outcomes(calls []*call) []*Outcome {
	outcomes := make([]*Outcome, len(calls))
	for i, c := range calls {
		c.outcome.Killed = (c.outcome.Failed != nil || c.endedEarly) && s.isDead(c.address)
		outcomes[i] = &c.outcome
	}
	return outcomes
}

// address returns the callers' address of one of the routers that are ready, as
// a balancer would choose it now.
func (s *Site) address(n int) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Routers[n%len(s.Routers)].CallersAddress()
}

func (s *Site) isDead(address string) bool {
	return slices.ContainsFunc(s.dead, func(r *router.Router) bool { return r.CallersAddress() == address })
}

// weighted lists each shape of the mix as often as its weight says, or only those
// for engines.
func weighted(enginesOnly bool) []shape {
	var shapes []shape
	for _, s := range mix {
		if s.model != "" || !enginesOnly {
			shapes = append(shapes, slices.Repeat([]shape{s}, s.weight)...)
		}
	}
	return shapes
}
