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

// RetrySettings bound the retries of the fleet, that is, the attempts beyond the first of
// each request. Each router may make an equal share of them.
type RetrySettings struct {
	// Ratio is the number of retries allowed per request of a service.
	Ratio float64
	// Burst is the number of retries that the fleet may make per Window in addition to
	// Ratio.
	Burst float64
	// Window is the time over which the retries of a service are counted; zero and
	// negative values mean 10 seconds.
	Window time.Duration
}

const (
	// usedRatioFraction is the fraction of Ratio that the routers use. The rest is a margin
	// for requests whose retries fall into the next Window. The operators count some
	// requests in another window than the routers do.
	usedRatioFraction = 0.6
	// usedBurstFraction is the fraction of Burst that the routers use. The rest is a margin
	// for restarted routers, which begin with a full budget.
	usedBurstFraction = 0.5
	// defaultRetryWindow is the default of RetrySettings.Window.
	defaultRetryWindow = 10 * time.Second
)

// retryBudgets holds the retry budget of each service. It is safe for concurrent use.
type retryBudgets struct {
	settings retrybudget.Settings

	mu       sync.Mutex
	services map[granitehoist.Service]*retrybudget.Budget
}

// newRetryBudgets returns the budgets of a router that shares the limits with other
// routers.
func newRetryBudgets(s RetrySettings, routers func() int) *retryBudgets {
	if s.Window < 0 {
		s.Window = 0
	}
	defaults.Set(&s.Window, defaultRetryWindow)
	return &retryBudgets{
		settings: retrybudget.Settings{
			PerRequest: s.Ratio * usedRatioFraction,
			Capacity:   usedBurstFraction * s.Burst,
			Routers:    routers,
			Window:     s.Window,
		},
		services: map[granitehoist.Service]*retrybudget.Budget{},
	}
}

// forService returns the budget of a service, which it creates at the first call.
func (b *retryBudgets) forService(s granitehoist.Service) *retrybudget.Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	budget, ok := b.services[s]
	if !ok {
		budget = retrybudget.New(b.settings)
		b.services[s] = budget
	}
	return budget
}
