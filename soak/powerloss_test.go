// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package soak

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/standin"
)

const (
	// powerLossBlock is the lowest third octet of the loopback addresses of TestPowerLoss.
	powerLossBlock = 120
	// powerLosses is the number of times that all processes are killed together.
	powerLosses = 2
	// longEvents is the number of events of a stream, longGap the time between two.
	longEvents, longGap = 100, 40 * time.Millisecond
	// longPause bounds the pause of a caller between two streams.
	longPause = 1500 * time.Millisecond
	// longTimeout is the deadline that callers send with a stream.
	longTimeout = 10 * time.Second
	// longCallers is the number of callers of each process.
	longCallers = 10
	// minResumedShare is the least share of the streams that callers take up which go on.
	minResumedShare = 0.9
	// powerLossInterval is the time from one loss to the next.
	powerLossInterval = 6 * time.Second
)

// longStreams records what became of the streams that were broken off. It is safe for
// concurrent use.
type longStreams struct {
	mu sync.Mutex
	// taken counts the streams whose caller got an answer when it came back, resumed those
	// of them that went on.
	taken, resumed int
	complete       int
	mixed          []string
	// refused describes the streams that did not go on.
	refused []string
	// slow describes the streams whose refusal took too long.
	slow []string
}

// longCaller opens streams and comes back when they break off.
type longCaller struct {
	fleet   *fleet
	results *longStreams
	name    string
	random  *rand.Rand
	client  *http.Client
	// question is the body of the requests, which routers recognise after a crash; empty means
	// one that all callers have in common.
	question string
}

// run opens one stream after the other until stop is closed.
func (c *longCaller) run(stop <-chan struct{}) {
	defer c.client.CloseIdleConnections()
	time.Sleep(time.Duration(c.random.Int64N(int64(longPause))))
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		default:
		}
		c.stream(fmt.Sprintf("%s-%d", c.name, n), stop)
		// Without a pause all callers would begin their streams at the same time.
		time.Sleep(time.Duration(c.random.Int64N(int64(longPause))))
	}
}

// stream opens a stream and takes it up until it is complete, refused, or was answered by no
// process in time.
func (c *longCaller) stream(name string, stop <-chan struct{}) {
	var held heldStream
	began := time.Now()
	for try := 0; time.Since(began) < longTimeout; try++ {
		before := held
		sent := time.Now()
		result := c.send(&held, fmt.Sprintf("%s-%d", name, try))
		pause := time.Duration(10+c.random.IntN(60)) * time.Millisecond
		if result.comesBack() {
			pause += result.retryAfter
		} else {
			c.results.count(&before, &held, result, time.Since(sent))
		}
		if result.complete || result.wrong != "" || result.status != 0 && !result.comesBack() && held.events == before.events {
			return
		}
		select {
		case <-stop:
			return
		case <-time.After(pause):
		}
	}
}

// longResult is what a request for a stream brought.
type longResult struct {
	// status is zero without a response.
	status int
	// retryAfter is how long a refused caller is asked to wait, zero if it is not.
	retryAfter time.Duration
	// wrong says what is wrong with the events.
	wrong    string
	complete bool
}

// comesBack reports whether the caller was asked to try again.
func (r *longResult) comesBack() bool { return r.retryAfter > 0 }

// send sends one request for the stream to a random process.
func (c *longCaller) send(held *heldStream, id string) longResult {
	return c.sendTo(c.fleet.processes[c.random.IntN(len(c.fleet.processes))], held, id, longTimeout)
}

// sendTo sends one request for the stream to a process and reads the response for some time.
func (c *longCaller) sendTo(to *process, held *heldStream, id string, within time.Duration) longResult {
	request, err := newRequest(to, "long", id, cmp.Or(c.question, "question"))
	c.fleet.must(err)
	request.Header.Set("Deadline-Ms", strconv.FormatInt(longTimeout.Milliseconds(), 10))
	request.Header.Set("Token-Usage", fmt.Sprintf("%d,%d", promptTokens, longEvents*tokensPerEvent))
	if held.root != "" {
		request.Header.Set("Resumes", held.root)
		request.Header.Set("Last-Event-Id", strconv.Itoa(held.events))
	}
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	response, err := c.client.Do(request.WithContext(ctx))
	if err != nil {
		return longResult{}
	}
	// An error of Close doesn't matter once the body has been read.
	defer func() { _ = response.Body.Close() }()
	result := longResult{status: response.StatusCode}
	if response.StatusCode != http.StatusOK {
		// Without a valid number the caller does not come back.
		seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
		result.retryAfter = time.Duration(seconds * float64(time.Second))
		// An error here ends the connection, and the caller uses another one.
		_, _ = io.Copy(io.Discard, response.Body)
		return result
	}
	result.wrong, err = held.read(id, response.Body)
	result.complete = err == nil && result.wrong == "" && held.events == longEvents
	return result
}

