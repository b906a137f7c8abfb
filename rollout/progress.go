// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package rollout

import (
	"cmp"
	"slices"

	"granitehoist.example/granitehoist"
)

// Progress describes an order as this router carries it out.
type Progress struct {
	Service granitehoist.Service
	Target  granitehoist.Release
	Stage   Stage
	// Share is the share of the requests that the target gets.
	Share float64
	// Evidence is that of this router only.
	Evidence Evidence
}

// Progress returns the orders that this router carries out, ordered by service.
func (c *Coordinator) Progress() []Progress {
	c.mu.Lock()
	defer c.mu.Unlock()
	var all []Progress
	for name, s := range c.services {
		if s.course == nil {
			continue
		}
		p := plan(s.course.order, s.course.state, 0, false)
		own, _ := c.settings.Gate.Evidence(name, p.Order)
		all = append(all, Progress{Service: name, Target: p.Target, Stage: p.Stage, Share: p.targetShare(c.settings.Terms), Evidence: own})
	}
	slices.SortFunc(all, func(a, b Progress) int { return cmp.Compare(a.Service, b.Service) })
	return all
}

// targetShare returns the share of the requests that the target gets.
func (p *Plan) targetShare(t Terms) float64 {
	switch p.Stage {
	case StageCanary:
		return t.CanaryShare
	case StageShifting:
		return p.Share
	case StageDraining, StageComplete:
		return 1
	case StageWaiting, StageReverted:
	}
	return 0
}

// Sides returns the sums over all routes.
func (e *Evidence) Sides() (target, baseline Arm) {
	for _, route := range e.Routes {
		target.count(route.Target)
		baseline.count(route.Baseline)
	}
	return target, baseline
}

// count adds the numbers of attempts and answers of another arm.
func (a *Arm) count(other Arm) {
	a.Sent += other.Sent
	a.Good += other.Good
	a.Bad += other.Bad
}
