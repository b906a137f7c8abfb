// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"granitehoist.example/granitehoist/standin"
)

const (
	// brittleBlock is the lowest third octet of the loopback addresses of TestBrittle.
	brittleBlock = 220
	// brittleCapacity is the number of requests that a brittle worker runs at once,
	// brittleDelay the time that each takes.
	brittleCapacity = 4
	brittleDelay    = 150 * time.Millisecond
	// brittleDown is the time for which a worker is down after a crash.
	brittleDown = time.Second
	// brittleDuration is the time for which the workers run few requests.
	brittleDuration = 6 * time.Second
	// maxBrittleCrashes is the number of crashes tolerated among workerCount workers.
	maxBrittleCrashes = 2 + workerCount/10
	// processHeader names the process to which a caller sent a request.
	processHeader = "Process"
)

// brittleLimits holds the numbers of requests a second that a worker can reject, for each
// process of the fleet. Seeds use them in turn.
var brittleLimits = []float64{2, 1, 0.5}

// brittleService is the state of the workers of a fleet, which are brittle at times. It is
// safe for concurrent use.
type brittleService struct {
	fleet *fleet

	mu sync.Mutex
	// stated says that all responses state the limit, scarce that the workers run only
	// brittleCapacity requests.
	stated, scarce bool
	limit          int
	workers        []brittleWorker
	// crashes counts the crashes that processes in touch have caused, others the rest.
	crashes, others int
}

// brittleWorker is the state of a worker.
type brittleWorker struct {
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
func (b *brittleService) set(stated, scarce bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stated, b.scarce = stated, scarce
}

// respond serves or rejects a request at a worker.
func (b *brittleService) respond(worker int, a standin.ReceivedRequest) standin.WorkerResponse {
	limit, accepted, scarce := b.admit(worker, a, time.Now())
	switch {
	case !accepted:
		return standin.WorkerResponse{Status: http.StatusServiceUnavailable, NotRun: true, RejectionLimit: limit}
	case scarce:
		time.Sleep(brittleDelay)
	}
	response := b.fleet.runCounts.respond(a)
	response.RejectionLimit = limit
	b.mu.Lock()
	defer b.mu.Unlock()
	b.workers[worker].running--
	return response
}

// admit reports whether a worker runs a request, and the limit that its response states.
func (b *brittleService) admit(worker int, a standin.ReceivedRequest, now time.Time) (limit int, accepted, scarce bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.stated {
		limit = b.limit
	}
	w := &b.workers[worker]
	if !w.down && (!b.scarce || w.running < brittleCapacity) {
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

// crash takes a worker down for brittleDown. The caller holds mu.
func (b *brittleService) crash(worker int) {
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
		time.Sleep(brittleDown)
		b.fleet.workers[worker].setMode(forward)
		b.mu.Lock()
		defer b.mu.Unlock()
		w.down, w.rejected = false, nil
	}()
}

// inTouch reports whether the process at ip had no fault within contactTime before now.
func (f *fleet) inTouch(ip string, now time.Time) bool {
	for _, p := range f.processes {
		if ended := p.faultAt.Load(); p.ip == ip && ended != nil && now.Sub(*ended) < contactTime {
			return false
		}
	}
	return true
}

// disturb injects faults at single processes and workers, one after the other.
func (f *fleet) disturb(random *rand.Rand, until time.Time) {
	for time.Now().Before(until) {
		p := f.processes[random.IntN(len(f.processes))]
		// The fault is not over before it has begun.
		begin := time.Now().Add(time.Hour)
		p.faultAt.Store(&begin)
		switch random.IntN(5) {
		case 0:
			f.restart(p, syscall.SIGKILL, 50*time.Millisecond)
		case 1:
			f.restart(p, syscall.SIGTERM, 50*time.Millisecond)
		case 2:
			p.signal(syscall.SIGSTOP)
			time.Sleep(700 * time.Millisecond)
			p.signal(syscall.SIGCONT)
		case 3:
			f.partition(p, cutKind(1+random.IntN(cutKindCount)))
			time.Sleep(time.Second)
			f.partition(p, connected)
		case 4:
			w := f.workers[random.IntN(len(f.workers))]
			w.setMode(stall)
			time.Sleep(time.Second)
			w.setMode(forward)
		}
		end := time.Now()
		p.faultAt.Store(&end)
		time.Sleep(time.Duration(random.IntN(1500)) * time.Millisecond)
	}
}

// TestBrittle guards against workers that crash because processes let them reject too many
// requests, and against violations of the invariants of TestSoak.
func TestBrittle(t *testing.T) {
	from, to := seedRange(t, 1, 2)
	binary := buildProgram(t, "..")
	for seed := from; seed <= to; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			f := newFleetOf(t, binary, processCount(t), brittleBlock+seed%30, processCount(t)*largeBudget)
			f.awaitReady(recoveryTimeout)
			results := &outcomes{answers: map[string]int{}}
			// The callers send three times what the workers run while they are brittle.
			perProcess := max(2, 48/len(f.processes))
			callers := f.startCallers(seed, perProcess, 30*time.Millisecond, results)
			f.brittle.limit = int(brittleLimits[seed%len(brittleLimits)] * float64(len(f.processes)))
			f.brittle.set(true, false)
			time.Sleep(contactTime)
			f.brittle.set(true, true)
			f.disturb(rand.New(rand.NewPCG(uint64(seed), 400)), time.Now().Add(brittleDuration))
			f.brittle.set(false, false)
			f.awaitReady(recoveryTimeout)
			time.Sleep(contactTime)
			recovered := time.Now()
			time.Sleep(time.Second)
			f.checkServedAfter(callers.end(), recovered)
			f.check(results)
			t.Logf("%d crashes, %d more under faults, at %d rejections a second", f.brittle.crashes, f.brittle.others, f.brittle.limit)
			if f.brittle.crashes > maxBrittleCrashes {
				t.Errorf("%d workers crashed, %d are allowed", f.brittle.crashes, maxBrittleCrashes)
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
