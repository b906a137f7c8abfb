// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package trial

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"granitehoist.example/granitehoist/internal/defaults"
	"granitehoist.example/granitehoist/internal/pause"
	"granitehoist.example/granitehoist/partner/bill"
	"granitehoist.example/granitehoist/standin"
)

// Settings configure a run. The zero value is valid unless Hold is set, which needs Out.
type Settings struct {
	// Requests is the number of requests; zero selects DefaultRequests.
	Requests int
	// Seed is the seed of the load.
	Seed uint64
	// Interval is the time between requests; zero selects defaultInterval.
	Interval time.Duration
	// Listen is the callers' address of the first router; empty selects a free port.
	Listen string
	// Hold is how long the fleet keeps serving after the load.
	Hold time.Duration
	// Log receives the routers' log; nil discards it.
	Log *zap.Logger
	// Out receives instructions for use of the fleet during Hold.
	Out io.Writer
	// Kill kills one router halfway through the load. The load then has requests to engines
	// only, since plain services do not list the attempts that a killed router left.
	Kill bool
	// Stops is the number of planned stops during the load. Each replaces one router.
	Stops int
	// NoFaults disables fault injection in the stand-ins.
	NoFaults bool
}

// DefaultRequests is the default number of requests.
const DefaultRequests = 500

const (
	// defaultInterval is the default of Settings.Interval.
	defaultInterval = 4 * time.Millisecond
	// startTimeout limits the time until all routers have applied the documents.
	startTimeout = 30 * time.Second
	// stopTimeout limits the time for settling and stopping.
	stopTimeout = time.Minute
	// firstDelay is an engine's time to the first token.
	firstDelay = 2 * time.Millisecond
	// tokenDelay is an engine's time for each further token.
	tokenDelay = 200 * time.Microsecond
)

// Run starts a fleet, sends the load, stops the routers and verifies the results. It
// returns an error if the run itself failed; violated guarantees are in the Result.
func Run(ctx context.Context, s Settings) (Result, error) {
	defaults.Set(&s.Requests, DefaultRequests)
	defaults.Set(&s.Interval, defaultInterval)
	starting, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	engines := standin.EngineSettings{FirstDelay: firstDelay, TokenDelay: tokenDelay}
	fleet, err := NewFleet(starting, FleetSettings{Listen: s.Listen, Log: s.Log, Engines: engines})
	if err != nil {
		return Result{}, err
	}
	defer fleet.Close()
	if !s.NoFaults {
		fleet.injectFaults()
	}
	outcomes := fleet.load(ctx, s)
	if s.Hold > 0 {
		hold(ctx, fleet, s)
	}
	stopping, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	if err := fleet.settleKilled(stopping); err != nil {
		return Result{}, err
	}
	if err := fleet.stopRouters(stopping); err != nil {
		return Result{}, eris.Wrap(err, "trial: stop")
	}
	charges, err := bill.Read(stopping, fleet.Store)
	if err != nil {
		return Result{}, err
	}
	result := Verify(Observations{Outcomes: outcomes, Executions: fleet.executions(), Charges: charges, Prepaid: fleet.prepaid()})
	result.Stops, result.StopsFailed = fleet.stops.started, int(fleet.stops.failures.Load())
	return result, nil
}

// hold prints how to use the fleet, and waits.
func hold(ctx context.Context, fleet *Fleet, s Settings) {
	address := fleet.Routers[0].CallersAddress()
	key := Key("lock-kiosks")
	fmt.Fprintf(s.Out, "address=http://%s key=%s model=%s service=booking-desk admin=http://%s\n", address, key, TuulModel, fleet.Routers[0].AdminAddress())
	fmt.Fprintf(s.Out, "curl -sN http://%s/v1/chat/completions -H 'Authorization: Bearer %s' -H 'Content-Type: application/json' -d '{\"model\":\"%s\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}]}'\n", address, key, TuulModel)
	pause.For(ctx, s.Hold)
}
