// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package forward

import (
	"sync"
	"time"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/internal/defaults"
	"granitehoist.example/granitehoist/internal/retrybudget"
)

// RetrySettings bound the attempts of all routers together beyond the first of
// each request. Each router uses its share.
type RetrySettings struct {
	// Ratio is the number of retries allowed for each request of a service.
	Ratio float64
	// Slack is the number of retries that the fleet may make in a Window beyond
	// Ratio.
	Slack float64
	// Window is the time over which the operators count the retries of a
	// service; zero means 10 seconds.
	Window time.Duration
}

const (
	// usedRatioPart is the part of Ratio that is used, so that the bound holds although
	// the operators count some requests in another window.
	usedRatioPart = 0.6
	// usedSlackPart is the part of Slack that is used, so that the bound holds although
	// routers that restart begin with a full budget.
	usedSlackPart = 0.5
	// defaultRetryWindow is the window that the operators' settings files state
	// at every site.
	defaultRetryWindow = 10 * time.Second
)

// retryBudgets holds the retry budget of each service. It is safe for
// concurrent use.
type retryBudgets struct {
	settings retrybudget.Settings

	mu       sync.Mutex
	services map[granitehoist.Service]*retrybudget.Budget
}

// newRetryBudgets returns the budgets of a router that shares the bounds with
// others.
func newRetryBudgets(s RetrySettings, routers func() int) *retryBudgets {
	if s.Window < 0 {
		s.Window = 0
	}
	defaults.Set(&s.Window, defaultRetryWindow)
	return &retryBudgets{
		settings: retrybudget.Settings{
			PerRequest: s.Ratio * usedRatioPart,
			Capacity:   usedSlackPart * s.Slack,
			Routers:    routers,
			Window:     s.Window,
		},
		services: map[granitehoist.Service]*retrybudget.Budget{},
	}
}

// of returns the budget of a service.
func (b *retryBudgets) of(s granitehoist.Service) *retrybudget.Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	budget, ok := b.services[s]
	if !ok {
		budget = retrybudget.New(b.settings)
		b.services[s] = budget
	}
	return budget
}
