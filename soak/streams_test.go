// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package soak

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/platform"
	"granitehoist.example/granitehoist/standin"
)

const (
	// streamsBlock is the lowest third octet of the loopback addresses of TestStreams.
	streamsBlock = 100
	// streamsDuration is the time during which releases change and faults are injected.
	streamsDuration = 12 * time.Second
	// workersPerRelease is the number of workers of each release, streamReleases that of
	// the releases that follow each other. Two releases serve at a time, at times three.
	workersPerRelease, streamReleases = 3, 5
	// releaseInterval is the time from one release to the next.
	releaseInterval = 2500 * time.Millisecond
	// labelledEvents is the number of events of a stream, labelledGap the time between two.
	labelledEvents = 12
	labelledGap    = 25 * time.Millisecond
	// streamCallerCount is the number of callers, maxTries the number of requests that one
	// sends for a stream.
	streamCallerCount, maxTries = 12, 4
	// breakOffEvery makes a worker break off each stream of that number.
	breakOffEvery = 5
	// minResumes is the number of resumed streams from which their share is judged.
	minResumes = 12
	// maxRefusalTime is the longest time that a process in touch takes to refuse a stream
	// that it can't resume. It leaves room for a busy machine.
	maxRefusalTime = time.Second
)

// releaseSeries replaces the workers of a service by those of further releases.
type releaseSeries struct {
	fleet *fleet

	mu sync.Mutex
	// serving is the number of announced workers of each release that do not drain.
	serving map[granitehoist.Release]int
}

// releaseNumber returns the name of the n-th release.
func releaseNumber(n int) granitehoist.Release { return granitehoist.Release(fmt.Sprintf("v%d", n)) }

// respondAt returns the responses of the workers of a release. A stream is broken off now
// and then, with a reset or within an event. Nobody can tell the whole of a stream without
// a length from one whose connection ends between two events, so that such a stream ends
// within one.
func respondAt(release granitehoist.Release) func(standin.ReceivedRequest) standin.WorkerResponse {
	return func(r standin.ReceivedRequest) standin.WorkerResponse {
		response := standin.WorkerResponse{Events: labelledEvents, Gap: labelledGap, Label: string(release), Unframed: r.Number%3 == 0}
		if r.Number%breakOffEvery == 0 {
			withinEvent := response.Unframed || r.Number%2 == 0
			response.Cut = standin.Cut{Set: true, After: r.After + 1 + r.Number%4, MidEvent: withinEvent, FIN: withinEvent}
		}
		return response
	}
}

// start starts the workers of all releases, which are announced later.
func (s *releaseSeries) start(block int) {
	for n := 1; n <= streamReleases; n++ {
		release := releaseNumber(n)
		for i := range workersPerRelease {
			s.fleet.startWorker(fmt.Sprintf("%s-%d", release, i), workerAddress(block, workersPerRelease*n+i), respondAt(release))
		}
	}
}

