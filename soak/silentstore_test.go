// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"granitehoist.example/granitehoist/internal/event"
	"granitehoist.example/granitehoist/platform"
	"granitehoist.example/granitehoist/standin"
)

const (
	// silentBlock is the lowest third octet of the loopback addresses of TestSilentStore.
	silentBlock = 130
	// heartbeat is the time between two writes of an upstream's entry.
	heartbeat = 1200 * time.Millisecond
	// otherUpstreams is the number of upstreams that get no requests here, but write entries.
	otherUpstreams = 18
	// lateSlack is taken off the bound in favour of the routers.
	lateSlack = 50 * time.Millisecond
	// leavingServes is how long an upstream that leaves serves on after the bound.
	leavingServes = time.Second
)

// departure is how an upstream leaves.
type departure int

const (
	// drains: its entry says that it drains.
	drains departure = iota
	// unlisted: its entry goes.
	unlisted
	departureCount
)

// silentRound plays one upstream that leaves while the connections of all processes to the store
// go silent.
type silentRound struct {
	fleet  *fleet
	random *rand.Rand
	// beats says that entries change all the time.
	beats bool

	mu sync.Mutex
	// ranAt holds by request id the upstream that got it last.
	ranAt map[string]string
	// gone holds the ids of the upstreams that have left and write no entries.
	gone     map[string]bool
	sequence int
}

func (r *silentRound) respond(id string) func(standin.ReceivedRequest) standin.WorkerResponse {
	return func(a standin.ReceivedRequest) standin.WorkerResponse {
		r.mu.Lock()
		r.ranAt[a.ID] = id
		r.mu.Unlock()
		return r.fleet.runCounts.respond(a)
	}
}

// write writes the entry of an upstream unless it has left, and reports whether it did.
func (r *silentRound) write(id, address, service, phase string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.gone[id] {
		return false
	}
	r.gone[id] = phase != "ready"
	r.sequence++
	r.fleet.replaceEntry(platform.InstancesPrefix+id, fmt.Sprintf(`{"backend":%q,"address":%q,"zone":%q,"capacity":64,"phase":%q,"sequence":%d}`,
		service, address, processZone, phase, r.sequence))
	return true
}

// beat writes an entry again and again until stop is closed.
func (r *silentRound) beat(id, address, service string, stop <-chan struct{}) {
	offset := time.Duration(r.random.Int64N(int64(heartbeat)))
	go func() {
		for wait := offset; ; wait = heartbeat {
			select {
			case <-stop:
				return
			case <-time.After(wait):
			}
			if !r.write(id, address, service, "ready") {
				return
			}
		}
	}()
}

// leave makes the first upstream leave. Its departure is in the store on return.
func (r *silentRound) leave(how departure) {
	id, address := r.fleet.workerIDs[0], r.fleet.workers[0].address()
	if how == drains {
		r.write(id, address, "pool", "draining")
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.gone[id] = true
	r.fleet.replaceEntry(platform.InstancesPrefix+id, "")
}

// silence makes the open connections of all processes to the store silent, and again those opened
// since after a while. It returns when the last ones have gone silent.
func (r *silentRound) silence(times int) {
	for i := range times {
		if i > 0 {
			time.Sleep(time.Duration(r.random.IntN(900)) * time.Millisecond)
		}
		for _, p := range r.fleet.processes {
			p.store.setMode(blackhole)
			p.store.setMode(forward)
		}
	}
}

// TestSilentStore guards against requests that reach an upstream that has left, and are lost with
// it, since the routers' connections to the store went silent right after its departure: all
// routers follow the store (6), or most poll relays (18).
func TestSilentStore(t *testing.T) {
	from, to := seedRange(t, 1, 2)
	binary := buildProgram(t, "..")
	for seed := from; seed <= to; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(uint64(seed), 1))
			processes := []int{18, 6}[seed%2]
			how := departure(random.IntN(int(departureCount)))
			times := 1 + random.IntN(2)
			lead := time.Duration(random.IntN(600)) * time.Millisecond
			f := newStore(t, binary, largeBudget*1000)
			r := &silentRound{fleet: f, random: random, beats: random.IntN(4) > 0, ranAt: map[string]string{}, gone: map[string]bool{}}
			t.Logf("%d processes, departure %d, %s before the first of %d silences, heartbeats %t", processes, how, lead, times, r.beats)
			r.play(processes, silentBlock+seed%10, how, times, lead)
			f.logOnFailure()
		})
	}
}

