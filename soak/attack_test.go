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
	// fragileWorkers is the number of workers of the service that is attacked, which
	// are replaced as they crash, and replaceAfter the time that this takes.
	fragileWorkers = 3
	replaceAfter   = 300 * time.Millisecond
	// attackPause is the time between two arrivals of the request that crashes workers.
	attackPause = 100 * time.Millisecond
	// mostEndings is how many workers may crash under it while processes are killed,
	// frozen and started anew, and the store is silent: each of the processes may have
	// to learn by itself (3 rounds), and one of them once more after a restart in which
	// neither the store nor another process answered.
	mostEndings = 3 * (nodeCount + 1)
)

// attack is a request that crashes each worker that runs it, and is repeated.
type attack struct {
	fleet *fleet

	// mu guards the fields below.
	mu      sync.Mutex
	started int
	// over says that the test ends, so that no worker is started any more.
	over bool
	// endings counts the workers that crashed, arrivals the requests sent.
	endings, arrivals int
}

// newAttack starts the workers.
func newAttack(f *fleet) *attack {
	a := &attack{fleet: f}
	for range fragileWorkers {
		a.add()
	}
	return a
}

// add starts a worker that crashes under any request.
func (a *attack) add() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.over {
		return
	}
	a.started++
	id := fmt.Sprintf("fragile-%d", a.started)
	w, err := standin.NewWorker(id, func(standin.Arrival) standin.WorkerAnswer {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.endings++
		time.AfterFunc(replaceAfter, a.add)
		return standin.WorkerAnswer{Cut: standin.Cut{Crash: true}, Delay: 10 * time.Millisecond}
	})
	if err != nil {
		a.fleet.t.Error(err)
		return
	}
	a.fleet.t.Cleanup(w.Close)
	entry := fmt.Sprintf(`{"backend":"fragile","address":%q,"zone":"hall","capacity":64,"phase":"ready"}`, w.Address())
	if _, err := a.fleet.store.CompareAndSwap(context.Background(), granitehoist.Change{Key: platform.WorkersPrefix + id, Value: []byte(entry)}); err != nil {
		a.fleet.t.Error(err)
	}
}

// run sends the request to one process after the other until stop is closed.
func (a *attack) run(random *rand.Rand, stop <-chan struct{}) {
	client := &http.Client{Timeout: deadline, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		select {
		case <-stop:
			return
		case <-time.After(attackPause):
		}
		a.mu.Lock()
		a.arrivals++
		id := fmt.Sprintf("attack-%d", a.arrivals)
		a.mu.Unlock()
		a.send(client, a.fleet.processes[random.IntN(len(a.fleet.processes))], id)
	}
}

// send sends the request once. What its caller gets does not matter here: a process may
// be away.
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
	response, err := client.Do(request)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
}

// judge ends the attack and checks how many workers crashed.
func (a *attack) judge() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.over = true
	if a.endings == 0 {
		a.fleet.t.Error("the attack has reached no worker")
	}
	if a.endings > mostEndings {
		a.fleet.t.Errorf("%d workers crashed under %d arrivals of one request", a.endings, a.arrivals)
	}
	a.fleet.t.Logf("%d workers crashed under %d arrivals of one request", a.endings, a.arrivals)
}
