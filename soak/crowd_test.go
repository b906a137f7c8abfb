// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"
)

const (
	// crowdBlock is the lowest third octet of the loopback addresses of TestCrowd.
	crowdBlock = 140
	// crowdInterval is the time between two requests of all callers together.
	crowdInterval = 8 * time.Millisecond
	// evenTime is how long all processes get the same share of the new connections,
	// crowdTime how long one process gets them all.
	evenTime, crowdTime = 3 * time.Second, 8 * time.Second
)

// sendEach sends requests over new connections for a time, to the processes that choose
// returns, and returns how many were served of those sent after skip.
func (f *fleet) sendEach(random *rand.Rand, name string, lasts, skip time.Duration, choose func(int) *process) (served, sent int) {
	var mu sync.Mutex
	var callers sync.WaitGroup
	began := time.Now()
	for n := 0; time.Since(began) < lasts; n++ {
		p, counts := choose(n), time.Since(began) >= skip
		kind := []string{"safe", "once", "stream"}[random.IntN(3)]
		callers.Go(func() {
			client := &http.Client{Timeout: requestTimeout + time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
			status := f.sendRequest(client, p, kind, fmt.Sprintf("%s-%s-%d", kind, name, n), &outcomes{answers: map[string]int{}})
			mu.Lock()
			defer mu.Unlock()
			if !counts {
				return
			}
			sent++
			if status == http.StatusOK {
				served++
			}
		})
		time.Sleep(crowdInterval)
	}
	callers.Wait()
	return served, sent
}

// TestCrowd guards against a process that suddenly gets most new connections and serves
// fewer of them than all processes did, while others are restarted or lose the store.
func TestCrowd(t *testing.T) {
	from, to := seedRange(t, 1, 1)
	binary := buildProgram(t, "..")
	for seed := from; seed <= to; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			f := newFleetOf(t, binary, processCount(t), crowdBlock+seed%40, largeBudget)
			f.awaitReady(recoveryTimeout)
			time.Sleep(listTime)
			random := rand.New(rand.NewPCG(uint64(seed), 1))
			crowded := random.IntN(len(f.processes))
			servedBefore, sentBefore := f.sendEach(random, "even", evenTime, 0, func(n int) *process { return f.processes[n%len(f.processes)] })
			var faults sync.WaitGroup
			until := time.Now().Add(crowdTime)
			for i := range 2 {
				faults.Go(func() {
					random := rand.New(rand.NewPCG(uint64(seed), uint64(100+i)))
					for time.Now().Before(until) {
						p := f.processes[(crowded+1+random.IntN(len(f.processes)-1))%len(f.processes)]
						f.inject([]processFault{killed, stopped, paused, storeFault}[random.IntN(4)], p, random)
						time.Sleep(time.Duration(random.IntN(800)) * time.Millisecond)
					}
				})
			}
			served, sent := f.sendEach(random, "crowd", crowdTime, contactTime, func(int) *process { return f.processes[crowded] })
			faults.Wait()
			if 4*served*sentBefore < 3*sent*servedBefore {
				t.Errorf("%d of %d requests served at one process, %d of %d at all before", served, sent, servedBefore, sentBefore)
			}
			t.Logf("%d of %d requests served at one process, %d of %d at all before", served, sent, servedBefore, sentBefore)
			f.logOnFailure()
		})
	}
}
