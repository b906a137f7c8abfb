// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package orphan

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/partner/bill"
	"granitehoist.example/granitehoist/partner/config"
	"granitehoist.example/granitehoist/store"
)

// Settings configure a Settler. All fields are required.
type Settings struct {
	Region granitehoist.Region
	Store  granitehoist.Store
	// Shards is the number of budget shards, the same on all routers.
	Shards int
	// View returns the documents in force.
	View func() *config.View
	// Engines is the protocol of engines.
	Engines granitehoist.Protocol
}

// Settler charges the orphans of one region's dead routers. It has no state of
// its own and is safe for concurrent use.
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

// Result is what was done for one dead router.
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

// settlement is the input and the result of one call of Settle.
type settlement struct {
	// stop says that attempts that still run are to be ended.
	stop bool
	// charged holds the attempts that segments hold.
	charged map[granitehoist.AttemptID]bool
	names   budgetNames
	now     time.Time
	result  Result
	charges []bill.Charge
}

// budgetNames gives the budgets in force by the hashes that attempt ids carry.
type budgetNames map[string]granitehoist.BudgetID

// engine is an upstream that may know attempts.
type engine struct {
	config.Upstream
	service granitehoist.Service
	owner   granitehoist.Partner
}

// Settle charges a dead router's ended attempts that no segment holds yet. If
// stop is set, attempts that still run are ended first; it is to be set only
// if the router has stopped for certain. Settling again charges nothing twice.
// Its errors are the store's. An engine that can't be asked is no error: it is
// listed in the result, and the next call asks it again.
func (s *Settler) Settle(ctx context.Context, dead granitehoist.Incarnation, stop bool, now time.Time) (Result, error) {
	job := &settlement{stop: stop, names: s.budgetNames(), now: now, result: Result{Incarnation: dead}}
	var err error
	if job.charged, err = s.readCharged(ctx, dead); err != nil {
		return job.result, err
	}
	for _, e := range s.engines() {
		attempts, err := s.settings.Engines.List(ctx, e.Address, granitehoist.AttemptPrefix(dead))
		if err != nil {
			job.result.Unreached = append(job.result.Unreached, e.Name)
			continue
		}
		for _, a := range attempts {
			s.settleAttempt(ctx, job, e, a)
		}
	}
	job.result.Charged = len(job.charges)
	return job.result, s.write(ctx, dead, job.charges)
}

// settleAttempt ends an attempt if asked to, and adds its charge if it gets one.
func (s *Settler) settleAttempt(ctx context.Context, job *settlement, e engine, a granitehoist.KnownAttempt) {
	job.result.Found++
	charged := job.charged[a.ID]
	if job.stop && !charged && !a.Ended {
		a.Usage, a.Ended = s.settings.Engines.Stop(ctx, e.Address, a.ID)
	}
	switch decideVerdict(a, charged) {
	case stillRunning:
		job.result.Running++
	case toCharge:
		if c, ok := job.newCharge(a, e); ok {
			job.charges = append(job.charges, c)
		}
	case alreadyCharged, neverArrived:
	}
}

// engines returns all engines of all partners, by the documents in force.
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

func (s *Settler) budgetNames() budgetNames {
	names := budgetNames{}
	for _, id := range s.settings.View().Budgets() {
		names[granitehoist.BudgetHash(id)] = id
	}
	return names
}

// maxOrphanSegments bounds the segments of one dead router; each settling that finds
// something to charge writes one.
const maxOrphanSegments = 1000

// write stores the charges under the first free key. Two routers that settle at
// once write two segments; readers count each attempt once.
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