// count records one request for a stream of which the caller had before and has now.
func (l *longStreams) count(before, now *heldStream, result longResult, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if result.complete {
		l.complete++
	}
	if result.wrong != "" {
		l.mixed = append(l.mixed, result.wrong)
	}
	if before.root == "" || result.status == 0 {
		return
	}
	l.taken++
	switch {
	case now.events > before.events:
		l.resumed++
		return
	case took > maxRefusalTime:
		l.slow = append(l.slow, fmt.Sprintf("%s refused with %d after %s", before.root, result.status, took))
	}
	l.refused = append(l.refused, fmt.Sprintf("%s after %d events", before.root, before.events))
}

// TestPowerLoss guards against streams that are lost or mixed after all processes were killed
// together while a service has two releases, one of which partly leaves.
func TestPowerLoss(t *testing.T) {
	from, to := seedRange(t, 1, 1)
	binary := buildProgram(t, "..")
	for seed := from; seed <= to; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			block := powerLossBlock + seed%40
			f := newStore(t, binary, largeBudget*1000)
			series := &releaseSeries{fleet: f, serving: map[granitehoist.Release]int{}}
			for n := 1; n <= 2; n++ {
				release := releaseNumber(n)
				for i := range workersPerRelease {
					f.startWorker(fmt.Sprintf("%s-%d", release, i), workerAddress(block, workersPerRelease*n+i), func(standin.ReceivedRequest) standin.WorkerResponse {
						return standin.WorkerResponse{Events: longEvents, Gap: longGap, Label: string(release)}
					})
				}
				series.add(release)
			}
			f.addProcesses(processCount(t), block)
			f.awaitReady(recoveryTimeout)
			time.Sleep(listTime)
			results := &longStreams{}
			stop := make(chan struct{})
			var callers sync.WaitGroup
			for i := range longCallers * len(f.processes) {
				c := &longCaller{
					fleet: f, results: results, name: fmt.Sprint("long-", i), random: rand.New(rand.NewPCG(uint64(seed), uint64(i))),
					client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}},
				}
				callers.Go(func() { c.run(stop) })
			}
			f.losePower(series, seed)
			f.awaitReady(recoveryTimeout)
			time.Sleep(time.Second)
			close(stop)
			callers.Wait()
			results.check(t)
			f.logOnFailure()
		})
	}
}

// losePower kills all processes together several times, for odd seeds once with one process
// left. Before the last loss one worker of the first release drains.
func (f *fleet) losePower(series *releaseSeries, seed int) {
	random := rand.New(rand.NewPCG(uint64(seed), 500))
	for n := range powerLosses {
		time.Sleep(powerLossInterval/2 + time.Duration(random.Int64N(int64(time.Second))))
		if n == powerLosses-1 {
			series.drainOne(releaseNumber(1))
			time.Sleep(500 * time.Millisecond)
		}
		spared := 0
		if seed%2 == 1 && n == 0 {
			spared = 1
		}
		var restarts sync.WaitGroup
		for _, i := range random.Perm(len(f.processes))[spared:] {
			p := f.processes[i]
			// All are killed before the first starts again.
			p.signal(syscall.SIGKILL)
			restarts.Go(func() { f.restart(p, syscall.SIGKILL, 100*time.Millisecond) })
		}
		restarts.Wait()
	}
	time.Sleep(powerLossInterval / 2)
}

// check reports mixed streams, late refusals and a share of resumed streams that is too low.
func (l *longStreams) check(t *testing.T) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, text := range l.mixed {
		t.Error(text)
	}
	for _, text := range l.slow {
		t.Error(text)
	}
	if l.complete == 0 || l.taken == 0 {
		t.Error("no stream was complete, or none was taken up")
	}
	if float64(l.resumed) < minResumedShare*float64(l.taken) {
		t.Errorf("%d of %d streams that callers took up went on", l.resumed, l.taken)
	}
	t.Logf("%d of %d streams went on, %d complete; refused: %s", l.resumed, l.taken, l.complete, strings.Join(l.refused, ", "))
}
