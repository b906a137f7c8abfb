// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package soak

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/platform"
	"granitehoist.example/granitehoist/standin"
)

const (
	nodeCount   = 4
	workerCount = 3
	// scarceBudget is the prepaid tokens of fleets whose budget runs out: less than the
	// callers ask for. plentyBudget is more.
	scarceBudget = 60_000
	plentyBudget = 20 * scarceBudget
	// A request has prompt tokens, a stream events of perEvent tokens each.
	prompt   = 100
	perEvent = 5
	events   = 4
	// graceS is the time in seconds from SIGTERM to SIGKILL in the settings.
	graceS = 3
)

// runCounts counts how often the workers ran each request.
type runCounts struct {
	mu   sync.Mutex
	runs map[string]int
}

func (b *runCounts) answer(a standin.Arrival) standin.WorkerAnswer {
	b.mu.Lock()
	b.runs[a.ID]++
	b.mu.Unlock()
	if a.Header.Get("Kind") == "stream" {
		return standin.WorkerAnswer{Events: events, Gap: 15 * time.Millisecond}
	}
	return standin.WorkerAnswer{Body: "run of " + a.ID, Delay: 10 * time.Millisecond}
}

// process is one router process, which may be started several times.
type process struct {
	ip       string
	settings string
	store    *proxy
	// binary is the program that the next start runs. Only whoever holds restarting
	// changes it.
	binary string
	// restarting lets one series of faults restart the process at a time.
	restarting sync.Mutex
	mu         sync.Mutex
	command    *exec.Cmd
	ended      chan struct{}
	log        bytes.Buffer
}

// fleet is the site of one seed: the store, the workers and the routers.
type fleet struct {
	t      *testing.T
	binary string
	// reserved is the prepaid tokens.
	reserved  int
	runCounts *runCounts
	store     *standin.Store
	processes []*process
	workers   []*proxy
}

// ownNetwork returns the second octet of this run's loopback addresses, so that
// two runs of the tests at the same time don't take each other's ports.
func ownNetwork() int {
	const first, networks = 128, 96
	return first + os.Getpid()%networks
}

// newFleet starts the site of one seed. block is the third octet of its loopback
// addresses, reserved the prepaid tokens.
func newFleet(t *testing.T, binary string, block, reserved int) *fleet {
	t.Helper()
	f := &fleet{t: t, binary: binary, reserved: reserved, runCounts: &runCounts{runs: map[string]int{}}, store: standin.NewStore(standin.StoreSettings{})}
	front, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.200:0", ownNetwork(), block))
	f.must(err)
	server := &http.Server{Handler: &standin.PlatformStore{Store: f.store}, ReadHeaderTimeout: time.Minute}
	// A store that ends early refuses connections, which awaitReady reports.
	go func() { _ = server.Serve(front) }()
	// The store's connections are thrown away at the end of the test.
	t.Cleanup(func() { _ = server.Close() })
	f.put(platform.ConfigKey, fmt.Sprintf(`{"revision":1,"routes":[
		{"name":"safe","hostname":"h.example","pathPrefix":"/safe/","type":"safe","timeoutMs":3000,"targetLatencyMs":500,"priorityClass":1,"backend":"pool","maxAttempts":2},
		{"name":"once","hostname":"h.example","pathPrefix":"/once/","type":"unsafe","timeoutMs":3000,"targetLatencyMs":500,"priorityClass":1,"backend":"pool","maxAttempts":1},
		{"name":"stream","hostname":"h.example","pathPrefix":"/stream/","type":"streaming","timeoutMs":3000,"targetLatencyMs":500,"priorityClass":1,"backend":"pool","maxAttempts":2,"streamResume":true},
		{"name":"fragile","hostname":"h.example","pathPrefix":"/fragile/","type":"unsafe","timeoutMs":3000,"targetLatencyMs":500,"priorityClass":1,"backend":"fragile","maxAttempts":1}],
		"backends":[{"name":"fragile","healthPath":"/healthz","runtime":{"capacity":64,"increment":%[1]d}},{"name":"pool","healthPath":"/healthz","runtime":{"capacity":64,"increment":%[1]d}}],
		"limits":{"maxHeaderBytes":16384,"maxBodyBytes":65536,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
		"tenants":[{"name":"kiosk","apiKeys":["a-key"],"reserved":%[2]d}]}`, perEvent, reserved))
	for i := range workerCount {
		f.addWorker(fmt.Sprintf("i-%d", i), fmt.Sprintf("127.%d.%d.%d:0", ownNetwork(), block, 100+i), f.runCounts.answer)
	}
	for i := range nodeCount {
		f.addProcess(fmt.Sprintf("127.%d.%d.%d", ownNetwork(), block, 1+i), front.Addr().String())
	}
	return f
}

