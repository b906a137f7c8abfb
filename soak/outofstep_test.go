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

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/standin"
)

const (
	// stepBlock is the lowest third octet of the loopback addresses of TestOutOfStep.
	stepBlock = 160
	// stepRounds is the number of releases that join in a run, one after the other.
	stepRounds = 3
	// stepTime bounds the time for which a process is out of step before a release joins, and
	// joinTime that from then until the streams break.
	stepTime, joinTime = 500 * time.Millisecond, 1500 * time.Millisecond
	// stepStreams is the number of streams that begin in each round.
	stepStreams = 48
	// stepBrokenShare is the share of the workers whose connections are reset.
	stepBrokenShare = 0.4
	// minStepResumed is the least share of the streams that go on at processes in step.
	minStepResumed = 0.9
)

// isolation says what a process that is out of step hears.
type isolation int

const (
	// frozenProcess hears nothing and does nothing.
	frozenProcess isolation = iota
	// withoutStore hears its neighbours.
	withoutStore
	// withoutNeighbours hears the store.
	withoutNeighbours
	// withoutBoth hears neither.
	withoutBoth
)

const isolationCount = int(withoutBoth) + 1

func (i isolation) String() string {
	return [isolationCount]string{"frozen", "without the store", "without neighbours", "without both"}[i]
}

// stepCounts counts the streams that were taken up, and those of them that went on.
type stepCounts struct {
	taken, resumed int
	mixed          []string
}

// TestOutOfStep guards against streams of a release that go on at another one, at a process
// that was out of step while the release joined.
func TestOutOfStep(t *testing.T) {
	from, to := seedRange(t, 1, 1)
	binary := buildProgram(t, "..")
	for seed := from; seed <= to; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			block := stepBlock + seed%20
			f := newStore(t, binary, largeBudget*1000)
			series := &releaseSeries{fleet: f, serving: map[granitehoist.Release]int{}}
			for n := 1; n <= stepRounds+1; n++ {
				release := releaseNumber(n)
				for i := range workersPerRelease {
					f.startWorker(fmt.Sprintf("%s-%d", release, i), workerAddress(block, workersPerRelease*n+i), func(standin.ReceivedRequest) standin.WorkerResponse {
						return standin.WorkerResponse{Events: longEvents, Gap: longGap, Label: string(release)}
					})
				}
			}
			series.add(releaseNumber(1))
			f.addProcesses(processCount(t), block)
			f.awaitReady(recoveryTimeout)
			time.Sleep(listTime)
			random := rand.New(rand.NewPCG(uint64(seed), 700))
			for n := range stepRounds {
				r := &stepRound{fleet: f, series: series, seed: seed, number: n, isolation: isolation((seed + n) % isolationCount), random: random}
				r.process = f.processes[random.IntN(len(f.processes))]
				r.run()
				f.awaitReady(recoveryTimeout)
			}
			f.logOnFailure()
		})
	}
}

// stepRound is one release that joins while a process is out of step.
type stepRound struct {
	fleet        *fleet
	series       *releaseSeries
	seed, number int
	process      *process
	isolation    isolation
	random       *rand.Rand
}

