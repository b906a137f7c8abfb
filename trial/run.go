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

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/internal/defaults"
	"granitehoist.example/granitehoist/partner/bill"
	"granitehoist.example/granitehoist/partner/router"
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
	// Out takes the summary.
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
	defaultInterval = 4 * time.Millisecond
	startLimit      = 30 * time.Second
	stopLimit       = time.Minute
)

// Run starts a site, sends the load, stops the routers and judges.
func Run(ctx context.Context, s Settings) (Verdict, error) {
	defaults.Set(&s.Requests, DefaultRequests)
	defaults.Set(&s.Interval, defaultInterval)
	if s.Log == nil {
		s.Log = zap.NewNop()
	}
	starting, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	site, err := NewSite(starting, s.Listen, s.Log)
	if err != nil {
		return Verdict{}, err
	}
	defer site.Close()
	if !s.Calm {
		site.disturb()
	}
	outcomes := Load(ctx, site, s)
	if s.Hold > 0 {
		hold(ctx, site, s)
	}
	stopping, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopLimit)
	defer cancel()
	if err := site.settleDead(stopping); err != nil {
		return Verdict{}, err
	}
	if err := site.StopRouters(stopping); err != nil {
		return Verdict{}, eris.Wrap(err, "trial: stop")
	}
	charges, err := bill.Read(stopping, site.Store)
	if err != nil {
		return Verdict{}, err
	}
	if s.Hold > 0 {
		charges = onlyTrial(charges, outcomes)
	}
	verdict := Judge(site, outcomes, charges)
	verdict.Stops, verdict.StopsFailed = site.stopped, int(site.stopFailures.Load())
	fmt.Fprint(s.Out, Summary(outcomes))
	return verdict, nil
}

// disturb lets the stand-ins fail now and then: the store takes writes and
// loses its answer, engines refuse, cut and cross answers.
func (s *Site) disturb() {
	s.Store.Fail(standin.StoreFaults{LoseEvery: 7})
	for _, engines := range s.Engines {
		engines[0].Fail(standin.EngineFaults{RefuseEvery: 11})
		engines[1].Fail(standin.EngineFaults{CutEvery: 13})
		engines[2].Fail(standin.EngineFaults{CrossEvery: 17, NoUsageEvery: 19})
	}
}

// replaceOne starts a router in the place of another, which it stops in good
// order in the background. As a balancer that asks for readiness does, callers
// leave the old one first.
func (s *Site) replaceOne(ctx context.Context, i int) {
	old := s.Routers[i]
	s.stopped++
	fresh, err := s.startRouter(old.Partner(), old.Zone(), routersPerZone+s.stopped, "", s.trust)
	if err == nil {
		err = s.waitReady(ctx, fresh)
	}
	if err != nil {
		s.stopFailed(err)
		return
	}
	s.mu.Lock()
	s.Routers[i] = fresh
	s.mu.Unlock()
	s.stopping.Go(func() {
		if err := old.Stop(ctx); err != nil {
			s.stopFailed(err)
		}
	})
}

// stopFailed notes that a planned stop was not in good order.
func (s *Site) stopFailed(err error) {
	s.log.Error("stop_failed", zap.Error(err))
	s.stopFailures.Add(1)
}

func (s *Site) waitReady(ctx context.Context, r *router.Router) error {
	for len(r.View().Serials()) < len(s.documents) {
		select {
		case <-ctx.Done():
			return eris.New("trial: a new router did not become ready")
		case <-time.After(5 * time.Millisecond):
		}
	}
	return nil
}

// killOne ends a router without warning.
func (s *Site) killOne(i int) {
	s.mu.Lock()
	r := s.Routers[i]
	s.Routers = append(append([]*router.Router(nil), s.Routers[:i]...), s.Routers[i+1:]...)
	s.mu.Unlock()
	s.dead = append(s.dead, r)
	r.Kill()
}

// Tries of settling a dead router, and the time between them. An engine may be
// too busy to answer at first; routers ask again in the same way.
const (
	settleTries = 50
	settlePause = 100 * time.Millisecond
)

// settleDead lets a router charge the orphans of the dead, until every engine
// has been asked and no attempt runs.
func (s *Site) settleDead(ctx context.Context) error {
	for _, r := range s.dead {
		if err := s.settleOne(ctx, r.Incarnation()); err != nil {
			return err
		}
	}
	return nil
}

func (s *Site) settleOne(ctx context.Context, dead granitehoist.Incarnation) error {
	for range settleTries {
		result, err := s.Routers[0].SettleOrphans(ctx, dead, true)
		if err == nil && len(result.Unreached) == 0 && result.Running == 0 {
			return nil
		}
		s.log.Info("settle_incomplete", zap.Any("result", result), zap.Error(err))
		time.Sleep(settlePause)
	}
	return eris.Errorf("trial: router %s could not be settled", dead)
}

// onlyTrial leaves out the charges of requests that a person sent meanwhile.
func onlyTrial(charges []bill.Charge, outcomes []*Outcome) []bill.Charge {
	ours := map[string]bool{}
	for _, o := range outcomes {
		ours[o.ID] = true
	}
	var kept []bill.Charge
	for _, c := range charges {
		if ours[string(c.Request)] {
			kept = append(kept, c)
		}
	}
	return kept
}

// hold tells a person how to use the site, and waits.
func hold(ctx context.Context, site *Site, s Settings) {
	address := site.Routers[0].CallersAddress()
	key := Key("lock-kiosks")
	fmt.Fprintf(s.Out, "address=http://%s key=%s model=%s service=booking-desk admin=http://%s\n", address, key, TuulModel, site.Routers[0].AdminAddress())
	fmt.Fprintf(s.Out, "curl -sN http://%s/v1/chat/completions -H 'Authorization: Bearer %s' -H 'Content-Type: application/json' -d '{\"model\":\"%s\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}]}'\n", address, key, TuulModel)
	select {
	case <-ctx.Done():
	case <-time.After(s.Hold):
	}
}
