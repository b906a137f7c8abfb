// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package forward_test

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/balance"
	"granitehoist.example/granitehoist/exchange"
	"granitehoist.example/granitehoist/forward"
	"granitehoist.example/granitehoist/standin"
)

// behaviour is what an upstream does with a request.
type behaviour struct {
	name string
	// runs says that the upstream begins to work on the request.
	runs     bool
	response standin.WorkerResponse
}

// behaviours are all ways in which an attempt can end, but for a dial that fails.
var behaviours = []behaviour{
	{"rejects", false, standin.WorkerResponse{Status: http.StatusServiceUnavailable, NotRun: true}},
	{"rejects late", false, standin.WorkerResponse{Status: http.StatusTooManyRequests, NotRun: true, Delay: 30 * time.Millisecond}},
	{"rejects after a surplus answer", false, standin.WorkerResponse{Status: http.StatusServiceUnavailable, NotRun: true, ExtraBefore: "HTTP/1.1 200 OK\r\nAttempt-Id: r-0\r\nContent-Length: 0\r\n\r\n"}},
	{"answers", true, standin.WorkerResponse{Body: "whole"}},
	{"answers after a surplus refusal", true, standin.WorkerResponse{Body: "whole", ExtraBefore: "HTTP/1.1 503 x\r\nAttempt-Id: r-0\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"}},
	{"fails", true, standin.WorkerResponse{Status: http.StatusInternalServerError, Body: "failed"}},
	{"refuses without a statement", true, standin.WorkerResponse{Status: http.StatusServiceUnavailable}},
	{"states that it ran and did not", true, standin.WorkerResponse{Status: http.StatusOK, NotRun: true}},
	{"answers another request", true, standin.WorkerResponse{Body: "whole", WrongID: true}},
	{"cuts its answer", true, standin.WorkerResponse{Body: "whole", Cut: standin.Cut{Set: true, After: 2, FIN: true}}},
	{"resets", true, standin.WorkerResponse{Body: "whole", Cut: standin.Cut{Set: true}}},
	{"is silent", true, standin.WorkerResponse{Hang: true}},
	{"sends no HTTP", true, standin.WorkerResponse{ExtraBefore: "503 Not-Executed: 1\r\n\r\n"}},
}

// promiseTrial is a request before upstreams that behave in some way.
type promiseTrial struct {
	path       string
	behaviours []behaviour
	// down is the number of further upstreams whose address refuses connections.
	down    int
	timeout time.Duration
	// suspended is how long the machine is suspended while the first attempt is at work.
	suspended time.Duration
}

func drawPromiseTrial(t *rapid.T) promiseTrial {
	trial := promiseTrial{
		path:    rapid.SampledFrom([]string{"/unsafe/x", "/stream/x", "/safe/x", "/resume/x"}).Draw(t, "path"),
		down:    rapid.IntRange(0, 2).Draw(t, "down"),
		timeout: time.Duration(rapid.IntRange(1, 120).Draw(t, "timeout")) * time.Millisecond,
	}
	for range rapid.IntRange(1, 4).Draw(t, "upstreams") {
		trial.behaviours = append(trial.behaviours, behaviours[rapid.IntRange(0, len(behaviours)-1).Draw(t, "behaviour")])
	}
	if rapid.Bool().Draw(t, "suspends") {
		trial.suspended = time.Second
	}
	return trial
}

// run serves the request and returns the number of its runs and its error.
func (p *promiseTrial) run() (int, error) {
	s, clock := newFixture(), &standin.Clock{}
	s.settings.Clock, s.settings.Pool = clock.Now, exchange.NewPool(exchange.Settings{Clock: clock.Now})
	s.forwarder = forward.New(s.settings)
	service := desk
	if p.path == "/stream/x" || p.path == "/resume/x" {
		service = model
	}
	var runs atomic.Int32
	for i, b := range p.behaviours {
		w, err := standin.NewWorker(fmt.Sprint("i-", i), func(standin.ReceivedRequest) standin.WorkerResponse {
			if b.runs {
				runs.Add(1)
			}
			if p.suspended > 0 {
				clock.Suspend(p.suspended)
			}
			return b.response
		})
		Expect(err).NotTo(HaveOccurred())
		defer w.Close()
		s.table.Announce(balance.Instance{ID: granitehoist.Upstream(fmt.Sprint("i-", i)), Service: service, Address: w.Address(), Version: 1}, clock.Now())
	}
	for i := range p.down {
		// Nothing listens at port 1.
		s.table.Announce(balance.Instance{ID: granitehoist.Upstream(fmt.Sprint("down-", i)), Service: service, Address: "127.0.0.1:1", Version: 1}, clock.Now())
	}
	r := request(p.path)
	r.Arrived, r.Timeout = clock.Now(), p.timeout
	_, err := s.forwarder.Serve(context.Background(), r, &fakeSink{})
	return int(runs.Load()), err
}

// TestNotRunIsProven guards against refusals as not run of requests that an upstream began to
// work on, and against second runs of requests that must run once.
func TestNotRunIsProven(t *testing.T) {
	RegisterTestingT(t)
	rapid.Check(t, func(t *rapid.T) {
		trial := drawPromiseTrial(t)
		runs, err := trial.run()
		if runs > 0 && err != nil && granitehoist.CodeOf(err).Info().Execution == granitehoist.NotRun {
			t.Fatalf("%d runs, and the caller got %v", runs, err)
		}
		if once := trial.path == "/unsafe/x" || trial.path == "/stream/x"; once && runs > 1 {
			t.Fatalf("%d runs, and the caller got %v", runs, err)
		}
	})
}
