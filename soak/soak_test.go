// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	// seedsVariable is the environment variable with the seeds to run, as FROM-TO.
	seedsVariable = "SOAK_SEEDS"
	callerCount   = 6
	// faultDuration is the time during which faults are injected.
	faultDuration = 5 * time.Second
	// concurrentFaults is the number of faults that are active at the same time.
	concurrentFaults = 3
	// recoveryTimeout bounds the time until all routers are ready.
	recoveryTimeout = 12 * time.Second
	// requestTimeout is the deadline that callers send with a request.
	requestTimeout = 2 * time.Second
)

// TestSoak guards against repeated executions of unsafe requests, false refusals, wrong
// responses and overspent budgets under faults.
func TestSoak(t *testing.T) {
	from, to := seedRange(t, 1, 2)
	binary := buildProgram(t, "..")
	for seed := from; seed <= to; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, binary, firstBlock+seed%100, smallBudget)
			f.runCounts.varied = true
			runScenario(f, seed, scenario{faultDuration: faultDuration})
		})
	}
}

// seedRange returns the first and last seed to run: the arguments, unless seedsVariable is
// set.
func seedRange(t *testing.T, first, last int) (from, to int) {
	t.Helper()
	from, to = first, last
	if value := os.Getenv(seedsVariable); value != "" {
		if _, err := fmt.Sscanf(value, "%d-%d", &from, &to); err != nil {
			t.Fatalf("%s=%s is not FROM-TO", seedsVariable, value)
		}
	}
	return from, to
}

// buildProgram builds granitehoist-edge from a source folder and returns the binary's path.
func buildProgram(t *testing.T, sources string) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "granitehoist-edge")
	command := exec.Command("go", "build", "-o", binary, "./cmd/granitehoist-edge")
	command.Dir = sources
	if out, err := command.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return binary
}

// scenario is what runs concurrently with the callers.
type scenario struct {
	// faultDuration is the time during which faults are injected.
	faultDuration time.Duration
	// work, if not nil, runs concurrently with the faults.
	work func()
}

// firstBlock is the lowest third octet of the loopback addresses of TestSoak.
const firstBlock = 80

// runScenario runs callers and faults against a fleet and checks the responses.
func runScenario(f *fleet, seed int, s scenario) {
	attack := newAttack(f)
	f.awaitReady(recoveryTimeout)
	results := &outcomes{answers: map[string]int{}}
	stop := make(chan struct{})
	var clients, faults sync.WaitGroup
	for i := range callerCount {
		clients.Go(func() { f.runCaller(i, rand.New(rand.NewPCG(uint64(seed), uint64(i))), results, stop) })
	}
	clients.Go(func() { attack.run(rand.New(rand.NewPCG(uint64(seed), 200)), stop) })
	for i := range concurrentFaults {
		faults.Go(func() {
			f.injectFaults(rand.New(rand.NewPCG(uint64(seed), uint64(100+i))), time.Now().Add(s.faultDuration))
		})
	}
	if s.work != nil {
		faults.Go(s.work)
	}
	faults.Wait()
	f.awaitReady(recoveryTimeout)
	close(stop)
	clients.Wait()
	f.check(results)
	attack.stopAndCheck()
	f.logOnFailure()
}

// logOnFailure logs the output of the processes if the test has failed.
func (f *fleet) logOnFailure() {
	if !f.t.Failed() {
		return
	}
	for _, p := range f.processes {
		f.t.Logf("log of %s:\n%s", p.ip, p.log.String())
	}
}

// injectFaults injects random faults in sequence.
func (f *fleet) injectFaults(random *rand.Rand, until time.Time) {
	for time.Now().Before(until) {
		duration := time.Duration(200+random.IntN(900)) * time.Millisecond
		p := f.processes[random.IntN(len(f.processes))]
		switch random.IntN(6) {
		case 0:
			f.restart(p, syscall.SIGTERM, duration/4)
		case 1:
			f.restart(p, syscall.SIGKILL, duration/4)
		case 2:
			p.signal(syscall.SIGSTOP)
			time.Sleep(duration)
			p.signal(syscall.SIGCONT)
		case 3, 4:
			p.store.setMode(proxyMode(1 + random.IntN(faultModeCount)))
			time.Sleep(duration)
			p.store.setMode(forward)
		case 5:
			w := f.workers[random.IntN(len(f.workers))]
			w.setMode(proxyMode(1 + random.IntN(faultModeCount)))
			time.Sleep(duration)
			w.setMode(forward)
		}
	}
}

func (f *fleet) awaitReady(limit time.Duration) {
	f.t.Helper()
	for end := time.Now().Add(limit); ; time.Sleep(50 * time.Millisecond) {
		missing := ""
		for _, p := range f.processes {
			if !p.ready() {
				missing = p.ip
			}
		}
		if missing == "" {
			return
		}
		if time.Now().After(end) {
			f.t.Errorf("%s is not ready after %v", missing, limit)
			return
		}
	}
}

