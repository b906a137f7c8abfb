// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package soak

import (
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

// faultHistory records the faults of a process, which may overlap. The zero value is that of
// a process without faults. It is safe for concurrent use.
type faultHistory struct {
	mu     sync.Mutex
	active int
	// endedAt is when the latest fault ended, zero if there was none.
	endedAt time.Time
}

// begin records the begin of a fault.
func (h *faultHistory) begin() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.active++
}

// end records the end of a fault at now.
func (h *faultHistory) end(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.active--
	h.endedAt = now
}

// inTouch reports whether no fault was active within contactTime before now.
func (h *faultHistory) inTouch(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.active == 0 && (h.endedAt.IsZero() || now.Sub(h.endedAt) >= contactTime)
}

// undisturbedSince reports whether no fault was active at a time or after it.
func (h *faultHistory) undisturbedSince(at time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.active == 0 && h.endedAt.Before(at)
}

// inTouch reports whether the process at ip had no fault within contactTime before now.
func (f *fleet) inTouch(ip string, now time.Time) bool {
	for _, p := range f.processes {
		if p.ip == ip {
			return p.faults.inTouch(now)
		}
	}
	return true
}

// processFault is a fault of a single process.
type processFault int

const (
	// killed: the process is killed and starts again.
	killed processFault = iota
	// stopped: the process stops in good order and starts again.
	stopped
	// paused: the process does not run for a while.
	paused
	// partitioned: the process is cut off from all workers.
	partitioned
	// storeFault: the connections of the process to the store fail.
	storeFault
)

// inject injects a fault of a process and returns when it is over.
func (f *fleet) inject(fault processFault, p *process, random *rand.Rand) {
	p.faults.begin()
	defer func() { p.faults.end(time.Now()) }()
	switch fault {
	case killed:
		f.restart(p, syscall.SIGKILL, 50*time.Millisecond)
	case stopped:
		f.restart(p, syscall.SIGTERM, 50*time.Millisecond)
	case paused:
		p.signal(syscall.SIGSTOP)
		time.Sleep(700 * time.Millisecond)
		p.signal(syscall.SIGCONT)
	case partitioned:
		p.partitionMu.Lock()
		defer p.partitionMu.Unlock()
		f.partition(p, cutKind(1+random.IntN(cutKindCount)))
		time.Sleep(time.Second)
		f.partition(p, connected)
	case storeFault:
		p.store.setMode(proxyMode(1 + random.IntN(faultModeCount)))
		time.Sleep(time.Second)
		p.store.setMode(forward)
	}
}

// workerStall is how long a worker is silent. Requests sent to it reach it afterwards.
const workerStall = time.Second

// stallWorker makes a worker silent for a while.
func (f *fleet) stallWorker(random *rand.Rand) {
	w := f.workers[random.IntN(len(f.workers))]
	w.setMode(stall)
	time.Sleep(workerStall)
	w.setMode(forward)
}

// disturb injects faults at single processes and workers, one after the other, those of
// processes chosen from a list.
func (f *fleet) disturb(random *rand.Rand, until time.Time, faults ...processFault) {
	for time.Now().Before(until) {
		p := f.processes[random.IntN(len(f.processes))]
		if kind := random.IntN(len(faults) + 1); kind < len(faults) {
			f.inject(faults[kind], p, random)
		} else {
			f.stallWorker(random)
		}
		time.Sleep(time.Duration(random.IntN(1500)) * time.Millisecond)
	}
}
