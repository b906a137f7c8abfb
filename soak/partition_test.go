// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	// processesVariable is the environment variable with the number of processes of a fleet
	// in TestPartition and TestRejectionLimit.
	processesVariable = "SOAK_PROCESSES"
	// partitionBlock is the lowest third octet of the loopback addresses of TestPartition.
	partitionBlock = 180
	// listTime is the time from the start of a fleet until its processes know each other.
	listTime = 2 * time.Second
	// partitionCuts is the number of series of cuts in a run.
	partitionCuts = 2
	// contactTime is the time after a fault from which its process has to serve.
	contactTime = 3 * time.Second
	// partitionMeasured is the time for which a cut is measured after contactTime.
	partitionMeasured = 1500 * time.Millisecond
	// maxFailedFirstTries and failedShare bound the failed requests at partitioned processes
	// that are tolerated whatever the others serve.
	maxFailedFirstTries = 10
	failedShare         = 1.0 / 50
)

// processCount returns the number of processes of a fleet.
func processCount(t *testing.T) int {
	t.Helper()
	text := os.Getenv(processesVariable)
	if text == "" {
		return nodeCount
	}
	count, err := strconv.Atoi(text)
	if err != nil || count < 2 || count > 99 {
		t.Fatalf("%s=%s is not a number from 2 to 99", processesVariable, text)
	}
	return count
}

// sentRequest is a request of a steady caller.
type sentRequest struct {
	process int
	sent    time.Time
	status  int
}

// steadyCallers send requests to each process over connections that they keep, whatever the
// responses.
type steadyCallers struct {
	fleet   *fleet
	results *outcomes
	stop    chan struct{}
	done    sync.WaitGroup

	mu  sync.Mutex
	all []sentRequest
}

// startCallers starts a number of callers for each process. Each waits pause on average
// between two requests.
func (f *fleet) startCallers(seed, perProcess int, pause time.Duration, results *outcomes) *steadyCallers {
	s := &steadyCallers{fleet: f, results: results, stop: make(chan struct{})}
	for i := range f.processes {
		for c := range perProcess {
			s.done.Go(func() { s.run(i, c, rand.New(rand.NewPCG(uint64(seed), uint64(1000*i+c))), pause) })
		}
	}
	return s
}

func (s *steadyCallers) run(process, caller int, random *rand.Rand, pause time.Duration) {
	client := &http.Client{Timeout: requestTimeout + time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	defer client.CloseIdleConnections()
	for n := 0; ; n++ {
		select {
		case <-s.stop:
			return
		case <-time.After(time.Duration(random.Int64N(int64(2 * pause)))):
		}
		kind := []string{"safe", "once", "stream"}[random.IntN(3)]
		sent := time.Now()
		status := s.fleet.sendRequest(client, s.fleet.processes[process], kind, fmt.Sprintf("%s-%d-%d-%d", kind, process, caller, n), s.results)
		s.mu.Lock()
		s.all = append(s.all, sentRequest{process: process, sent: sent, status: status})
		s.mu.Unlock()
	}
}

// end stops the callers and returns their requests.
func (s *steadyCallers) end() []sentRequest {
	close(s.stop)
	s.done.Wait()
	return s.all
}

// measuredCut is a time in which some processes were partitioned and others were not, all
// of them in touch.
type measuredCut struct {
	from, until time.Time
	cut, whole  map[int]bool
	kinds       []cutKind
}

// partition cuts a process off from all workers.
func (f *fleet) partition(p *process, kind cutKind) {
	for _, l := range p.links {
		if err := l.set(kind); err != nil {
			f.t.Error(err)
		}
	}
}

// cutSeries partitions some processes, then further ones, restarts one of them within the
// cut, and heals all. At least one process keeps its path.
func (f *fleet) cutSeries(random *rand.Rand) measuredCut {
	order := random.Perm(len(f.processes))
	count := 1 + random.IntN(len(order)-1)
	m := measuredCut{cut: map[int]bool{}, whole: map[int]bool{}}
	for i, number := range order {
		if i >= count {
			m.whole[number] = true
			continue
		}
		kind := cutKind(1 + random.IntN(cutKindCount))
		m.cut[number] = true
		m.kinds = append(m.kinds, kind)
		f.partition(f.processes[number], kind)
		time.Sleep(time.Duration(random.IntN(500)/count) * time.Millisecond)
	}
	restarted := f.processes[order[0]]
	switch random.IntN(4) {
	case 0:
		f.restart(restarted, syscall.SIGKILL, 50*time.Millisecond)
	case 1:
		go f.restart(restarted, syscall.SIGTERM, 50*time.Millisecond)
		time.Sleep(graceS * time.Second)
	case 2:
		// A process without a cut, which may carry connections of the others.
		f.restart(f.processes[order[len(order)-1]], syscall.SIGKILL, 50*time.Millisecond)
	}
	time.Sleep(contactTime)
	m.from, m.until = time.Now(), time.Now().Add(partitionMeasured)
	time.Sleep(partitionMeasured)
	for number := range m.cut {
		f.partition(f.processes[number], connected)
	}
	return m
}

// check compares what was served at the first attempt at the partitioned processes with
// what was served at the others.
func (m *measuredCut) check(t *testing.T, all []sentRequest) {
	t.Helper()
	count := func(members map[int]bool) (sent, served int) {
		for _, r := range all {
			if members[r.process] && r.sent.After(m.from) && r.sent.Before(m.until) {
				sent++
				if r.status == http.StatusOK {
					served++
				}
			}
		}
		return sent, served
	}
	sent, served := count(m.cut)
	sentElsewhere, servedElsewhere := count(m.whole)
	t.Logf("kinds %v: partitioned processes served %d of %d, the others %d of %d", m.kinds, served, sent, servedElsewhere, sentElsewhere)
	if sent == 0 || servedElsewhere == 0 {
		t.Error("nothing was sent to the partitioned processes or served by the others")
		return
	}
	rate, rateElsewhere := float64(served)/float64(sent), float64(servedElsewhere)/float64(sentElsewhere)
	tolerated := maxFailedFirstTries + failedShare*float64(sent+sentElsewhere)
	if rate < 2.0/3*rateElsewhere && float64(sent-served) > tolerated {
		t.Errorf("partitioned processes served %d of %d, the others %d of %d", served, sent, servedElsewhere, sentElsewhere)
	}
}

// TestPartition guards against callers that are served worse at processes which are
// partitioned from all workers, and against violations of the invariants of TestSoak.
func TestPartition(t *testing.T) {
	from, to := seedRange(t, 1, 2)
	binary := buildProgram(t, "..")
	for seed := from; seed <= to; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			f := newFleetOf(t, binary, processCount(t), partitionBlock+seed%40, processCount(t)*largeBudget)
			f.awaitReady(recoveryTimeout)
			results := &outcomes{answers: map[string]int{}}
			callers := f.startCallers(seed, 3, 50*time.Millisecond, results)
			random := rand.New(rand.NewPCG(uint64(seed), 300))
			time.Sleep(listTime)
			var cuts []measuredCut
			for range partitionCuts {
				time.Sleep(500 * time.Millisecond)
				cuts = append(cuts, f.cutSeries(random))
			}
			f.awaitReady(recoveryTimeout)
			all := callers.end()
			for _, m := range cuts {
				m.check(t, all)
			}
			f.check(results)
			f.logOnFailure()
		})
	}
}