// add announces the workers of a release.
func (s *releaseSeries) add(release granitehoist.Release) {
	for i, id := range s.fleet.workerIDs {
		if strings.HasPrefix(id, string(release)+"-") {
			s.fleet.announce(id, s.fleet.workers[i], release, processZone)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.serving[release] = workersPerRelease
}

// drain makes the workers of a release drain and removes their entries later. They serve
// on.
func (s *releaseSeries) drain(release granitehoist.Release) {
	s.mu.Lock()
	s.serving[release] = 0
	s.mu.Unlock()
	for i, id := range s.fleet.workerIDs {
		if strings.HasPrefix(id, string(release)+"-") {
			s.fleet.replaceEntry(platform.InstancesPrefix+id, instanceEntry(s.fleet.workers[i], release, processZone, "draining"))
		}
	}
}

// drainOne makes one worker of a release drain. It serves on.
func (s *releaseSeries) drainOne(release granitehoist.Release) {
	s.mu.Lock()
	s.serving[release]--
	s.mu.Unlock()
	for i, id := range s.fleet.workerIDs {
		if strings.HasPrefix(id, string(release)+"-") {
			s.fleet.replaceEntry(platform.InstancesPrefix+id, instanceEntry(s.fleet.workers[i], release, processZone, "draining"))
			return
		}
	}
}

// servingOf returns the number of workers of a release that serve.
func (s *releaseSeries) servingOf(release granitehoist.Release) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.serving[release]
}

// run replaces one release by the next until the last one serves.
func (s *releaseSeries) run() {
	for n := 2; n <= streamReleases; n++ {
		time.Sleep(releaseInterval)
		s.add(releaseNumber(n))
		time.Sleep(releaseInterval / 3)
		if n > 2 {
			s.drain(releaseNumber(n - 2))
		}
	}
}

// streamOutcomes records what the callers of streams saw. It is safe for concurrent use.
type streamOutcomes struct {
	mu sync.Mutex
	// mixed describes the streams with events of two releases or with events that are
	// missing, repeated or cut.
	mixed []string
	// began and asked count new streams at processes in touch, resumed and taken those that
	// callers took up there while two workers of their release served.
	began, asked, resumed, taken int
	// refused counts the streams that could not be resumed, slow describes those whose
	// refusal took too long.
	refused int
	slow    []string
}

// heldStream is what a caller has of a stream.
type heldStream struct {
	// root is the request that brought the first event, empty before.
	root    string
	events  int
	release string
}

// take adds an event's lines to the stream and returns what is wrong with it.
func (h *heldStream) take(id string, data []string) string {
	if len(data) != 2 || !strings.HasPrefix(data[0], "id: ") {
		return fmt.Sprintf("an event with the lines %q", data)
	}
	number, err := strconv.Atoi(strings.TrimPrefix(data[0], "id: "))
	_, release, labelled := strings.Cut(strings.TrimPrefix(data[1], "data: "), " ")
	switch {
	case err != nil || !labelled:
		return fmt.Sprintf("an event with the lines %q", data)
	case number != h.events+1:
		return fmt.Sprintf("event %d follows %d", number, h.events)
	case h.release != "" && h.release != release:
		return fmt.Sprintf("event %d of %s follows events of %s", number, release, h.release)
	}
	if h.root == "" {
		h.root = id
	}
	h.events, h.release = number, release
	return ""
}

// read adds the events of a response to the stream until one is wrong, which it describes, or
// the body ends. The error is that of the body.
func (h *heldStream) read(id string, body io.Reader) (wrong string, err error) {
	lines := bufio.NewScanner(body)
	var event []string
	for lines.Scan() {
		if lines.Text() != "" {
			event = append(event, lines.Text())
			continue
		}
		if wrong := h.take(id, event); wrong != "" {
			return wrong, nil
		}
		event = nil
	}
	return "", lines.Err()
}

// streamCaller opens streams and resumes those that break off, at other processes.
type streamCaller struct {
	fleet   *fleet
	series  *releaseSeries
	results *streamOutcomes
	number  int
	random  *rand.Rand
	client  *http.Client
	process *process
}

// run opens one stream after the other until stop is closed.
func (c *streamCaller) run(stop <-chan struct{}) {
	defer c.client.CloseIdleConnections()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		default:
		}
		var held heldStream
		for try := range maxTries {
			if c.send(&held, fmt.Sprintf("s-%d-%d-%d", c.number, n, try)) {
				break
			}
			c.process = c.fleet.processes[c.random.IntN(len(c.fleet.processes))]
			time.Sleep(time.Duration(c.random.IntN(80)) * time.Millisecond)
		}
	}
}

// send sends one request for a stream and reports whether the stream is complete.
func (c *streamCaller) send(held *heldStream, id string) bool {
	before := *held
	request, err := newRequest(c.process, "stream", id, "question")
	if err != nil {
		c.fleet.t.Error(err)
		return true
	}
	if before.root != "" {
		request.Header.Set("Resumes", before.root)
		request.Header.Set("Last-Event-Id", strconv.Itoa(before.events))
	}
	sent := time.Now()
	inTouch := c.fleet.inTouch(c.process.ip, sent)
	status, wrong, complete := c.read(request, held, id)
	inTouch = inTouch && c.fleet.inTouch(c.process.ip, time.Now())
	c.results.count(c.series, &before, held, status, inTouch, time.Since(sent))
	if wrong != "" {
		c.results.addMixed(fmt.Sprintf("%s (root %s): %s", id, before.root, wrong))
	}
	return complete || wrong != ""
}

// read reads the response to a request into the stream. It returns the status, zero without
// one, what is wrong with the events, and whether the stream is complete.
func (c *streamCaller) read(request *http.Request, held *heldStream, id string) (status int, wrong string, complete bool) {
	response, err := c.client.Do(request)
	if err != nil {
		return 0, "", false
	}
	// An error of Close doesn't matter once the body has been read.
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		// An error here ends the connection, and the caller uses another one.
		_, _ = io.Copy(io.Discard, response.Body)
		return response.StatusCode, "", false
	}
	wrong, err = held.read(id, response.Body)
	if wrong != "" {
		return response.StatusCode, wrong, false
	}
	complete = err == nil
	if complete && held.events != labelledEvents {
		wrong = fmt.Sprintf("complete after %d events", held.events)
	}
	return response.StatusCode, wrong, complete
}

