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

// Settings configure a trial. The zero value works.
type Settings struct {
	// Requests is the number of requests; zero stands for DefaultRequests.
	Requests int
	// Seed chooses the load.
	Seed uint64
	// Interval is the time between requests; zero stands for 4 ms.
	Interval time.Duration
	// Listen is the callers' address of the first router; empty chooses one.
	Listen string
	// Hold keeps the site up after the load.
	Hold time.Duration
	// Log takes the routers' events; nil discards them.
	Log *zap.Logger
	// Out takes the address to use while the site is held up.
	Out io.Writer
	// Kill ends one router without warning halfway through the load, and sends
	// requests to engines only: what a dead router sent to plain services can't
	// be found again.
	Kill bool
	// Stops is the number of planned stops during the load, each of one router,
	// which a new one replaces.
	Stops int
	// Calm leaves out the stand-ins' failures.
	Calm bool
}

// DefaultRequests is the length of a trial.
const DefaultRequests = 500

const (
	// defaultInterval lets a trial of DefaultRequests last two seconds.
	defaultInterval = 4 * time.Millisecond
	// startLimit bounds the time until the documents are in force.
	startLimit = 30 * time.Second
	// stopLimit bounds the time for settling and stopping.
	stopLimit = time.Minute
	// firstDelay is an engine's time to the first token.
	firstDelay = 2 * time.Millisecond
	// tokenDelay is its time for each further token.
	tokenDelay = 200 * time.Microsecond
)

// Run starts a site, sends the load, stops the routers and judges. An error
// says that the trial itself failed; a broken promise is in the verdict.
func Run(ctx context.Context, s Settings) (Verdict, error) {
	defaults.Set(&s.Requests, DefaultRequests)
	defaults.Set(&s.Interval, defaultInterval)
	starting, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	engines := standin.EngineSettings{FirstDelay: firstDelay, TokenDelay: tokenDelay}
	site, err := NewSite(starting, SiteSettings{Listen: s.Listen, Log: s.Log, Engines: engines})
	if err != nil {
		return Verdict{}, err
	}
	defer site.Close()
	if !s.Calm {
		site.disturb()
	}
	outcomes := site.load(ctx, s)
	if s.Hold > 0 {
		hold(ctx, site, s)
	}
	stopping, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopLimit)
	defer cancel()
	if err := site.settleDead(stopping); err != nil {
		return Verdict{}, err
	}
	if err := site.stopRouters(stopping); err != nil {
		return Verdict{}, eris.Wrap(err, "trial: stop")
	}
	charges, err := bill.Read(stopping, site.Store)
	if err != nil {
		return Verdict{}, err
	}
	verdict := Judge(Evidence{Outcomes: outcomes, Books: site.books(), Charges: charges, Prepaid: site.prepaid()})
	verdict.Stops, verdict.StopsFailed = site.stops.begun, int(site.stops.failures.Load())
	return verdict, nil
}

// hold tells a person how to use the site, and waits.
func hold(ctx context.Context, site *Site, s Settings) {
	address := site.Routers[0].CallersAddress()
	key := Key("lock-kiosks")
	fmt.Fprintf(s.Out, "address=http://%s key=%s model=%s service=booking-desk admin=http://%s\n", address, key, TuulModel, site.Routers[0].AdminAddress())
	fmt.Fprintf(s.Out, "curl -sN http://%s/v1/chat/completions -H 'Authorization: Bearer %s' -H 'Content-Type: application/json' -d '{\"model\":\"%s\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}]}'\n", address, key, TuulModel)
	pause.For(ctx, s.Hold)
}
