// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package soak

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"granitehoist.example/granitehoist/platform"
	"granitehoist.example/granitehoist/standin"
)

const (
	// endlessBlock is the lowest third octet of the loopback addresses of TestEndless.
	endlessBlock = 30
	// endlessMemory is the memory limit of each process in bytes, at which it is killed.
	endlessMemory = 284 << 20
	// endlessTime is how long the callers send, endlessCallers their number.
	endlessTime    = 10 * time.Second
	endlessCallers = 24
	// faultyWorkers is the number of workers of which endlessShare of the responses have no
	// end.
	faultyWorkers = 2
	endlessShare  = 0.1
	// largeRequestShare is the share of requests with a body of largeRequestBytes.
	largeRequestShare = 0.05
	largeRequestBytes = 4 << 20
	// configInterval is the time between two configurations.
	configInterval = 700 * time.Millisecond
	// answerSlack is the time beyond its deadline within which a request has its answer.
	answerSlack = 1500 * time.Millisecond
	// maxEndlessLost is the number of requests that may be lost on kept connections.
	maxEndlessLost = 3
)

// endlessService answers at workers of which the first ones have responses without an end.
type endlessService struct {
	mu     sync.Mutex
	random *rand.Rand
	// sound holds the requests that a sound worker ran, endless counts the responses without
	// an end.
	sound   map[string]bool
	endless int
}

// respond returns the response of a worker, which keeps no bodies.
func (s *endlessService) respond(worker int, a standin.ReceivedRequest) standin.WorkerResponse {
	response := s.responseOf(worker, a)
	response.DiscardBody = true
	return response
}

// responseOf returns the response of a worker.
func (s *endlessService) responseOf(worker int, a standin.ReceivedRequest) standin.WorkerResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	if worker < faultyWorkers && s.random.Float64() < endlessShare {
		s.endless++
		parts := standin.EndlessParts()
		response := standin.WorkerResponse{Endless: standin.Endless{Part: parts[s.random.IntN(len(parts))]}}
		if s.random.IntN(3) == 0 {
			response.Endless.Pause = time.Duration(1+s.random.IntN(50)) * time.Millisecond
		}
		return response
	}
	if worker >= faultyWorkers {
		s.sound[a.ID] = true
	}
	if a.Header.Get("Kind") == "stream" {
		return standin.WorkerResponse{Events: eventsPerStream, Gap: 15 * time.Millisecond}
	}
	return standin.WorkerResponse{Body: "run of " + a.ID, Delay: 10 * time.Millisecond}
}

// ranAtSoundWorker reports whether a sound worker ran a request.
func (s *endlessService) ranAtSoundWorker(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sound[id]
}

// residentBytes returns the resident memory of a process, zero if it has ended.
func residentBytes(pid int) int64 {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(raw), "\n") {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmRSS:" {
			kilobytes, err := strconv.ParseInt(fields[1], 10, 64)
			if err == nil {
				return kilobytes << 10
			}
		}
	}
	return 0
}

// pid returns the id of the process that runs now.
func (p *process) pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.command.Process.Pid
}

// watchMemory returns the most memory that a process used until stop is closed.
func (f *fleet) watchMemory(stop <-chan struct{}) (peak int64) {
	for {
		select {
		case <-stop:
			return peak
		case <-time.After(10 * time.Millisecond):
		}
		for _, p := range f.processes {
			peak = max(peak, residentBytes(p.pid()))
		}
	}
}

// keptCaller sends requests over one connection as long as it stays open, also to a process
// that stops.
type keptCaller struct {
	run    *endlessRun
	random *rand.Rand
	number int

	conn   net.Conn
	reader *bufio.Reader
	// requests is the number of requests on the connection.
	requests int
}

// sendUntilEnd sends requests until the end of the run.
func (c *keptCaller) sendUntilEnd() {
	processes := c.run.fleet.processes
	target := c.number
	for n := 0; time.Now().Before(c.run.until); n++ {
		p := processes[target%len(processes)]
		if c.conn == nil && !c.connect(p) {
			target++
			continue
		}
		if !c.send(p, fmt.Sprintf("endless-%d-%d", c.number, n)) {
			_ = c.conn.Close() // the connection is not used any more
			c.conn = nil
			target += 1 + c.random.IntN(len(processes)-1)
		}
		time.Sleep(time.Duration(c.random.IntN(40)) * time.Millisecond)
	}
	if c.conn != nil {
		_ = c.conn.Close()
	}
}

// connect opens a connection to a process.
func (c *keptCaller) connect(p *process) bool {
	conn, err := net.DialTimeout("tcp", p.ip+":8227", time.Second)
	if err != nil {
		time.Sleep(20 * time.Millisecond)
		return false
	}
	c.conn, c.reader, c.requests = conn, bufio.NewReader(conn), 0
	return true
}