// outcomes records the responses that the callers got.
type outcomes struct {
	mu sync.Mutex
	// answers holds the status of each request, or 0 without a complete response.
	answers map[string]int
	// tokens is the total cost of the responses, served the number of responses with
	// status 200.
	tokens int
	served int
	// mismatch describes the responses with a wrong body.
	mismatch []string
}

// runCaller sends requests until stop is closed. It switches to the next process when a
// request gets no complete response.
func (f *fleet) runCaller(caller int, random *rand.Rand, results *outcomes, stop <-chan struct{}) {
	client := &http.Client{Timeout: requestTimeout + time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	defer client.CloseIdleConnections()
	target := caller
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		default:
		}
		kind := []string{"safe", "once", "stream"}[random.IntN(3)]
		id := fmt.Sprintf("%s-%d-%d", kind, caller, n)
		status := f.sendRequest(client, f.processes[target%len(f.processes)], kind, id, results)
		if status == 0 {
			target++
		}
		time.Sleep(time.Duration(random.IntN(30)) * time.Millisecond)
	}
}

// newRequest returns a request to a process.
func newRequest(p *process, kind, id, body string) (*http.Request, error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+p.ip+":8227/"+kind+"/x", strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	// With GetBody net/http may send the request a second time.
	request.GetBody = nil
	request.Host = "h.example"
	for name, value := range map[string]string{
		"Attempt-Id": id, "Authorization": "Token a-key", "Deadline-Ms": fmt.Sprint(requestTimeout.Milliseconds()), "Kind": kind,
		processHeader: p.ip,
		"Token-Usage": fmt.Sprintf("%d,%d", promptTokens, eventsPerStream*tokensPerEvent),
	} {
		request.Header.Set(name, value)
	}
	return request, nil
}

// sendRequest sends one request and returns the status of the response, or 0 if it is
// missing or incomplete.
func (f *fleet) sendRequest(client *http.Client, p *process, kind, id string, results *outcomes) int {
	request, err := newRequest(p, kind, id, "question")
	if err != nil {
		return 0
	}
	output := f.runCounts.outputTokens(kind, id)
	request.Header.Set("Token-Usage", fmt.Sprintf("%d,%d", promptTokens, output))
	response, err := client.Do(request)
	if err != nil {
		results.record(id, 0, 0, "")
		return 0
	}
	// An error of Close doesn't matter once the body has been read.
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	eventCount := strings.Count(string(body), "id: ")
	status := response.StatusCode
	if err != nil {
		status = 0
	}
	wrong := ""
	wantBody := wholeBody(id)
	switch {
	case status != http.StatusOK:
	case kind == "stream" && !f.runCounts.answersWhole(id) && eventCount != eventsPerStream:
		wrong = fmt.Sprintf("%s has %d events", id, eventCount)
	case (kind != "stream" || f.runCounts.answersWhole(id)) && string(body) != wantBody:
		wrong = fmt.Sprintf("%s got %q", id, body)
	}
	tokens := eventCount * tokensPerEvent
	if strings.Contains(string(body), "run of ") {
		tokens = output
	}
	results.record(id, status, tokens, wrong)
	return status
}

// record records the status of a response and the tokens of its body.
func (o *outcomes) record(id string, status, tokens int, wrong string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.answers[id] = status
	if status == http.StatusOK || tokens > 0 {
		o.tokens += promptTokens + tokens
	}
	if status == http.StatusOK {
		o.served++
	}
	if wrong != "" {
		o.mismatch = append(o.mismatch, wrong)
	}
}

// check compares the responses with the executions at the workers.
func (f *fleet) check(results *outcomes) {
	f.runCounts.mu.Lock()
	defer f.runCounts.mu.Unlock()
	results.mu.Lock()
	defer results.mu.Unlock()
	if results.served == 0 {
		f.t.Error("nothing was served")
	}
	if results.tokens > f.prepaidTokens {
		f.t.Errorf("%d tokens were handed out of a budget of %d", results.tokens, f.prepaidTokens)
	}
	for _, wrong := range results.mismatch {
		f.t.Error(wrong)
	}
	for id, status := range results.answers {
		runs := f.runCounts.runs[id]
		once := strings.HasPrefix(id, "once")
		if once && runs > 1 {
			f.t.Errorf("%s ran %d times", id, runs)
		}
		refused := status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
		if once && refused && runs > 0 {
			f.t.Errorf("%s got status %d but ran", id, status)
		}
	}
	f.t.Logf("%d requests, %d served, %d of %d tokens", len(results.answers), results.served, results.tokens, f.prepaidTokens)
}