func (r *silentRound) play(processes, block int, how departure, times int, lead time.Duration) {
	f := r.fleet
	stop := make(chan struct{})
	defer close(stop)
	for i := range workerCount {
		id := fmt.Sprintf("i-%d", i)
		p := f.startWorker(id, workerAddress(block, i), r.respond(id))
		r.write(id, p.address(), "pool", "ready")
		if r.beats {
			r.beat(id, p.address(), "pool", stop)
		}
	}
	for i := range otherUpstreams {
		id, address := fmt.Sprintf("other-%d", i), workerAddress(block, 50+i)+"1"
		r.write(id, address, "fragile", "ready")
		if r.beats {
			r.beat(id, address, "fragile", stop)
		}
	}
	f.addProcesses(processes, block)
	f.awaitReady(recoveryTimeout)
	time.Sleep(2 * listTime)
	callers := f.callOnce()
	time.Sleep(time.Second)
	r.leave(how)
	time.Sleep(lead)
	r.silence(times)
	bound := time.Now().Add(contactTime + lateSlack)
	time.Sleep(time.Until(bound.Add(leavingServes)))
	sent := callers.end()
	r.check(sent, bound)
}

// onceCallers send unsafe requests over kept connections, and note when.
type onceCallers struct {
	stop chan struct{}
	done sync.WaitGroup
	mu   sync.Mutex
	sent map[string]time.Time
}

// callOnce starts two callers for each process.
func (f *fleet) callOnce() *onceCallers {
	c := &onceCallers{stop: make(chan struct{}), sent: map[string]time.Time{}}
	results := &outcomes{answers: map[string]int{}}
	for i, p := range f.processes {
		for caller := range 2 {
			c.done.Go(func() {
				client := &http.Client{Timeout: requestTimeout + time.Second}
				defer client.CloseIdleConnections()
				for n := 0; ; n++ {
					select {
					case <-c.stop:
						return
					case <-time.After(20 * time.Millisecond):
					}
					id := fmt.Sprintf("once-%d-%d-%d", i, caller, n)
					c.mu.Lock()
					c.sent[id] = time.Now()
					c.mu.Unlock()
					f.sendRequest(client, p, "once", id, results)
				}
			})
		}
	}
	return c
}

// end stops the callers and returns when each request was sent.
func (c *onceCallers) end() map[string]time.Time {
	close(c.stop)
	c.done.Wait()
	return c.sent
}

// check reports the requests that were sent after bound and reached the upstream that left.
func (r *silentRound) check(sent map[string]time.Time, bound time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	leaving := r.fleet.workerIDs[0]
	late, before, after := 0, 0, 0
	for id, at := range sent {
		switch {
		case at.After(bound) && r.ranAt[id] == leaving:
			late++
		case at.After(bound):
			after++
		case r.ranAt[id] == leaving:
			before++
		}
	}
	silences := 0
	for _, p := range r.fleet.processes {
		silences += strings.Count(p.log.String(), "event="+event.StoreSilent)
	}
	r.fleet.t.Logf("the processes found %d silent connections", silences)
	if late > 0 {
		r.fleet.t.Errorf("%d requests reached the upstream that left, more than %s after the silence; %d others were sent then", late, contactTime, after)
	}
	if before == 0 || after == 0 {
		r.fleet.t.Errorf("%d requests reached the upstream before, %d were sent to others after the bound: the test tells nothing", before, after)
	}
}