// run lets a release join while the process is out of step. Streams begin at the other
// processes; then the connections of some workers are reset, and the callers take their streams up
// at the process, and later at all of them.
func (r *stepRound) run() {
	f, release := r.fleet, releaseNumber(r.number+2)
	r.separate()
	time.Sleep(time.Duration(r.random.Int64N(int64(stepTime))))
	r.series.add(release)
	streams := r.begin(time.Now().Add(joinTime))
	joined := 0
	for _, s := range streams {
		if s.held.release == string(release) {
			joined++
		}
	}
	r.cutNeighbours()
	for i, id := range f.workerIDs {
		if r.random.Float64() < stepBrokenShare || id == string(release)+"-0" {
			// A worker that refused connections too would count as crashed by its requests, and
			// routers would then keep all requests like them to one worker.
			f.workers[i].setMode(reset)
			f.workers[i].setMode(forward)
		}
	}
	var at, elsewhere stepCounts
	var healing sync.WaitGroup
	healing.Go(func() {
		// The process finds the requests in its sockets.
		time.Sleep(time.Duration(r.random.Int64N(int64(stepTime))))
		r.process.signal(syscall.SIGCONT)
	})
	r.takeUp(streams, "first", func(int) *process { return r.process }, &at)
	healing.Wait()
	r.heal()
	time.Sleep(contactTime)
	r.takeUp(streams, "second", func(i int) *process { return f.processes[i%len(f.processes)] }, &elsewhere)
	for _, text := range append(at.mixed, elsewhere.mixed...) {
		f.t.Errorf("round %d, %v: %s", r.number, r.isolation, text)
	}
	f.t.Logf("round %d, %v: %d streams of the new release; %d of %d streams went on there, %d of %d after it was in step", r.number, r.isolation, joined, at.resumed, at.taken, elsewhere.resumed, elsewhere.taken)
	if joined == 0 {
		f.t.Errorf("round %d, %v: no stream of the new release", r.number, r.isolation)
	}
	if float64(elsewhere.resumed) < minStepResumed*float64(elsewhere.taken) {
		f.t.Errorf("round %d, %v: only %d of %d streams went on in step", r.number, r.isolation, elsewhere.resumed, elsewhere.taken)
	}
}

// separate begins the isolation of the process.
func (r *stepRound) separate() {
	switch r.isolation {
	case frozenProcess:
		r.process.signal(syscall.SIGSTOP)
	case withoutStore, withoutBoth:
		r.process.store.setMode([]proxyMode{stall, reset}[r.random.IntN(2)])
	case withoutNeighbours:
		// The neighbours have to serve until the streams have begun.
	}
}

// cutNeighbours freezes the other processes, if the process must not hear them.
func (r *stepRound) cutNeighbours() {
	if r.isolation == withoutNeighbours || r.isolation == withoutBoth {
		r.signalOthers(syscall.SIGSTOP)
	}
}

func (r *stepRound) signalOthers(s syscall.Signal) {
	for _, p := range r.fleet.processes {
		if p != r.process {
			p.signal(s)
		}
	}
}

// heal ends the isolation.
func (r *stepRound) heal() {
	r.process.store.setMode(forward)
	r.signalOthers(syscall.SIGCONT)
}

// stepStream is a stream that a caller took up.
type stepStream struct {
	caller longCaller
	held   heldStream
	name   string
}

// begin begins streams at the other processes until the given time, and leaves those that have
// not ended by then.
func (r *stepRound) begin(until time.Time) []*stepStream {
	var others []*process
	for _, p := range r.fleet.processes {
		if p != r.process {
			others = append(others, p)
		}
	}
	var all []*stepStream
	var callers sync.WaitGroup
	for i := range stepStreams {
		s := &stepStream{name: fmt.Sprintf("step-%d-%d-%d", r.seed, r.number, i)}
		s.caller = longCaller{fleet: r.fleet, question: s.name, client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
		all = append(all, s)
		delay := time.Duration(r.random.Int64N(int64(joinTime)))
		callers.Go(func() {
			time.Sleep(delay)
			s.send(others[i%len(others)], "begin", time.Until(until))
		})
	}
	callers.Wait()
	return all
}

// send sends one request for the stream to a process and reads the answer for some time.
func (s *stepStream) send(to *process, try string, within time.Duration) longResult {
	return s.caller.sendTo(to, &s.held, s.name+"-"+try, within)
}

// takeUp takes the streams up at a process each, and counts what came of it.
func (r *stepRound) takeUp(streams []*stepStream, try string, at func(int) *process, counts *stepCounts) {
	var mu sync.Mutex
	var callers sync.WaitGroup
	for i, s := range streams {
		if s.held.root == "" || s.held.events == longEvents {
			continue
		}
		callers.Go(func() {
			before := s.held.events
			result := s.send(at(i), try, requestTimeout)
			mu.Lock()
			defer mu.Unlock()
			counts.taken++
			if s.held.events > before {
				counts.resumed++
			}
			if result.wrong != "" {
				counts.mixed = append(counts.mixed, s.name+": "+result.wrong)
			}
		})
	}
	callers.Wait()
}
