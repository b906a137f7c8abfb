// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"granitehoist.example/granitehoist/standin"
)

const (
	// rejectionBlock is the lowest third octet of the loopback addresses of
	// TestRejectionLimit.
	rejectionBlock = 220
	// scarceCapacity is the number of requests that a worker with scarce capacity runs at once,
	// scarceDelay the time that each takes.
	scarceCapacity = 4
	scarceDelay    = 150 * time.Millisecond
	// crashDowntime is the time for which a worker is down after a crash.
	crashDowntime = time.Second
	// scarceDuration is the time for which the workers run few requests.
	scarceDuration = 6 * time.Second
	// maxRejectionCrashes is the number of crashes tolerated among workerCount workers.
	maxRejectionCrashes = 2 + workerCount/10
	// processHeader names the process to which a caller sent a request.
	processHeader = "Process"
)

// rejectionLimits holds the numbers of requests a second that a worker can reject, for each
// process of the fleet. Seeds use them in turn.
var rejectionLimits = []float64{2, 1, 0.5}

// rejectingService is the state of the workers of a fleet, which at times have scarce
// capacity and state how much they can reject. It is safe for concurrent use.
type rejectingService struct {
	fleet *fleet

	mu sync.Mutex
	// stated says that all responses state the limit, scarce that the workers run only
	// scarceCapacity requests.
	stated, scarce bool
	limit          int
	workers        []rejectingWorker
	// crashes counts the crashes that processes in touch have caused, others the rest.
	crashes, others int
}

// rejectingWorker is the state of a worker.
type rejectingWorker struct {
	running  int
	down     bool
	rejected []rejection
}

// rejection is a rejected request.
type rejection struct {
	at time.Time
	// inTouch says that the process that sent it had no fault within contactTime.
	inTouch bool
}

// set changes the state of the workers.
func (b *rejectingService) set(stated, scarce bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stated, b.scarce = stated, scarce
}

// respond serves or rejects a request at a worker.
func (b *rejectingService) respond(worker int, a standin.ReceivedRequest) standin.WorkerResponse {
	limit, accepted, scarce := b.admit(worker, a, time.Now())
	switch {
	case !accepted:
		return standin.WorkerResponse{Status: http.StatusServiceUnavailable, NotRun: true, RejectionLimit: limit}
	case scarce:
		time.Sleep(scarceDelay)
	}
	response := b.fleet.runCounts.respond(a)
	response.RejectionLimit = limit
	b.mu.Lock()
	defer b.mu.Unlock()
	b.workers[worker].running--
	return response
}

// admit reports whether a worker runs a request, and the limit that its response states.
func (b *rejectingService) admit(worker int, a standin.ReceivedRequest, now time.Time) (limit int, accepted, scarce bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.stated {
		limit = b.limit
	}
	w := &b.workers[worker]
	if !w.down && (!b.scarce || w.running < scarceCapacity) {
		w.running++
		return limit, true, b.scarce
	}
	w.rejected = append(w.rejected, rejection{at: now, inTouch: b.fleet.inTouch(a.Header.Get(processHeader), now)})
	for now.Sub(w.rejected[0].at) > time.Second {
		w.rejected = w.rejected[1:]
	}
	if b.stated && !w.down && len(w.rejected) > b.limit {
		b.crash(worker)
	}
	return limit, false, false
}

// crash takes a worker down for crashDowntime. The caller holds mu.
func (b *rejectingService) crash(worker int) {
	w := &b.workers[worker]
	inTouch := 0
	for _, r := range w.rejected {
		if r.inTouch {
			inTouch++
		}
	}
	if 2*inTouch > len(w.rejected) {
		b.crashes++
	} else {
		b.others++
	}
	w.down = true
	go func() {
		b.fleet.workers[worker].setMode(reset)
		time.Sleep(crashDowntime)
		b.fleet.workers[worker].setMode(forward)
		b.mu.Lock()
		defer b.mu.Unlock()
		w.down, w.rejected = false, nil
	}()
}

// TestRejectionLimit guards against workers that crash because processes let them reject too many
// requests, and against violations of the invariants of TestSoak.
func TestRejectionLimit(t *testing.T) {
	from, to := seedRange(t, 1, 2)
	binary := buildProgram(t, "..")
	for seed := from; seed <= to; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			f := newFleetOf(t, binary, processCount(t), rejectionBlock+seed%30, processCount(t)*largeBudget)
			f.awaitReady(recoveryTimeout)
			results := &outcomes{answers: map[string]int{}}
			// The callers send three times what the workers run while their capacity is scarce.
			perProcess := max(2, 48/len(f.processes))
			callers := f.startCallers(seed, perProcess, 30*time.Millisecond, results)
			f.rejecting.limit = int(rejectionLimits[seed%len(rejectionLimits)] * float64(len(f.processes)))
			f.rejecting.set(true, false)
			time.Sleep(contactTime)
			f.rejecting.set(true, true)
			f.disturb(rand.New(rand.NewPCG(uint64(seed), 400)), time.Now().Add(scarceDuration), killed, stopped, paused, partitioned)
			f.rejecting.set(false, false)
			f.awaitReady(recoveryTimeout)
			time.Sleep(contactTime)
			recovered := time.Now()
			time.Sleep(time.Second)
			f.checkServedAfter(callers.end(), recovered)
			f.check(results)
			t.Logf("%d crashes, %d more under faults, at %d rejections a second", f.rejecting.crashes, f.rejecting.others, f.rejecting.limit)
			if f.rejecting.crashes > maxRejectionCrashes {
				t.Errorf("%d workers crashed, %d are allowed", f.rejecting.crashes, maxRejectionCrashes)
			}
			f.logOnFailure()
		})
	}
}

// checkServedAfter checks that nearly all requests sent after a time were served.
func (f *fleet) checkServedAfter(all []sentRequest, after time.Time) {
	f.t.Helper()
	sent, served := 0, 0
	for _, r := range all {
		if r.sent.Before(after) {
			continue
		}
		sent++
		if r.status == http.StatusOK {
			served++
		}
	}
	if served < sent*9/10 || sent == 0 {
		f.t.Errorf("%d of %d requests served after the workers had room again", served, sent)
	}
}
