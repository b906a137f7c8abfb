// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package soak

import (
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"granitehoist.example/granitehoist/standin"
)

const (
	// promisesBlock is the lowest third octet of the loopback addresses of TestPromises.
	promisesBlock = 40
	// promisesDuration is the time during which faults are injected.
	promisesDuration = 5 * time.Second
	// fullPlaces is the number of requests that a full worker runs at a time, fullWork the
	// time that one takes.
	fullPlaces = 2
	fullWork   = 25 * time.Millisecond
	// returningCallers is the number of callers, maxReturns the number of tries of each with
	// the same id.
	returningCallers, maxReturns = 16, 6
	// maxReturnPause bounds the pause before a caller comes back, whatever it is told.
	maxReturnPause = 40 * time.Millisecond
)

// fullWorker rejects requests beyond its places. When the next request has arrived on a
// connection, it sends some rejections of that connection again.
type fullWorker struct {
	fleet *fleet

	mu     sync.Mutex
	active int
	// rejected holds the latest rejection of each connection.
	rejected map[int]string
}

// rejectionText returns the whole response to a request that did not run.
func rejectionText(id string) string {
	return fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: %s\r\nContent-Length: 0\r\nNot-Executed: 1\r\n\r\n", id)
}

// isSurplus reports whether the rejection of a request is sent again, for every second id.
func isSurplus(id string) bool {
	h := fnv.New32a()
	// Write of a hash never fails.
	_, _ = h.Write([]byte(id))
	return h.Sum32()%2 == 0
}

func (w *fullWorker) respond(r standin.ReceivedRequest) standin.WorkerResponse {
	w.mu.Lock()
	defer w.mu.Unlock()
	before := w.rejected[r.Conn]
	delete(w.rejected, r.Conn)
	if w.active >= fullPlaces {
		if isSurplus(r.ID) {
			w.rejected[r.Conn] = rejectionText(r.ID)
		}
		return standin.WorkerResponse{Status: http.StatusServiceUnavailable, NotRun: true, ExtraBefore: before}
	}
	w.active++
	time.AfterFunc(fullWork, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.active--
	})
	w.fleet.runCounts.mu.Lock()
	w.fleet.runCounts.runs[r.ID]++
	w.fleet.runCounts.mu.Unlock()
	if strings.HasSuffix(r.Header.Get("Kind"), "stream") {
		return standin.WorkerResponse{Events: eventsPerStream, Gap: fullWork / eventsPerStream, ExtraBefore: before}
	}
	return standin.WorkerResponse{Body: wholeBody(r.ID), ContentType: "text/plain", Delay: fullWork, ExtraBefore: before}
}

// promisesNotRun reports whether a status promises that a request did not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// returningCaller sends requests that must not run twice, and comes back with the same
// request as long as it is told that it did not run.
type returningCaller struct {
	fleet  *fleet
	number int
	random *rand.Rand
	client *http.Client
	// renewsIDs makes each try have an id of its own.
	renewsIDs bool
	// statuses holds the statuses of the tries of each request, zero without a response.
	statuses map[string][]int
}

// run sends one request after the other until stop is closed.
func (c *returningCaller) run(stop <-chan struct{}) {
	defer c.client.CloseIdleConnections()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		default:
		}
		kind := []string{"once", "oncestream"}[c.random.IntN(2)]
		id := fmt.Sprintf("%s-%d-%d", kind, c.number, n)
		for try := range maxReturns {
			if c.renewsIDs {
				id = fmt.Sprintf("%s-%d-%d-%d", kind, c.number, n, try)
			}
			status, retryAfter := c.send(c.fleet.processes[c.random.IntN(len(c.fleet.processes))], kind, id)
			c.statuses[id] = append(c.statuses[id], status)
			if !promisesNotRun(status) {
				break
			}
			time.Sleep(min(retryAfter, time.Duration(c.random.Int64N(int64(maxReturnPause)))))
		}
	}
}

