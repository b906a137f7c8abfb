// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package gate

import (
	"context"
	"io"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/internal/defaults"
	"granitehoist.example/granitehoist/partner/bill"
	"granitehoist.example/granitehoist/partner/config"
	"granitehoist.example/granitehoist/partner/once"
	"granitehoist.example/granitehoist/partner/report"
	"granitehoist.example/granitehoist/partner/route"
	"granitehoist.example/granitehoist/partner/settings"
)

// Budgets reserves and settles tokens of budgets. budget.Agent implements it.
type Budgets interface {
	// Reserve reserves tokens. It may wait for them, as the split of the budget allows. The
	// error is a *granitehoist.Error.
	Reserve(ctx context.Context, k granitehoist.BudgetID, maxCost granitehoist.Tokens) error
	// Settle ends a reservation of maxCost tokens and charges used tokens, which may be more.
	Settle(k granitehoist.BudgetID, maxCost, used granitehoist.Tokens)
}

// Settings configure a Gate. They must not change after New. All fields but Burn and Limits
// are required.
type Settings struct {
	// Zone is the availability zone of the router, an input of the policies.
	Zone granitehoist.AvailabilityZone
	// Incarnation identifies this run of the router; it is part of each attempt id.
	Incarnation granitehoist.Incarnation
	// View returns the documents in force.
	View func() *config.View
	// Budgets reserves the tokens of a request and settles them.
	Budgets Budgets
	// Ledger receives one charge for each request that may have run.
	Ledger *bill.Ledger
	// Once binds requests that are not to be repeated.
	Once *once.Registry
	// Table chooses the upstream of each attempt.
	Table *route.Table
	// Protocols has an entry for each kind of service in the documents.
	Protocols map[config.Kind]granitehoist.Protocol
	Clock     granitehoist.Clock
	// Random is the source of the request ids that the gate generates.
	Random  io.Reader
	Log     *zap.Logger
	Metrics metrics.Registry
	// Burn receives the counts of the burn report; nil disables it.
	Burn   *report.Recorder
	Limits Limits
}

// Limits bound the resources of one request. Zero fields take the defaults of package
// settings.
type Limits struct {
	// BodyBytes is the largest body; zero means settings.DefaultBodyBytes.
	BodyBytes int64
	// HeaderBytes is the largest size of the request line and headers; zero means
	// settings.DefaultHeaderBytes.
	HeaderBytes int
	// ReadTimeout is the time from the end of the headers to the end of the body; zero means
	// settings.DefaultReadTimeout.
	ReadTimeout time.Duration
	// RequestTimeout applies to requests without a deadline; zero means
	// settings.DefaultRequestTimeout.
	RequestTimeout time.Duration
}

// complete reports whether all required settings are set.
func (s *Settings) complete() bool {
	hasIncarnation := s.Incarnation != ""
	hasDependencies := s.View != nil && s.Budgets != nil && s.Ledger != nil && s.Once != nil && s.Table != nil && s.Protocols != nil
	hasRuntime := s.Clock != nil && s.Random != nil && s.Log != nil && s.Metrics != nil
	return hasIncarnation && hasDependencies && hasRuntime
}

func (l *Limits) setDefaults() {
	defaults.Set(&l.BodyBytes, settings.DefaultBodyBytes)
	defaults.Set(&l.HeaderBytes, settings.DefaultHeaderBytes)
	defaults.Set(&l.ReadTimeout, time.Duration(settings.DefaultReadTimeout))
	defaults.Set(&l.RequestTimeout, time.Duration(settings.DefaultRequestTimeout))
}
