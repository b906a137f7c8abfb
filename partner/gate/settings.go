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

// Funds pays for requests; budget.Agent implements it.
type Funds interface {
	// Reserve sets tokens aside, waiting for them as long as the budget's split
	// allows. Its errors are *Error.
	Reserve(ctx context.Context, k granitehoist.BudgetID, bound granitehoist.Tokens) error
	// Settle ends a reservation with the use.
	Settle(k granitehoist.BudgetID, bound, used granitehoist.Tokens)
}

// Settings configure a Gate: who the router is, the parts that a request
// passes through, and the limits of one request. They are read only after New.
// All fields but Burn and Limits are required.
type Settings struct {
	// Zone is the router's availability zone, an input of the policies.
	Zone granitehoist.AvailabilityZone
	// Incarnation is this run of the router, a part of each attempt's id.
	Incarnation granitehoist.Incarnation
	// View returns the documents in force.
	View func() *config.View
	// Funds reserves the tokens of a request and settles them.
	Funds Funds
	// Ledger takes one charge for each request that may have run.
	Ledger *bill.Ledger
	// Once binds the requests that are not to be repeated.
	Once *once.Registry
	// Table chooses the upstream of each attempt.
	Table *route.Table
	// Protocols has an entry for each kind of service in the documents.
	Protocols map[config.Kind]granitehoist.Protocol
	Clock     granitehoist.Clock
	// Random is the source of the request ids that the gate makes itself.
	Random  io.Reader
	Log     *zap.Logger
	Metrics metrics.Registry
	// Burn takes the counts of the burn report; nil keeps none.
	Burn   *report.Recorder
	Limits Limits
}

// Limits bound what one request may use. Zero fields take the defaults of package
// settings.
type Limits struct {
	// BodyBytes bounds a request's body; zero stands for settings.DefaultBodyBytes.
	BodyBytes int64
	// HeaderBytes bounds a request's line and headers; zero stands for
	// settings.DefaultHeaderBytes.
	HeaderBytes int
	// ReadTimeout bounds the time from the end of the headers to the end of the
	// body; zero stands for settings.DefaultReadTimeout.
	ReadTimeout time.Duration
	// RequestTimeout bounds a request whose caller names no deadline; zero
	// stands for settings.DefaultRequest.
	RequestTimeout time.Duration
}

// complete reports whether all required settings are there.
func (s *Settings) complete() bool {
	identified := s.Incarnation != ""
	connected := s.View != nil && s.Funds != nil && s.Ledger != nil && s.Once != nil && s.Table != nil && s.Protocols != nil
	equipped := s.Clock != nil && s.Random != nil && s.Log != nil && s.Metrics != nil
	return identified && connected && equipped
}

func (l *Limits) setDefaults() {
	defaults.Set(&l.BodyBytes, settings.DefaultBodyBytes)
	defaults.Set(&l.HeaderBytes, settings.DefaultHeaderBytes)
	defaults.Set(&l.ReadTimeout, time.Duration(settings.DefaultReadTimeout))
	defaults.Set(&l.RequestTimeout, time.Duration(settings.DefaultRequest))
}
