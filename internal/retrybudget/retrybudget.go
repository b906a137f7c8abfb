// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package retrybudget

import (
	"sync"
	"time"

	"granitehoist.example/granitehoist/internal/defaults"
)

// Settings configure a Budget. The zero value allows a single retry.
type Settings struct {
	// PerRequest is the number of retries that each request adds, usually below one. It
	// must not be negative.
	PerRequest float64
	// Capacity is the maximum number of retries that all Routers together can
	// accumulate. Each router accumulates an equal share, but at least one retry.
	Capacity float64
	// Routers returns the number of routers that share Capacity; nil and results below
	// one mean one router. It is called with the Budget's mutex held and must not call
	// the Budget.
	Routers func() int
	// InitialFraction is the fraction of its share that a router starts with, above 0 and
	// up to 1; zero means 1.
	InitialFraction float64
	// Window is the time in which an empty Budget refills to its share without
	// requests; zero and negative values disable the refill.
	Window time.Duration
}

// Budget is the number of retries that a router may still make. The zero value is ready
// to use and has the zero Settings. A Budget is safe for concurrent use and must not be
// copied.
type Budget struct {
	settings Settings

	mu      sync.Mutex
	started bool
	// tokens is the number of retries available now.
	tokens float64
	// lastRefill is the time up to which Window has been credited.
	lastRefill time.Time
}

// New returns a Budget that fills at the first call of Earn or Take.
func New(s Settings) *Budget { return &Budget{settings: s} }

// Earn adds Settings.PerRequest for one request. The refill begins at the first call of
// Earn or Take.
func (b *Budget) Earn(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.start(now)
	b.tokens = min(b.tokens+b.settings.PerRequest, b.share())
}

// Take removes one retry and reports whether one was available. If not, the budget is
// unchanged.
func (b *Budget) Take(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.start(now)
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// start sets the initial tokens at the first call. The caller holds mu.
func (b *Budget) start(now time.Time) {
	if b.started {
		return
	}
	b.started = true
	fraction := b.settings.InitialFraction
	defaults.Set(&fraction, 1)
	b.tokens = fraction * b.share()
	b.lastRefill = now
}

// refill credits the time since the last refill. The caller holds mu.
func (b *Budget) refill(now time.Time) {
	if b.settings.Window <= 0 {
		return
	}
	windows := now.Sub(b.lastRefill).Seconds() / b.settings.Window.Seconds()
	b.tokens = min(b.tokens+windows*b.share(), b.share())
	b.lastRefill = now
}

// share returns the maximum number of tokens of this router.
func (b *Budget) share() float64 {
	routers := 1
	if b.settings.Routers != nil {
		routers = max(1, b.settings.Routers())
	}
	return max(1, b.settings.Capacity/float64(routers))
}