func (f *fleet) must(err error) {
	f.t.Helper()
	if err != nil {
		f.t.Fatal(err)
	}
}

func (f *fleet) put(key, value string) {
	f.t.Helper()
	_, err := f.store.CompareAndSwap(context.Background(), granitehoist.Change{Key: key, Value: []byte(value)})
	f.must(err)
}

// addWorker starts a worker behind a proxy at address and announces the proxy.
func (f *fleet) addWorker(id, address string, answer func(standin.Arrival) standin.WorkerAnswer) {
	w, err := standin.NewWorker(id, answer)
	f.must(err)
	f.t.Cleanup(w.Close)
	p, err := newProxy(address, w.Address())
	f.must(err)
	f.t.Cleanup(p.close)
	f.workers = append(f.workers, p)
	f.put(platform.WorkersPrefix+id, fmt.Sprintf(`{"backend":"pool","address":%q,"zone":"hall","capacity":64,"phase":"ready"}`, p.address()))
}

// addProcess starts a router at ip, with a proxy before the store.
func (f *fleet) addProcess(ip, store string) {
	line, err := newProxy(ip+":8223", store)
	f.must(err)
	f.t.Cleanup(line.close)
	p := &process{ip: ip, store: line, binary: f.binary, settings: filepath.Join(f.t.TempDir(), "settings.json")}
	settings := fmt.Sprintf(`{"nodeName":"edge-%s","ipAddress":%q,"zone":"hall","listenAddrs":{"frontend":"%s:8227","ready":"%s:8220"},
		"internalPortRange":[7340,7355],"bounds":{"gracePeriodS":%d,"drainMs":500,"retryBudgetRatio":0.2,"retryWindowS":10,"budgetSlack":50},
		"platform":{"address":%q}}`, ip, ip, ip, ip, graceS, line.address())
	f.must(os.WriteFile(p.settings, []byte(settings), 0o600))
	f.processes = append(f.processes, p)
	f.start(p)
	f.t.Cleanup(func() { p.signal(syscall.SIGCONT); p.signal(syscall.SIGKILL); p.wait() })
}

func (f *fleet) start(p *process) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.command = exec.Command(p.binary, "--settings", p.settings)
	p.command.Stdout, p.command.Stderr = &p.log, &p.log
	if err := p.command.Start(); err != nil {
		f.t.Error(err)
		return
	}
	p.ended = make(chan struct{})
	go func(c *exec.Cmd, ended chan struct{}) {
		// A process that was killed ends with an error; judge and awaitReady see
		// one that ended by itself.
		_ = c.Wait()
		close(ended)
	}(p.command, p.ended)
}

func (p *process) signal(s os.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	// A process that has ended already takes no signal.
	_ = p.command.Process.Signal(s)
}

func (p *process) wait() {
	p.mu.Lock()
	ended := p.ended
	p.mu.Unlock()
	<-ended
}

// restart ends a process by a signal and starts it again. Two series that restart the
// same process do so one after the other: at the same time both would start one.
func (f *fleet) restart(p *process, s os.Signal, pause time.Duration) {
	f.replace(p, "", s, pause)
}

// replace is restart with another program, the same if binary is empty.
func (f *fleet) replace(p *process, binary string, s os.Signal, pause time.Duration) {
	p.restarting.Lock()
	defer p.restarting.Unlock()
	if binary != "" {
		p.binary = binary
	}
	p.signal(s)
	p.wait()
	time.Sleep(pause)
	f.start(p)
}

// ready reports whether a process says that it serves.
func (p *process) ready() bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + p.ip + ":8220/readyz")
	if err != nil {
		return false
	}
	// The connection is thrown away.
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