// count counts a request for a stream of which the caller had before and has now.
func (o *streamOutcomes) count(series *releaseSeries, before, now *heldStream, status int, inTouch bool, took time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	wentOn := now.events > before.events
	refused := status == http.StatusServiceUnavailable
	if refused && before.root != "" {
		o.refused++
		if inTouch && took > maxRefusalTime {
			o.slow = append(o.slow, fmt.Sprintf("%s refused after %s", before.root, took))
		}
	}
	switch {
	case !inTouch:
	case before.root == "":
		o.asked++
		if wentOn {
			o.began++
		}
	case series.servingOf(granitehoist.Release(before.release)) >= 2:
		o.taken++
		if wentOn {
			o.resumed++
		}
	}
}

func (o *streamOutcomes) addMixed(text string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.mixed = append(o.mixed, text)
}

// check compares the shares of new and of resumed streams and reports mixed ones.
func (o *streamOutcomes) check(t *testing.T) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, text := range o.mixed {
		t.Error(text)
	}
	for _, text := range o.slow {
		t.Error(text)
	}
	if o.began == 0 {
		t.Error("no stream began at a process in touch")
	}
	if o.taken >= minResumes && 2*o.resumed*o.asked < o.taken*o.began {
		t.Errorf("%d of %d resumed streams went on, %d of %d new ones began", o.resumed, o.taken, o.began, o.asked)
	}
	t.Logf("in touch: %d of %d resumed, %d of %d began; %d refused in all", o.resumed, o.taken, o.began, o.asked, o.refused)
}

// killTogether kills a number of processes at the same time and starts them again.
func (f *fleet) killTogether(random *rand.Rand, count int) {
	var restarts sync.WaitGroup
	for _, i := range random.Perm(len(f.processes))[:count] {
		restarts.Go(func() { f.inject(killed, f.processes[i], random) })
	}
	restarts.Wait()
}

// runUnderFaults replaces the releases while processes, workers and the store fail, and some
// processes are killed together.
func (s *releaseSeries) runUnderFaults(seed int) {
	var work sync.WaitGroup
	work.Go(s.run)
	until := time.Now().Add(streamsDuration)
	for i := range 2 {
		work.Go(func() {
			s.fleet.disturb(rand.New(rand.NewPCG(uint64(seed), uint64(100+i))), until, killed, stopped, paused, storeFault)
		})
	}
	work.Go(func() {
		random := rand.New(rand.NewPCG(uint64(seed), 200))
		time.Sleep(time.Duration(random.IntN(int(streamsDuration / 2))))
		s.fleet.killTogether(random, 1+random.IntN(len(s.fleet.processes)))
	})
	work.Wait()
}

// newStreamFleet starts processes, the first release and a configuration whose budget
// suffices.
func newStreamFleet(t *testing.T, binary string, block int) (*fleet, *releaseSeries) {
	f := newStore(t, binary, largeBudget*100)
	s := &releaseSeries{fleet: f, serving: map[granitehoist.Release]int{}}
	s.start(block)
	s.add(releaseNumber(1))
	f.addProcesses(processCount(t), block)
	return f, s
}

// TestStreams guards against streams with events of two releases, and streams that can't be
// resumed though their release serves, while releases change and processes fail.
func TestStreams(t *testing.T) {
	from, to := seedRange(t, 1, 2)
	binary := buildProgram(t, "..")
	for seed := from; seed <= to; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			block := streamsBlock + seed%60
			f, series := newStreamFleet(t, binary, block)
			f.awaitReady(recoveryTimeout)
			time.Sleep(listTime)
			results := &streamOutcomes{}
			stop := make(chan struct{})
			var callers sync.WaitGroup
			for i := range streamCallerCount {
				random := rand.New(rand.NewPCG(uint64(seed), uint64(i)))
				caller := &streamCaller{
					fleet: f, series: series, results: results, number: i, random: random, process: f.processes[i%len(f.processes)],
					client: &http.Client{Timeout: requestTimeout + time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 1}},
				}
				callers.Go(func() { caller.run(stop) })
			}
			series.runUnderFaults(seed)
			f.awaitReady(recoveryTimeout)
			close(stop)
			callers.Wait()
			results.check(t)
			f.logOnFailure()
		})
	}
}