// send sends a request and reports whether its connection may be used further.
func (c *keptCaller) send(p *process, id string) bool {
	kind := []string{"safe", "once", "stream"}[c.random.IntN(3)]
	size := 10
	if c.random.Float64() < largeRequestShare {
		size = largeRequestBytes
	}
	request, err := newRequest(p, kind, id, strings.Repeat("x", size))
	if err != nil {
		c.run.fleet.t.Error(err)
		return false
	}
	sent, incarnation := time.Now(), p.pid()
	kept := c.requests > 0
	c.requests++
	if c.conn.SetDeadline(sent.Add(requestTimeout+answerSlack)) != nil {
		return false
	}
	if err := request.Write(c.conn); err != nil {
		return false
	}
	response, err := http.ReadResponse(c.reader, request)
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
	}
	// What a signal ends is judged by other tests.
	undisturbed := p.faults.undisturbedSince(sent) && p.pid() == incarnation
	if undisturbed && time.Since(sent) > requestTimeout+answerSlack {
		c.run.late.Add(1)
	}
	if undisturbed && kept && response == nil && c.run.service.ranAtSoundWorker(id) {
		c.run.lost.Add(1)
	}
	if err == nil && response.StatusCode == http.StatusOK {
		c.run.served.Add(1)
	}
	return err == nil && !response.Close
}

// TestEndless guards against processes that run out of memory, and requests that are lost or
// late, beside workers whose responses have no end, under faults.
func TestEndless(t *testing.T) {
	from, to := seedRange(t, 1, 3)
	binary := buildProgram(t, "..")
	for seed := from; seed <= to; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			runEndless(t, binary, seed)
		})
	}
}

// endlessRun is a run of TestEndless.
type endlessRun struct {
	fleet   *fleet
	service *endlessService
	seed    int
	until   time.Time
	// peak is the most memory that a process used, in bytes.
	peak               int64
	lost, served, late atomic.Int64
}

// random returns the random numbers of a part of the run.
func (r *endlessRun) random(part uint64) *rand.Rand {
	return rand.New(rand.NewPCG(uint64(r.seed), part))
}

// runEndless runs callers and faults beside workers whose responses have no end.
func runEndless(t *testing.T, binary string, seed int) {
	r := &endlessRun{fleet: newStore(t, binary, 1000*largeBudget), seed: seed}
	r.service = &endlessService{random: r.random(1), sound: map[string]bool{}}
	r.fleet.memoryLimit = endlessMemory
	block := endlessBlock + seed%40
	for i := range workerCount {
		r.fleet.addWorker(fmt.Sprintf("i-%d", i), workerAddress(block, i), func(a standin.ReceivedRequest) standin.WorkerResponse {
			return r.service.respond(i, a)
		})
	}
	r.fleet.addProcesses(nodeCount, block)
	r.fleet.awaitReady(recoveryTimeout)
	r.until = time.Now().Add(endlessTime)
	stop := make(chan struct{})
	var watching, playing sync.WaitGroup
	watching.Go(func() { r.peak = r.fleet.watchMemory(stop) })
	for i := range endlessCallers {
		c := &keptCaller{run: r, random: r.random(uint64(1000 + i)), number: i}
		playing.Go(c.sendUntilEnd)
	}
	playing.Go(r.changeConfiguration)
	for i := range concurrentFaults {
		playing.Go(func() { r.disturb(r.random(uint64(100 + i))) })
	}
	playing.Wait()
	close(stop)
	watching.Wait()
	r.check()
}

// changeConfiguration writes one configuration after the other.
func (r *endlessRun) changeConfiguration() {
	for revision := 2; time.Now().Before(r.until); revision++ {
		r.fleet.replaceEntry(platform.ConfigKey, r.fleet.configuration(revision))
		time.Sleep(configInterval)
	}
}

// disturb injects faults at processes, one after the other.
func (r *endlessRun) disturb(random *rand.Rand) {
	for time.Now().Before(r.until) {
		p := r.fleet.processes[random.IntN(len(r.fleet.processes))]
		r.fleet.inject([]processFault{killed, stopped, paused, storeFault}[random.IntN(4)], p, random)
		time.Sleep(time.Duration(random.IntN(1500)) * time.Millisecond)
	}
}

// check checks the memory of the processes and the answers of the callers.
func (r *endlessRun) check() {
	t := r.fleet.t
	t.Logf("%d served, %d lost, %d late, %d responses without an end, %d MB at most", r.served.Load(), r.lost.Load(), r.late.Load(), r.service.endless, r.peak>>20)
	if r.peak > endlessMemory {
		t.Errorf("a process used %d MB of %d MB", r.peak>>20, endlessMemory>>20)
	}
	if r.lost.Load() > maxEndlessLost {
		t.Errorf("%d requests were lost on kept connections", r.lost.Load())
	}
	if r.late.Load() > 0 {
		t.Errorf("%d requests had no answer in time", r.late.Load())
	}
	if r.service.endless == 0 || r.served.Load() == 0 {
		t.Errorf("%d responses without an end, %d requests served", r.service.endless, r.served.Load())
	}
	r.fleet.awaitReady(recoveryTimeout)
	r.fleet.logOnFailure()
}