// send makes one try and returns its status and Retry-After.
func (c *returningCaller) send(p *process, kind, id string) (int, time.Duration) {
	request, err := newRequest(p, kind, id, "question")
	if err != nil {
		c.fleet.t.Error(err)
		return 0, 0
	}
	timeout := 200*time.Millisecond + time.Duration(c.random.Int64N(int64(requestTimeout)))
	request.Header.Set("Deadline-Ms", strconv.FormatInt(timeout.Milliseconds(), 10))
	response, err := c.client.Do(request)
	if err != nil {
		return 0, 0
	}
	// An error of Close doesn't matter once the body has been read.
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0, 0
	}
	seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	return response.StatusCode, time.Duration(seconds * float64(time.Second))
}

// checkPromises compares the answers with the executions at the workers: a request whose
// tries were all refused as not run never ran, and no other ran twice.
func (f *fleet) checkPromises(callers []*returningCaller) {
	f.runCounts.mu.Lock()
	defer f.runCounts.mu.Unlock()
	requests, tries, served := 0, 0, 0
	for _, c := range callers {
		for id, statuses := range c.statuses {
			requests++
			tries += len(statuses)
			last := statuses[len(statuses)-1]
			if last == http.StatusOK {
				served++
			}
			switch runs := f.runCounts.runs[id]; {
			case runs > 1:
				f.t.Errorf("%s ran %d times, its tries got %v", id, runs, statuses)
			case runs == 1 && promisesNotRun(last):
				f.t.Errorf("%s ran, its tries got %v", id, statuses)
			}
		}
	}
	if served == 0 {
		f.t.Error("nothing was served")
	}
	f.t.Logf("%d requests with %d tries, %d served", requests, tries, served)
}

// newFullFleet starts processes and workers that are full.
func newFullFleet(t *testing.T, binary string, block int) *fleet {
	f := newStore(t, binary, largeBudget*100)
	for i := range workerCount {
		w := &fullWorker{fleet: f, rejected: map[int]string{}}
		f.addWorker(fmt.Sprintf("i-%d", i), workerAddress(block, i), w.respond)
	}
	f.addProcesses(processCount(t), block)
	return f
}

// TestPromises guards against refusals as not run of requests that ran, and requests that run
// twice, if full upstreams send rejections again and callers come back with the same id.
func TestPromises(t *testing.T) {
	from, to := seedRange(t, 1, 1)
	binary := buildProgram(t, "..")
	for seed := from; seed <= to; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			f := newFullFleet(t, binary, promisesBlock+seed%40)
			f.awaitReady(recoveryTimeout)
			time.Sleep(listTime)
			stop := make(chan struct{})
			var running sync.WaitGroup
			var callers []*returningCaller
			for i := range returningCallers {
				c := &returningCaller{
					fleet: f, number: i, random: rand.New(rand.NewPCG(uint64(seed), uint64(i))), statuses: map[string][]int{}, renewsIDs: i%3 == 2,
					client: &http.Client{Timeout: requestTimeout + time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableKeepAlives: i%4 == 0}},
				}
				callers = append(callers, c)
				running.Go(func() { c.run(stop) })
			}
			f.failFor(seed, promisesDuration)
			f.awaitReady(recoveryTimeout)
			close(stop)
			running.Wait()
			f.checkPromises(callers)
			f.logOnFailure()
		})
	}
}

// failFor injects faults of processes and workers for a time. Seeds that are multiples of
// three have no faults but those of the workers.
func (f *fleet) failFor(seed int, lasts time.Duration) {
	if seed%3 == 0 {
		time.Sleep(lasts)
		return
	}
	var faults sync.WaitGroup
	until := time.Now().Add(lasts)
	for i := range 3 {
		faults.Go(func() {
			f.disturb(rand.New(rand.NewPCG(uint64(seed), uint64(100+i))), until, killed, stopped, paused, partitioned, storeFault)
		})
	}
	faults.Go(func() {
		random := rand.New(rand.NewPCG(uint64(seed), 200))
		for time.Now().Before(until) {
			w := f.workers[random.IntN(len(f.workers))]
			w.setMode(proxyMode(1 + random.IntN(faultModeCount)))
			time.Sleep(time.Duration(100+random.IntN(900)) * time.Millisecond)
			w.setMode(forward)
			time.Sleep(time.Duration(random.IntN(800)) * time.Millisecond)
		}
	})
	faults.Wait()
}
