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
	// View returns the partners' documents in force.
	View func() *config.View
	// Engines is the protocol of the model engines.
	Engines granitehoist.Protocol
}

// Settler charges the orphaned attempts of the failed routers of one region. It is
// stateless and safe for concurrent use.
type Settler struct {
	settings Settings
}

// New returns a settler. It panics if a setting is missing or Shards is not positive.
func New(s Settings) *Settler {
	if s.Region == "" || s.Store == nil || s.Shards <= 0 || s.View == nil || s.Engines == nil {
		panic("orphan: Region, Store, Shards, View and Engines are required")
	}
	return &Settler{settings: s}
}

// Result summarizes one call of Settle.
type Result struct {
	Incarnation granitehoist.Incarnation `json:"incarnation"`
	// Found is the number of attempts that the engines listed. Charged is the number that
	// this call charged. Running is the number that have not ended or whose usage the
	// engine has not reported.
	Found   int `json:"found"`
	Charged int `json:"charged"`
	Running int `json:"running"`
	// UnreachableEngines lists the engines that failed to list their attempts.
	UnreachableEngines []granitehoist.Upstream `json:"unreached,omitempty"`
}

// settlement is the state of one call of Settle.
type settlement struct {
	// stopRunning means that attempts that have not ended are stopped.
	stopRunning bool
	// charged is the set of attempts in bill segments.
	charged map[granitehoist.AttemptID]bool
	budgets budgetsByHash
	now     time.Time
	result  Result
	charges []bill.Charge
}

// budgetsByHash maps the hashes in attempt ids to the budgets in force.
type budgetsByHash map[string]granitehoist.BudgetID

// engine is an upstream that lists its attempts, with its service and the owner.
type engine struct {
	config.Upstream
	service granitehoist.Service
	owner   granitehoist.Partner
}

// Settle charges the ended attempts of a failed router that no bill segment contains.
// If stop is set, attempts that have not ended are stopped first; it must be set only
// if the router is known to have stopped. Repeated calls charge no attempt twice. Settle
// returns the errors of the store. An unreachable engine is not an error: it is listed
// in Result.UnreachableEngines and queried again by the next call.
func (s *Settler) Settle(ctx context.Context, failed granitehoist.Incarnation, stop bool, now time.Time) (Result, error) {
	job := &settlement{stopRunning: stop, budgets: s.budgetsByHash(), now: now, result: Result{Incarnation: failed}}
	var err error
	if job.charged, err = s.readCharged(ctx, failed); err != nil {
		return job.result, err
	}
	for _, e := range s.engines() {
		attempts, err := s.settings.Engines.List(ctx, e.Address, granitehoist.AttemptPrefix(failed))
		if err != nil {
			job.result.UnreachableEngines = append(job.result.UnreachableEngines, e.Name)
			continue
		}
		for _, a := range attempts {
			s.settleAttempt(ctx, job, e, a)
		}
	}
	job.result.Charged = len(job.charges)
	return job.result, s.write(ctx, failed, job.charges)
}

// settleAttempt stops a running attempt if job.stopRunning is set, and adds a charge for an
// ended attempt that has none.
func (s *Settler) settleAttempt(ctx context.Context, job *settlement, e engine, a granitehoist.KnownAttempt) {
	job.result.Found++
	charged := job.charged[a.ID]
	if job.stopRunning && !charged && !a.Ended {
		a.Usage, a.Ended = s.settings.Engines.Stop(ctx, e.Address, a.ID)
	}
	switch classifyAttempt(a, charged) {
	case stillRunning:
		job.result.Running++
	case uncharged:
		if c, ok := job.newCharge(a, e); ok {
			job.charges = append(job.charges, c)
		}
	case alreadyCharged, neverReceived:
	}
}

// engines returns the engines of all partners in the documents in force.
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

// readCharged returns the attempts of an incarnation that are in bill segments.
func (s *Settler) readCharged(ctx context.Context, failed granitehoist.Incarnation) (map[granitehoist.AttemptID]bool, error) {
	charges, err := bill.Read(ctx, s.settings.Store)
	if err != nil {
		return nil, err
	}
	charged := map[granitehoist.AttemptID]bool{}
	prefix := granitehoist.AttemptPrefix(failed)
	for _, c := range charges {
		for _, attempt := range c.Attempts {
			if strings.HasPrefix(string(attempt), prefix) {
				charged[attempt] = true
			}
		}
	}
	return charged, nil
}

func (s *Settler) budgetsByHash() budgetsByHash {
	names := budgetsByHash{}
	for _, id := range s.settings.View().Budgets() {
		names[granitehoist.BudgetHash(id)] = id
	}
	return names
}

// maxOrphanSegments bounds the segments of one failed router. Each call of Settle that
// adds charges writes one.
const maxOrphanSegments = 1000

// write stores the charges under the first unused key. Two routers that settle
// concurrently write two segments; readers count each attempt once.
func (s *Settler) write(ctx context.Context, failed granitehoist.Incarnation, charges []bill.Charge) error {
	if len(charges) == 0 {
		return nil
	}
	for n := range maxOrphanSegments {
		key := bill.OrphanKey(failed, n)
		raw, err := bill.EncodeSegment(key, charges)
		if err != nil {
			return err
		}
		if _, err = store.Create(ctx, s.settings.Store, key, raw); !errors.Is(err, granitehoist.ErrConflict) {
			return err
		}
	}
	return eris.Errorf("orphan: more than %d segments for incarnation %s", maxOrphanSegments, failed)
}
