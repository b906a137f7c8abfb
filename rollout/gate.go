// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package rollout

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/balance"
)

// Gate applies the plans of all services to attempts and collects their results. It
// implements forward.Rollouts. Without a plan it admits all releases and keeps nothing. It
// makes no calls and is safe for concurrent use.
type Gate struct {
	terms Terms
	// random returns a number in [0, 1).
	random func() float64
	// mu serializes changes of plans.
	mu sync.Mutex
	// plans is replaced as a whole, and nil without plans.
	plans atomic.Pointer[map[granitehoist.Service]*servicePlan]
}

// NewGate returns a gate without plans.
func NewGate(t Terms) *Gate { return &Gate{terms: t, random: rand.Float64} }

// servicePlan is the plan of a service and what this router has counted for its order.
type servicePlan struct {
	mu        sync.Mutex
	plan      Plan
	rules     planRules
	allowance allowance
	evidence  Evidence
}

// SetPlan sets the plan of a service. A plan of another order starts with empty evidence
// and no allowance.
func (g *Gate) SetPlan(s granitehoist.Service, p Plan, _ time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if current := g.find(s); current != nil && current.continueWith(p) {
		return
	}
	plans := g.copyPlans()
	plans[s] = &servicePlan{plan: p, rules: newPlanRules(&p), allowance: newAllowance(g.terms.CanaryShare)}
	g.plans.Store(&plans)
}

// ClearPlan removes the plan of a service.
func (g *Gate) ClearPlan(s granitehoist.Service) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.find(s) == nil {
		return
	}
	plans := g.copyPlans()
	delete(plans, s)
	if len(plans) == 0 {
		g.plans.Store(nil)
		return
	}
	g.plans.Store(&plans)
}

// Evidence returns what this router has seen since the plan of an order was set; false if
// the service has no plan of the order.
func (g *Gate) Evidence(s granitehoist.Service, order granitehoist.Version) (Evidence, bool) {
	p := g.find(s)
	if p == nil || order == 0 {
		return Evidence{}, false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.plan.Order != order {
		return Evidence{}, false
	}
	return p.evidence.clone(), true
}

// Admit implements forward.Rollouts.
func (g *Gate) Admit(s granitehoist.Service, retry bool, _ time.Time) Admission {
	p := g.find(s)
	if p == nil {
		return Admission{}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	switch p.plan.Stage {
	case StageCanary:
		if p.plan.Order != 0 && !retry && p.allowance.take(g.random()) {
			return Admission{Rules: p.rules.targetFirst, Canary: true}
		}
	case StageShifting:
		if !retry && g.random() < p.plan.Share {
			return Admission{Rules: p.rules.targetFirst}
		}
		return Admission{Rules: p.rules.baselineFirst}
	case StageDraining, StageComplete:
		if retry && p.plan.RetryAtBaseline {
			return Admission{Rules: p.rules.baselineFirst}
		}
		return Admission{Rules: p.rules.target}
	case StageWaiting, StageReverted:
	}
	return Admission{Rules: p.rules.baseline}
}

// Refund implements forward.Rollouts.
func (g *Gate) Refund(s granitehoist.Service, _ time.Time) {
	if p := g.find(s); p != nil {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.allowance.refund()
	}
}

// Sent implements forward.Rollouts.
func (g *Gate) Sent(s granitehoist.Service, _ granitehoist.Release, _ time.Time) {
	if p := g.find(s); p != nil {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.allowance.earn()
	}
}

// Ended implements forward.Rollouts.
func (g *Gate) Ended(s Sample, _ time.Time) {
	p := g.find(s.Service)
	if p == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.plan.Order == 0 || slices.Contains(p.plan.Except, s.Release) {
		return
	}
	p.evidence.record(&s, s.Release == p.plan.Target)
}

// find returns the plan of a service, nil if it has none.
func (g *Gate) find(s granitehoist.Service) *servicePlan {
	plans := g.plans.Load()
	if plans == nil {
		return nil
	}
	return (*plans)[s]
}

// copyPlans returns a copy of the plans that may be changed. The caller holds mu.
func (g *Gate) copyPlans() map[granitehoist.Service]*servicePlan {
	plans := map[granitehoist.Service]*servicePlan{}
	if current := g.plans.Load(); current != nil {
		maps.Copy(plans, *current)
	}
	return plans
}

// continueWith replaces the plan by another one of the same order. It returns false for a
// plan of another order.
func (s *servicePlan) continueWith(p Plan) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.plan.Order != p.Order {
		return false
	}
	s.plan, s.rules = p, newPlanRules(&p)
	return true
}

// planRules holds the lists of rules that the admissions of a plan use. They are not
// changed.
type planRules struct {
	target, baseline, targetFirst, baselineFirst []balance.ReleaseRule
}

// newPlanRules returns the rules of a plan. Without an order all admissions exclude just
// Plan.Except.
func newPlanRules(p *Plan) planRules {
	except := slices.Clone(p.Except)
	if p.Order == 0 {
		all := []balance.ReleaseRule{{Except: except}}
		return planRules{target: all, baseline: all, targetFirst: all, baselineFirst: all}
	}
	target := balance.ReleaseRule{Only: p.Target, Except: except}
	if p.Stage < StageDraining {
		target.Focus = p.Focus
	}
	baseline := balance.ReleaseRule{Except: append(slices.Clone(except), p.Target)}
	return planRules{
		target:        []balance.ReleaseRule{target},
		baseline:      []balance.ReleaseRule{baseline},
		targetFirst:   []balance.ReleaseRule{target, baseline},
		baselineFirst: []balance.ReleaseRule{baseline, target},
	}
}
