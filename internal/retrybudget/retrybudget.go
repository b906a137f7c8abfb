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
	// PerRequest is the number of retries, usually below one, that each request
	// earns. It must not be negative.
	PerRequest float64
	// Capacity is the most retries that all Routers together can have saved.
	// Each router saves its equal share, but at least one retry.
	Capacity float64
	// Routers returns how many routers share Capacity; nil, and results below
	// one, stand for one router. It is called with the Budget's lock held and
	// must not call the Budget.
	Routers func() int
	// InitialPart is the part of the share that is saved before the first
	// request, above 0 and up to 1; zero stands for 1.
	InitialPart float64
	// Window is the time in which an empty Budget refills to its share without
	// requests; zero and negative values mean that it does not refill.
	Window time.Duration
}

// Budget counts the retries that a router may still make. The zero value works
// and has the zero Settings. A Budget is safe for concurrent use and must not
// be copied.
type Budget struct {
	settings Settings

	mu      sync.Mutex
	started bool
	// saved is the number of retries that may be made now, refilled is when
	// Window last added to it.
	saved    float64
	refilled time.Time
}

// New returns a budget.
func New(s Settings) *Budget { return &Budget{settings: s} }

// Earn adds what one request earns. The Window of a Budget begins at the first
// call of Earn or Take.
func (b *Budget) Earn(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.start(now)
	b.saved = min(b.saved+b.settings.PerRequest, b.share())
}

// Take spends one retry and reports whether there was one to spend. A refused
// Take costs nothing.
func (b *Budget) Take(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.start(now)
	b.refill(now)
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}

// start fills the budget for the first request. The caller holds the lock.
func (b *Budget) start(now time.Time) {
	if b.started {
		return
	}
	b.started = true
	part := b.settings.InitialPart
	defaults.Set(&part, 1)
	b.saved = part * b.share()
	b.refilled = now
}

// refill adds what the time since the last refill earns. The caller holds the
// lock.
func (b *Budget) refill(now time.Time) {
	if b.settings.Window <= 0 {
		return
	}
	windows := now.Sub(b.refilled).Seconds() / b.settings.Window.Seconds()
	b.saved = min(b.saved+windows*b.share(), b.share())
	b.refilled = now
}

// share returns the most retries that this router can have saved.
func (b *Budget) share() float64 {
	routers := 1
	if b.settings.Routers != nil {
		routers = max(1, b.settings.Routers())
	}
	return max(1, b.settings.Capacity/float64(routers))
}
