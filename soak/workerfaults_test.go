// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/platform"
	"granitehoist.example/granitehoist/standin"
)

const (
	// otherZone is the availability zone of every second worker.
	otherZone = "yard"
	// leavingTime is the time from the announcement that a worker leaves until its end.
	leavingTime = time.Second
	// restTime is how long a worker rejects requests, and asks for.
	restTime = time.Second
	// workerDowntime is the time until a crashed worker runs again.
	workerDowntime = 500 * time.Millisecond
	// evacuationTime is how long otherZone is evacuated.
	evacuationTime = 2 * time.Second
	// deadlyPrefix begins the ids of requests under which workers crash.
	deadlyPrefix = "deadly"
	// deadlyRequests is the number of times that such a request is sent.
	deadlyRequests = 3
)

// zoneOf returns the availability zone of a worker.
func zoneOf(worker int) string {
	if worker%2 == 0 {
		return processZone
	}
	return otherZone
}

// releaseOf returns the release of a worker.
func releaseOf(worker int) granitehoist.Release {
	if worker < baselineWorkers {
		return baselineName
	}
	return targetName
}

// entryKey returns the key of a worker's entry.
func (s *releasedService) entryKey(worker int) string {
	return platform.InstancesPrefix + s.fleet.workerIDs[worker]
}

// hasLeft reports whether a worker has left.
func (s *releasedService) hasLeft(worker int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.left[worker]
}

// rests reports whether the worker of a request rejects requests for a while.
func (s *releasedService) rests(a standin.ReceivedRequest) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.resting[a.Header.Get("Expect-Instance")]
}

// reject returns the response of a worker that rests, or that crashes under the request.
func (s *releasedService) reject(a standin.ReceivedRequest) standin.WorkerResponse {
	if !s.crashesUnder(a) {
		return standin.WorkerResponse{Status: http.StatusServiceUnavailable, NotRun: true, RetryAfter: []string{"1"}}
	}
	for i, id := range s.fleet.workerIDs {
		if id == a.Header.Get("Expect-Instance") {
			go s.crash(i)
		}
	}
	return standin.WorkerResponse{Hang: true}
}

// crashesUnder reports whether workers crash under a request.
func (s *releasedService) crashesUnder(a standin.ReceivedRequest) bool {
	return strings.HasPrefix(a.ID, deadlyPrefix)
}

// crash resets the connections of a worker, which runs again after a while.
func (s *releasedService) crash(worker int) {
	s.fleet.workers[worker].setMode(reset)
	time.Sleep(workerDowntime)
	if !s.hasLeft(worker) {
		s.fleet.workers[worker].setMode(forward)
	}
}

// leave announces that a worker leaves, and ends it.
func (s *releasedService) leave(worker int) {
	f := s.fleet
	s.mu.Lock()
	s.left[worker] = true
	s.mu.Unlock()
	f.replaceEntry(s.entryKey(worker), instanceEntry(f.workers[worker], releaseOf(worker), zoneOf(worker), "draining"))
	time.Sleep(leavingTime)
	f.replaceEntry(s.entryKey(worker), "")
	f.workers[worker].setMode(reset)
}

// rest makes a worker reject requests for a while.
func (s *releasedService) rest(worker int) {
	id := s.fleet.workerIDs[worker]
	set := func(resting bool) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.resting[id] = resting
	}
	set(true)
	time.Sleep(restTime)
	set(false)
}

// evacuate evacuates otherZone for a while.
func (s *releasedService) evacuate() {
	const key = "op/evacuate/" + otherZone
	s.fleet.replaceEntry(key, "{}")
	time.Sleep(evacuationTime)
	s.fleet.replaceEntry(key, "")
}

// sendDeadly sends a request under which workers crash to some processes. It ignores the
// responses, since a process may be down.
func (s *releasedService) sendDeadly(random *rand.Rand, number int) {
	client := &http.Client{Timeout: requestTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	id := fmt.Sprintf("%s-%d", deadlyPrefix, number)
	for range deadlyRequests {
		request, err := newRequest(s.fleet.processes[random.IntN(len(s.fleet.processes))], "safe", id, id)
		if err != nil {
			s.fleet.t.Error(err)
			return
		}
		if response, err := client.Do(request); err == nil {
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		}
	}
}

// disturbWorkers injects faults and changes of workers, one after the other, once their
// target may be announced. One worker of each release leaves at most.
func (s *releasedService) disturbWorkers(random *rand.Rand, until time.Time) {
	mayLeave := map[granitehoist.Release]bool{baselineName: true, targetName: true}
	time.Sleep(2 * time.Second)
	for number := 0; time.Now().Before(until); number++ {
		worker := random.IntN(baselineWorkers + targetWorkers)
		switch random.IntN(5) {
		case 0:
			if mayLeave[releaseOf(worker)] {
				mayLeave[releaseOf(worker)] = false
				s.leave(worker)
			}
		case 1:
			s.crash(worker)
		case 2:
			s.rest(worker)
		case 3:
			s.evacuate()
		case 4:
			s.sendDeadly(random, number)
		}
		time.Sleep(time.Duration(random.IntN(1000)) * time.Millisecond)
	}
}
