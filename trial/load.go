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

// requestKind describes one kind of request in the load.
type requestKind struct {
	workspace granitehoist.Workspace
	partner   granitehoist.Partner
	model     granitehoist.Model
	service   granitehoist.Service
	stream    bool
	// once selects a POST that must not be executed more than once; other requests to
	// plain services are GETs.
	once bool
	// weight is the relative frequency of the kind.
	weight int
}

// requestKinds is the mix of the load.
var requestKinds = []requestKind{
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

// load sends one request per interval to a random router, and returns the outcomes in the
// order of sending.
func (f *Fleet) load(ctx context.Context, settings Settings) []*Outcome {
	random := rand.New(rand.NewPCG(settings.Seed, 1))
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	defer client.CloseIdleConnections()
	kinds := weighted(settings.Kill)
	calls := make([]*call, settings.Requests)
	var group sync.WaitGroup
	for i := range calls {
		if settings.stopDue(i, f.stops.started) {
			f.replaceRouter(ctx, random.IntN(len(f.Routers)))
		}
		c := newCall(i, kinds[random.IntN(len(kinds))])
		calls[i] = c
		first, second := random.Int(), random.Int()
		address := f.address(first)
		group.Go(func() {
			c.send(ctx, client, address)
			if c.kind.once {
				c.send(ctx, client, f.address(second))
			}
		})
		if settings.Kill && i == len(calls)/2 {
			f.killRouter(random.IntN(len(f.Routers)))
		}
		time.Sleep(settings.Interval)
	}
	group.Wait()
	f.stops.running.Wait()
	return f.outcomes(calls)
}

// stopDue reports whether a router is to be stopped before request i, after the given
// number of stops. Stops are spread evenly over the load.
func (s Settings) stopDue(i, started int) bool {
	return started < s.Stops && i > 0 && i%max(1, s.Requests/(s.Stops+1)) == 0
}

// outcomes returns the outcomes of finished calls and sets Killed.
func (f *Fleet) outcomes(calls []*call) []*Outcome {
	outcomes := make([]*Outcome, len(calls))
	for i, c := range calls {
		c.outcome.Killed = (c.outcome.Err != nil || c.truncated) && f.isKilled(c.address)
		outcomes[i] = &c.outcome
	}
	return outcomes
}

// address returns the callers' address of the n-th ready router, modulo their number.
func (f *Fleet) address(n int) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.Routers[n%len(f.Routers)].CallersAddress()
}

func (f *Fleet) isKilled(address string) bool {
	return slices.ContainsFunc(f.killed, func(r *router.Router) bool { return r.CallersAddress() == address })
}

// weighted returns each request kind as often as its weight, optionally only the kinds for
// engines.
func weighted(enginesOnly bool) []requestKind {
	var kinds []requestKind
	for _, k := range requestKinds {
		if k.model != "" || !enginesOnly {
			kinds = append(kinds, slices.Repeat([]requestKind{k}, k.weight)...)
		}
	}
	return kinds
}
