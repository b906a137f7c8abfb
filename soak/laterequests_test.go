// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package soak

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"

	"granitehoist.example/granitehoist/standin"
)

const (
	// lateBlock is the lowest third octet of the loopback addresses of TestLateRequests.
	lateBlock = 200
	// lateInterval is the time between two requests to a process.
	lateInterval = 50 * time.Millisecond
	// lateLead is how long before the signal the requests begin.
	lateLead = time.Second
	// lateDeadline is the deadline of the requests. The time of their route is shorter.
	lateDeadline = 10 * time.Second
	// lossSlack is the time after which a request that was sent must not end without an
	// answer, even if it was not passed on.
	lossSlack = 200 * time.Millisecond
)

// lateWorks are the times that the workers take for a request, for the processes in turn.
var lateWorks = []time.Duration{200 * time.Millisecond, 1200 * time.Millisecond, 2300 * time.Millisecond, 4 * time.Second}

// TestLateRequests guards against requests that a stopping process passes on, and that it cuts
// without an answer at the end of its grace period. Nothing else happens meanwhile.
func TestLateRequests(t *testing.T) {
	from, to := seedRange(t, 1, 1)
	binary := buildProgram(t, "..")
	for seed := from; seed <= to; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			block := lateBlock + seed%40
			f := newStore(t, binary, largeBudget*100)
			for i := range workerCount {
				f.addWorker(fmt.Sprintf("i-%d", i), workerAddress(block, i), f.respondLate)
			}
			f.addProcesses(len(lateWorks), block)
			f.awaitReady(recoveryTimeout)
			time.Sleep(listTime)
			var stops sync.WaitGroup
			for i, p := range f.processes {
				stops.Go(func() {
					f.stopBesideRequests(p, lateWorks[i], rand.New(rand.NewPCG(uint64(seed), uint64(i))))
				})
			}
			stops.Wait()
			f.logOnFailure()
		})
	}
}

// workHeader is the time that a worker takes for a request.
const workHeader = "Work"

// respondLate counts an execution and answers after the time in workHeader.
func (f *fleet) respondLate(r standin.ReceivedRequest) standin.WorkerResponse {
	answer := f.runCounts.respond(r)
	// A request without the header is answered at once.
	answer.Delay, _ = time.ParseDuration(r.Header.Get(workHeader))
	return answer
}

// stopBesideRequests sends requests to a process from lateLead before SIGTERM until it accepts
// no connection, and checks that each of them has an answer. At the end of its grace period the
// process is killed, as by the platform.
func (f *fleet) stopBesideRequests(p *process, work time.Duration, random *rand.Rand) {
	p.mu.Lock()
	stopping, ended := p.command.Process, p.exited
	p.mu.Unlock()
	var requests sync.WaitGroup
	signalAt := time.Now().Add(lateLead + time.Duration(random.Int64N(int64(lateInterval))))
	time.AfterFunc(time.Until(signalAt), func() {
		p.signal(syscall.SIGTERM)
		signalUntil(stopping, random, ended)
	})
	time.AfterFunc(time.Until(signalAt)+graceS*time.Second, func() { p.signal(syscall.SIGKILL) })
	for n := 0; ; n++ {
		c, err := net.DialTimeout("tcp", p.ip+":8227", time.Second)
		if err != nil {
			break // it listens no more
		}
		requests.Go(func() {
			f.sendLate(p, c, fmt.Sprintf("late-%s-%d", p.ip, n), work, signalAt)
		})
		time.Sleep(lateInterval)
	}
	requests.Wait()
	<-ended
}

// sendLate sends a request over a connection and checks that it has an answer unless it did not
// run.
func (f *fleet) sendLate(p *process, c net.Conn, id string, work time.Duration, signalAt time.Time) {
	defer func() { _ = c.Close() }()
	request, err := newRequest(p, "once", id, "question")
	if err != nil {
		f.t.Error(err)
		return
	}
	request.Header.Set(workHeader, work.String())
	request.Header.Set("Deadline-Ms", fmt.Sprint(lateDeadline.Milliseconds()))
	sent := time.Now()
	if err := request.Write(c); err != nil {
		return // the process has closed the connection
	}
	status, _, err := readStatus(c, bufio.NewReader(c), 2*graceS*time.Second)
	ended := time.Now()
	f.runCounts.mu.Lock()
	runs := f.runCounts.runs[id]
	f.runCounts.mu.Unlock()
	switch {
	case err == nil && promisesNotRun(status) && runs > 0, runs > 1:
		f.t.Errorf("%s, sent %v after SIGTERM: status %d, and it ran %d times", id, sent.Sub(signalAt), status, runs)
	case err != nil && (runs > 0 || ended.Sub(sent) > lossSlack):
		f.t.Errorf("%s, sent %v after SIGTERM with work of %v: no answer after %v, %d runs: %v", id, sent.Sub(signalAt), work, ended.Sub(sent), runs, err)
	}
}
