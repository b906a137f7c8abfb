// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/platform"
	"granitehoist.example/granitehoist/standin"
)

const (
	// fragileWorkerCount is the number of workers of the attacked service. A crashed
	// worker is replaced after replaceDelay.
	fragileWorkerCount = 3
	replaceDelay       = 300 * time.Millisecond
	// attackInterval is the time between two requests that crash workers.
	attackInterval = 100 * time.Millisecond
	// maxCrashes bounds the crashed workers under faults: each process may need 3 crashes
	// to detect the request, and one of them 3 more after a restart without access to
	// the store and the other processes.
	maxCrashes = 3 * (nodeCount + 1)
)

// attack repeats a request that crashes each worker that runs it.
type attack struct {
	fleet *fleet

	// mu guards the fields below it.
	mu      sync.Mutex
	started int
	// stopped is set at the end of the test, after which no worker is started.
	stopped bool
	// crashes is the number of crashed workers, requests that of requests sent.
	crashes, requests int
}

// newAttack starts the workers of the attacked service.
func newAttack(f *fleet) *attack {
	a := &attack{fleet: f}
	for range fragileWorkerCount {
		a.addWorker()
	}
	return a
}

// addWorker starts and announces a worker that crashes on any request.
func (a *attack) addWorker() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.stopped {
		return
	}
	a.started++
	id := fmt.Sprintf("fragile-%d", a.started)
	w, err := standin.NewWorker(id, func(standin.ReceivedRequest) standin.WorkerResponse {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.crashes++
		time.AfterFunc(replaceDelay, a.addWorker)
		return standin.WorkerResponse{Cut: standin.Cut{Crash: true}, Delay: 10 * time.Millisecond}
	})
	if err != nil {
		a.fleet.t.Error(err)
		return
	}
	a.fleet.t.Cleanup(w.Close)
	entry := fmt.Sprintf(`{"backend":"fragile","address":%q,"zone":"hall","capacity":64,"phase":"ready"}`, w.Address())
	if _, err := a.fleet.store.CompareAndSwap(context.Background(), granitehoist.Change{Key: platform.InstancesPrefix + id, Value: []byte(entry)}); err != nil {
		a.fleet.t.Error(err)
	}
}

// run sends the request to random processes until stop is closed.
func (a *attack) run(random *rand.Rand, stop <-chan struct{}) {
	client := &http.Client{Timeout: requestTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		select {
		case <-stop:
			return
		case <-time.After(attackInterval):
		}
		a.mu.Lock()
		a.requests++
		id := fmt.Sprintf("attack-%d", a.requests)
		a.mu.Unlock()
		a.send(client, a.fleet.processes[random.IntN(len(a.fleet.processes))], id)
	}
}

// send sends the request once. It ignores the result, since the process may be down.
func (a *attack) send(client *http.Client, p *process, id string) {
	request, err := http.NewRequest(http.MethodPost, "http://"+p.ip+":8227/fragile/x", strings.NewReader("deadly"))
	if err != nil {
		a.fleet.t.Error(err)
		return
	}
	request.Host = "h.example"
	request.Header.Set("Attempt-Id", id)
	request.Header.Set("Authorization", "Token a-key")
	request.Header.Set("Deadline-Ms", "1000")
	// The service is metered, so that each request has to state its cost.
	request.Header.Set("Token-Usage", "0,0")
	response, err := client.Do(request)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
}

// stopAndCheck stops the replacement of workers and checks the number of crashes.
func (a *attack) stopAndCheck() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.stopped = true
	if a.crashes == 0 {
		a.fleet.t.Error("the attack has reached no worker")
	}
	if a.crashes > maxCrashes {
		a.fleet.t.Errorf("%d workers crashed under %d arrivals of one request", a.crashes, a.requests)
	}
	a.fleet.t.Logf("%d workers crashed under %d arrivals of one request", a.crashes, a.requests)
}
