// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package forward

import (
	"sync"
	"time"

	"granitehoist.example/granitehoist"
)

// RetrySettings bound the attempts of the whole fleet beyond the first of each
// request. Each router spends its own share.
type RetrySettings struct {
	// Ratio is the attempts allowed for each request of a service.
	Ratio float64
	// Slack is the number of attempts that the fleet may make besides in a
	// Window.
	Slack  float64
	Window time.Duration
}

// Parts of the bounds that are used, so that routers that start anew, and
// requests counted in another window, leave it kept.
const (
	ratioPart = 0.6
	slackPart = 0.5
)

// retries holds the attempts that may still be made for each service.
type retries struct {
	mu       sync.Mutex
	settings RetrySettings
	routers  func() int
	services map[granitehoist.Service]*allowance
}

type allowance struct {
	left float64
	at   time.Time
}

func newRetries(s RetrySettings, routers func() int) *retries {
	return &retries{settings: s, routers: routers, services: map[granitehoist.Service]*allowance{}}
}

// share is this router's part of the slack.
func (r *retries) share() float64 {
	return max(1, slackPart*r.settings.Slack/float64(max(1, r.routers())))
}

func (r *retries) allowance(s granitehoist.Service, now time.Time) *allowance {
	a, ok := r.services[s]
	if !ok {
		a = &allowance{left: r.share(), at: now}
		r.services[s] = a
	}
	return a
}

// request counts a request of a service.
func (r *retries) request(s granitehoist.Service, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a := r.allowance(s, now)
	a.left = min(a.left+r.settings.Ratio*ratioPart, r.share())
}

// take spends one attempt if it is allowed.
func (r *retries) take(s granitehoist.Service, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	a := r.allowance(s, now)
	refill := now.Sub(a.at).Seconds() / r.settings.Window.Seconds() * r.share()
	a.left = min(a.left+refill, r.share())
	a.at = now
	if a.left < 1 {
		return false
	}
	a.left--
	return true
}
