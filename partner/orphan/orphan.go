// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package orphan

import (
	"context"
	"errors"
	"sort"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/partner/bill"
	"granitehoist.example/granitehoist/partner/budget"
	"granitehoist.example/granitehoist/partner/config"
	"granitehoist.example/granitehoist/store"
)

// SilentAfter is how long a router must be silent before its attempts are
// charged by another. A router that is only cut off may come back: its own
// charges then take the place of those made here.
const SilentAfter = 2 * time.Minute

// Settings configure a Settler.
type Settings struct {
	Region granitehoist.Region
	Store  granitehoist.Store
	// Shards is the number of budget shards.
	Shards int
	// View returns the documents in force.
	View func() *config.View
	// Engines is the protocol of engines.
	Engines granitehoist.Protocol
}

// Settler charges the orphans of one region's dead routers.
type Settler struct {
	settings Settings
}

// New returns a settler. It panics if a setting is missing.
func New(s Settings) *Settler {
	if s.Region == "" || s.Store == nil || s.Shards <= 0 || s.View == nil || s.Engines == nil {
		panic("orphan: a setting is missing")
	}
	return &Settler{settings: s}
}

// Result tells what was done for one dead router.
type Result struct {
	Incarnation granitehoist.Incarnation `json:"incarnation"`
	// Found is the attempts that engines knew, Charged those charged now and
	// Running those that have not ended.
	Found   int `json:"found"`
	Charged int `json:"charged"`
	Running int `json:"running"`
	// Unreached lists the engines that could not be asked.
	Unreached []granitehoist.Upstream `json:"unreached,omitempty"`
}

// Silent returns the incarnations of the region that drew on budgets, did not
// stop in good order and have been silent for SilentAfter.
func (s *Settler) Silent(ctx context.Context, now time.Time) ([]granitehoist.Incarnation, error) {
	seen := map[granitehoist.Incarnation]int64{}
	closed := map[granitehoist.Incarnation]bool{}
	for shard := range budget.Shard(s.settings.Shards) {
		entry, err := s.settings.Store.Get(ctx, budget.PageKey(s.settings.Region, shard))
		if err != nil {
			return nil, err
		}
		page, err := budget.DecodePage(entry)
		if err != nil {
			return nil, err
		}
		for id, m := range page.Members {
			seen[id] = max(seen[id], m.Seen)
			closed[id] = closed[id] || m.Closed
		}
	}
	var silent []granitehoist.Incarnation
	for id, at := range seen {
		if !closed[id] && now.Sub(time.Unix(at, 0)) > SilentAfter {
			silent = append(silent, id)
		}
	}
	sort.Slice(silent, func(i, j int) bool { return silent[i] < silent[j] })
	return silent, nil
}

// engine is an upstream that may know attempts.
type engine struct {
	config.Upstream
	service granitehoist.Service
	owner   granitehoist.Partner
}

func (s *Settler) engines() []engine {
	var engines []engine
	for _, offer := range s.settings.View().Offers("") {
		if offer.Kind != config.KindEngine {
			continue
		}
		for _, u := range offer.Upstreams {
			engines = append(engines, engine{u, offer.Name, offer.Owner})
		}
	}
	return engines
}

// Settle charges a dead router's ended attempts that no segment holds yet. If
// stop is set, attempts that still run are ended first; it is to be set only
// if the router is known to be gone. Settling again charges nothing twice.
func (s *Settler) Settle(ctx context.Context, dead granitehoist.Incarnation, stop bool, now time.Time) (Result, error) {
	result := Result{Incarnation: dead}
	charged, err := s.readCharged(ctx, dead)
	if err != nil {
		return result, err
	}
	names := s.budgetNames()
	var charges []bill.Charge
	for _, e := range s.engines() {
		attempts, err := s.settings.Engines.List(ctx, e.Address, granitehoist.AttemptPrefix(dead))
		if err != nil {
			result.Unreached = append(result.Unreached, e.Name)
			continue
		}
		for _, a := range attempts {
			result.Found++
			if charged[a.ID] {
				continue
			}
			if stop && !a.Ended {
				a.Usage, a.Ended = s.settings.Engines.Stop(ctx, e.Address, a.ID)
			}
			if !a.Ended || !a.Usage.Reported {
				result.Running++
				continue
			}
			if a.Usage.Total() == 0 {
				// It was stopped before it reached the engine.
				continue
			}
			if c, ok := newCharge(a, e, names, now); ok {
				charges = append(charges, c)
			}
		}
	}
	result.Charged = len(charges)
	return result, s.write(ctx, dead, charges)
}

// readCharged returns the attempts of an incarnation that segments hold.
func (s *Settler) readCharged(ctx context.Context, dead granitehoist.Incarnation) (map[granitehoist.AttemptID]bool, error) {
	charges, err := bill.Read(ctx, s.settings.Store)
	if err != nil {
		return nil, err
	}
	charged := map[granitehoist.AttemptID]bool{}
	prefix := granitehoist.AttemptPrefix(dead)
	for _, c := range charges {
		for _, attempt := range c.Attempts {
			if strings.HasPrefix(string(attempt), prefix) {
				charged[attempt] = true
			}
		}
	}
	return charged, nil
}

func (s *Settler) budgetNames() map[string]granitehoist.BudgetID {
	names := map[string]granitehoist.BudgetID{}
	for _, id := range s.settings.View().Budgets() {
		names[granitehoist.BudgetHash(id)] = id
	}
	return names
}

// newCharge makes the charge of an attempt; false if its id names no budget in
// force.
func newCharge(a granitehoist.KnownAttempt, e engine, names map[string]granitehoist.BudgetID, now time.Time) (bill.Charge, bool) {
	incarnation, hash, request, ok := a.ID.Parts()
	if !ok || names[hash] == "" {
		return bill.Charge{}, false
	}
	return bill.Charge{
		Incarnation: incarnation,
		Request:     request,
		Attempts:    []granitehoist.AttemptID{a.ID},
		Budget:      names[hash],
		Owner:       e.owner,
		Service:     e.service,
		Upstream:    e.Name,
		Tokens:      a.Usage.Total(),
		Orphan:      true,
		At:          now,
	}, true
}

// maxOrphanSegments bounds the segments of one dead router.
const maxOrphanSegments = 1000

// write stores the charges under the first free key.
func (s *Settler) write(ctx context.Context, dead granitehoist.Incarnation, charges []bill.Charge) error {
	if len(charges) == 0 {
		return nil
	}
	for n := range maxOrphanSegments {
		key := bill.OrphanKey(dead, n)
		raw, err := bill.EncodeSegment(key, charges)
		if err != nil {
			return err
		}
		if _, err = store.Create(ctx, s.settings.Store, key, raw); !errors.Is(err, granitehoist.ErrConflict) {
			return err
		}
	}
	return eris.Errorf("orphan: more than %d segments of %s", maxOrphanSegments, dead)
}
