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
	// seedsVariable names the seeds to play, as FROM-TO.
	seedsVariable = "SOAK_SEEDS"
	callers       = 6
	// faultTime is how long faults are played.
	faultTime = 5 * time.Second
	// series is the number of faults that are played at the same time.
	series = 3
	// recoveryTime bounds the time until all routers are ready.
	recoveryTime = 12 * time.Second
	// deadline is the time that a request has.
	deadline = 2 * time.Second
)

// TestSoak plays the seeds.
func TestSoak(t *testing.T) {
	from, to := seeds(t, 1, 2)
	binary := build(t, "..")
	for seed := from; seed <= to; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			play(t, newFleet(t, binary, firstBlock+seed%100, scarceBudget), seed, plan{faults: faultTime})
		})
	}
}

// seeds returns the first and the last seed to play.
func seeds(t *testing.T, first, last int) (from, to int) {
	t.Helper()
	from, to = first, last
	if value := os.Getenv(seedsVariable); value != "" {
		if _, err := fmt.Sscanf(value, "%d-%d", &from, &to); err != nil {
			t.Fatalf("%s=%s is not FROM-TO", seedsVariable, value)
		}
	}
	return from, to
}

// build builds the program from a folder with the project's sources.
func build(t *testing.T, sources string) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "granitehoist-edge")
	command := exec.Command("go", "build", "-o", binary, "./cmd/granitehoist-edge")
	command.Dir = sources
	if out, err := command.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return binary
}

// plan is what is played beside the callers.
type plan struct {
	// faults is how long faults are played.
	faults time.Duration
	// work, if set, is planned work that runs beside the faults.
	work func()
}

// firstBlock numbers the loopback addresses of the first seed.
const firstBlock = 80

// play runs callers and faults against the site of one seed and judges the answers.
func play(t *testing.T, f *fleet, seed int, p plan) {
	attack := newAttack(f)
	f.awaitReady(recoveryTime)
	results := &outcomes{answers: map[string]int{}}
	stop := make(chan struct{})
	var calling, failing sync.WaitGroup
	for i := range callers {
		calling.Go(func() { f.sendRequests(i, rand.New(rand.NewPCG(uint64(seed), uint64(i))), results, stop) })
	}
	calling.Go(func() { attack.run(rand.New(rand.NewPCG(uint64(seed), 200)), stop) })
	for i := range series {
		failing.Go(func() { f.playFaults(rand.New(rand.NewPCG(uint64(seed), uint64(100+i))), time.Now().Add(p.faults)) })
	}
	if p.work != nil {
		failing.Go(p.work)
	}
	failing.Wait()
	f.awaitReady(recoveryTime)
	close(stop)
	calling.Wait()
	f.judge(results)
	attack.judge()
	if t.Failed() {
		for _, p := range f.processes {
			t.Logf("log of %s:\n%s", p.ip, p.log.String())
		}
	}
}

// playFaults plays one fault after the other.
func (f *fleet) playFaults(random *rand.Rand, until time.Time) {
	for time.Now().Before(until) {
		lasting := time.Duration(200+random.IntN(900)) * time.Millisecond
		p := f.processes[random.IntN(len(f.processes))]
		switch random.IntN(6) {
		case 0:
			f.restart(p, syscall.SIGTERM, lasting/4)
		case 1:
			f.restart(p, syscall.SIGKILL, lasting/4)
		case 2:
			p.signal(syscall.SIGSTOP)
			time.Sleep(lasting)
			p.signal(syscall.SIGCONT)
		case 3, 4:
			p.store.set(proxyMode(1 + random.IntN(faultyModes)))
			time.Sleep(lasting)
			p.store.set(pass)
		case 5:
			w := f.workers[random.IntN(len(f.workers))]
			w.set(proxyMode(1 + random.IntN(faultyModes)))
			time.Sleep(lasting)
			w.set(pass)
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

// outcomes holds what the callers got.
type outcomes struct {
	mu sync.Mutex
	// answers holds the last status of each request, 0 for none.
	answers map[string]int
	// tokens is the sum of what the answers cost, served the number of answers
	// with status 200.
	tokens int
	served int
	// mismatch describes the answers with a wrong body.
	mismatch []string
}

// sendRequests sends requests until stop is closed. It stays with one process and
// its connections until a request gets no answer, then goes on to the next process.
func (f *fleet) sendRequests(caller int, random *rand.Rand, results *outcomes, stop <-chan struct{}) {
	client := &http.Client{Timeout: deadline + time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	defer client.CloseIdleConnections()
	at := caller
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		default:
		}
		kind := []string{"safe", "once", "stream"}[random.IntN(3)]
		id := fmt.Sprintf("%s-%d-%d", kind, caller, n)
		status := f.ask(client, f.processes[at%len(f.processes)], kind, id, results)
		if status == 0 {
			at++
		}
		time.Sleep(time.Duration(random.IntN(30)) * time.Millisecond)
	}
}

// ask sends one request and returns the status of its answer, 0 if the answer is
// missing or incomplete.
func (f *fleet) ask(client *http.Client, p *process, kind, id string, results *outcomes) int {
	request, err := http.NewRequest(http.MethodPost, "http://"+p.ip+":8227/"+kind+"/x", strings.NewReader("question"))
	if err != nil {
		return 0
	}
	// The client must not send a request again by itself.
	request.GetBody = nil
	request.Host = "h.example"
	for name, value := range map[string]string{
		"Attempt-Id": id, "Authorization": "Token a-key", "Deadline-Ms": fmt.Sprint(deadline.Milliseconds()), "Kind": kind,
		"Token-Usage": fmt.Sprintf("%d,%d", prompt, events*perEvent),
	} {
		request.Header.Set(name, value)
	}
	response, err := client.Do(request)
	if err != nil {
		results.note(id, 0, 0, "")
		return 0
	}
	// A failure to close a body that has been read can't change it.
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	got := strings.Count(string(body), "id: ")
	status := response.StatusCode
	if err != nil {
		status = 0
	}
	wrong := ""
	wantBody := "run of " + id
	switch {
	case status != http.StatusOK:
	case kind == "stream" && got != events:
		wrong = fmt.Sprintf("%s has %d events", id, got)
	case kind != "stream" && string(body) != wantBody:
		wrong = fmt.Sprintf("%s got %q", id, body)
	}
	results.note(id, status, got, wrong)
	return status
}

func (l *outcomes) note(id string, status, got int, wrong string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answers[id] = status
	if status == http.StatusOK || got > 0 {
		l.tokens += prompt + got*perEvent
	}
	if status == http.StatusOK {
		l.served++
	}
	if wrong != "" {
		l.mismatch = append(l.mismatch, wrong)
	}
}

// judge compares what the callers got with what the workers ran.
func (f *fleet) judge(results *outcomes) {
	f.runCounts.mu.Lock()
	defer f.runCounts.mu.Unlock()
	results.mu.Lock()
	defer results.mu.Unlock()
	if results.served == 0 {
		f.t.Error("nothing was served")
	}
	if results.tokens > f.reserved {
		f.t.Errorf("%d tokens were handed out of a budget of %d", results.tokens, f.reserved)
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
			f.t.Errorf("%s was told %d and ran", id, status)
		}
	}
	f.t.Logf("%d requests, %d served, %d of %d tokens", len(results.answers), results.served, results.tokens, f.reserved)
}
