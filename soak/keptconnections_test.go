// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package soak

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	// lastBlock is the lowest third octet of the loopback addresses of TestLastRequests.
	lastBlock = 60
	// lastCallers is the number of kept connections to each process, lastStops the number of
	// stops of each.
	lastCallers, lastStops = 4, 2
	// lastPause bounds the pause between two requests of a connection.
	lastPause = 20 * time.Millisecond
)

// lastRequest is a request of a connection that its process closed.
type lastRequest struct {
	id string
	// written says that the whole request was written without an error.
	written bool
	// reset says that the connection was reset, and not closed.
	reset bool
}

// keptConnection sends requests over one connection until its process closes it, or asks for
// that.
type keptConnection struct {
	fleet   *fleet
	process *process
	random  *rand.Rand
	// stays makes it go on after a response that announces the close of the connection.
	stays bool

	mu sync.Mutex
	// last holds the requests without a response, statuses those of the others.
	last     []lastRequest
	statuses map[string]int
}

// run uses one connection after the other until stop is closed.
func (k *keptConnection) run(name string, stop <-chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		default:
		}
		c, err := net.DialTimeout("tcp", k.process.ip+":8227", time.Second)
		if err != nil {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		k.use(c, fmt.Sprintf("once-%s-%d", name, n), stop)
		// The process has closed the connection, or the test ends.
		_ = c.Close()
	}
}

// use sends requests until the connection ends.
func (k *keptConnection) use(c net.Conn, name string, stop <-chan struct{}) {
	reader := bufio.NewReader(c)
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		default:
		}
		id := fmt.Sprintf("%s-%d", name, n)
		request, err := newRequest(k.process, "once", id, "question")
		k.fleet.must(err)
		writeErr := request.Write(c)
		status, closing, err := readStatus(c, reader, requestTimeout+time.Second)
		k.mu.Lock()
		if err != nil {
			k.last = append(k.last, lastRequest{id: id, written: writeErr == nil, reset: errors.Is(err, syscall.ECONNRESET) || errors.Is(writeErr, syscall.ECONNRESET)})
		} else {
			k.statuses[id] = status
		}
		k.mu.Unlock()
		if err != nil || closing && !k.stays {
			return
		}
		time.Sleep(time.Duration(k.random.Int64N(int64(lastPause))))
	}
}

// readStatus reads a response within a time. It returns its status and whether it announces the
// close of the connection.
func readStatus(c net.Conn, reader *bufio.Reader, within time.Duration) (status int, closing bool, err error) {
	if err := c.SetReadDeadline(time.Now().Add(within)); err != nil {
		return 0, false, err
	}
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return 0, false, err
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0, false, err
	}
	return response.StatusCode, response.Close, nil
}

// TestLastRequests guards against requests that run while their process stops and get no
// answer, or one that they did not run. Signals come in series and overlap.
func TestLastRequests(t *testing.T) {
	from, to := seedRange(t, 1, 1)
	binary := buildProgram(t, "..")
	for seed := from; seed <= to; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			block := lastBlock + seed%40
			f := newStore(t, binary, largeBudget*100)
			for i := range workerCount {
				f.addWorker(fmt.Sprintf("i-%d", i), workerAddress(block, i), f.runCounts.respond)
			}
			f.addProcesses(nodeCount, block)
			f.awaitReady(recoveryTimeout)
			time.Sleep(listTime)
			stop := make(chan struct{})
			var running sync.WaitGroup
			var all []*keptConnection
			for i, p := range f.processes {
				for c := range lastCallers {
					k := &keptConnection{fleet: f, process: p, random: rand.New(rand.NewPCG(uint64(seed), uint64(100*i+c))), stays: c%2 == 0, statuses: map[string]int{}}
					all = append(all, k)
					running.Go(func() { k.run(fmt.Sprintf("%d-%d", i, c), stop) })
				}
			}
			f.stopInSeries(seed)
			f.awaitReady(recoveryTimeout)
			close(stop)
			running.Wait()
			f.checkLast(all)
			f.logOnFailure()
		})
	}
}

// stopInSeries stops each process several times, with further signals meanwhile.
func (f *fleet) stopInSeries(seed int) {
	var stops sync.WaitGroup
	for i, p := range f.processes {
		stops.Go(func() {
			random := rand.New(rand.NewPCG(uint64(seed), uint64(1000+i)))
			for range lastStops {
				time.Sleep(time.Duration(random.IntN(800)) * time.Millisecond)
				p.mu.Lock()
				stopping, ended := p.command.Process, p.exited
				p.mu.Unlock()
				var restart sync.WaitGroup
				restart.Go(func() { f.restart(p, syscall.SIGTERM, 20*time.Millisecond) })
				signalUntil(stopping, random, ended)
				restart.Wait()
			}
		})
	}
	stops.Wait()
}

// signalUntil sends further signals that do not end a process earlier until it has ended.
func signalUntil(p *os.Process, random *rand.Rand, ended <-chan struct{}) {
	for {
		select {
		case <-ended:
			return
		case <-time.After(time.Duration(50+random.IntN(600)) * time.Millisecond):
		}
		select {
		case <-ended:
			return
		default:
			// An error means that the process has just ended.
			_ = p.Signal([]syscall.Signal{syscall.SIGHUP, syscall.SIGTERM}[random.IntN(2)])
		}
	}
}

// checkLast compares what the callers saw with the executions.
func (f *fleet) checkLast(all []*keptConnection) {
	f.runCounts.mu.Lock()
	defer f.runCounts.mu.Unlock()
	answered, refused, unread := 0, 0, 0
	for _, k := range all {
		for id, status := range k.statuses {
			runs := f.runCounts.runs[id]
			answered++
			if promisesNotRun(status) {
				refused++
				if runs > 0 {
					f.t.Errorf("%s got status %d and ran", id, status)
				}
			}
			if runs > 1 {
				f.t.Errorf("%s ran %d times", id, runs)
			}
		}
		for _, r := range k.last {
			unread++
			if runs := f.runCounts.runs[r.id]; runs > 0 {
				f.t.Errorf("%s ran, and its connection ended without an answer (reset %t, written %t)", r.id, r.reset, r.written)
			}
		}
	}
	f.t.Logf("%d answered, %d of them refused, %d without an answer", answered, refused, unread)
}
