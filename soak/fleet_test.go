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
	"strings"
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
	// smallBudget is a number of prepaid tokens that the callers exhaust; they don't
	// exhaust largeBudget.
	smallBudget = 60_000
	largeBudget = 20 * smallBudget
	// Each request has promptTokens tokens, and a stream eventsPerStream events of
	// tokensPerEvent tokens.
	promptTokens    = 100
	tokensPerEvent  = 5
	eventsPerStream = 4
	// wholeTokens is the number of tokens of a whole response of varied workers.
	wholeTokens = 150
	// graceS is the time in seconds from SIGTERM to SIGKILL in the settings.
	graceS = 3
	// processZone is the availability zone of the processes.
	processZone = "hall"
)

// runCounts counts the executions of each request by its id.
type runCounts struct {
	// varied makes some streams be answered whole, and some requests fail with a body.
	varied bool

	mu   sync.Mutex
	runs map[string]int
}

func (c *runCounts) respond(a standin.ReceivedRequest) standin.WorkerResponse {
	c.mu.Lock()
	c.runs[a.ID]++
	c.mu.Unlock()
	if a.Header.Get("Kind") == "stream" && !c.answersWhole(a.ID) {
		return standin.WorkerResponse{Events: eventsPerStream, Gap: 15 * time.Millisecond}
	}
	if c.fails(a.ID) {
		return standin.WorkerResponse{Status: http.StatusInternalServerError, Body: failureBody(a.ID)}
	}
	return standin.WorkerResponse{Body: wholeBody(a.ID), ContentType: "text/plain", Delay: 10 * time.Millisecond}
}

// outputTokens returns the maximum number of tokens that a request may get, which a whole
// response brings.
func (c *runCounts) outputTokens(kind, id string) int {
	if c.varied && (kind != "stream" || c.answersWhole(id)) {
		return wholeTokens
	}
	return eventsPerStream * tokensPerEvent
}

// answersWhole reports whether a request that is a stream is answered whole instead.
func (c *runCounts) answersWhole(id string) bool { return c.varied && strings.HasSuffix(id, "3") }

// fails reports whether a request gets a failure with a body.
func (c *runCounts) fails(id string) bool { return c.varied && strings.HasSuffix(id, "77") }

// wholeBody and failureBody return the bodies of whole responses and of failures, which bring
// the caller all tokens that the request may get.
func wholeBody(id string) string   { return "run of " + id }
func failureBody(id string) string { return "failed run of " + id }

// process is a router process, which may be restarted.
type process struct {
	ip       string
	settings string
	store    *proxy
	// links holds the process's connections to the workers by the keys of their entries.
	links map[string]*link
	// binary is the program to run at the next start. restartMu guards it.
	binary string
	// restartMu serialises restarts of the process.
	restartMu sync.Mutex
	// partitionMu serialises partitions of the process.
	partitionMu sync.Mutex
	faults      faultHistory
	mu          sync.Mutex
	command     *exec.Cmd
	exited      chan struct{}
	log         logBuffer
}

// logBuffer collects the output of a process. It is safe for concurrent use.
type logBuffer struct {
	mu     sync.Mutex
	output bytes.Buffer
}

// Write implements io.Writer.
func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.output.Write(p)
}

// String returns the output so far.
func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.output.String()
}

// fleet holds the store, the workers and the router processes of one seed.
type fleet struct {
	t      *testing.T
	binary string
	// prepaidTokens is the budget of the workspace.
	prepaidTokens int
	runCounts     *runCounts
	rejecting     *rejectingService
	store         *standin.Store
	processes     []*process
	workers       []*proxy
	// workerIDs holds the ids of the workers.
	workerIDs []string
	// withRollouts makes the processes carry out roll-outs.
	withRollouts bool
	// lossWindow is how old the copies are, at most, from which the store returns; zero means
	// the default of the program. Processes of otherBinary don't know the setting.
	lossWindow time.Duration
	// memoryLimit is the memory limit of the processes in bytes; zero means that their
	// settings state none.
	memoryLimit int64
	// otherBinary, unless empty, is the program of every second process.
	otherBinary string
}

// loopbackOctet returns the second octet of this run's loopback addresses. It depends on the
// process id, so that concurrent test runs don't use the same addresses.
func loopbackOctet() int {
	const first, networks = 128, 96
	return first + os.Getpid()%networks
}

// newFleet starts the store, workers and processes of one seed. block is the third octet of
// their loopback addresses, prepaidTokens the budget of the workspace.
func newFleet(t *testing.T, binary string, block, prepaidTokens int) *fleet {
	t.Helper()
	return newFleetOf(t, binary, nodeCount, block, prepaidTokens)
}

// newFleetOf starts a fleet with a number of processes, at most 99.
func newFleetOf(t *testing.T, binary string, processes, block, prepaidTokens int) *fleet {
	t.Helper()
	f := newStore(t, binary, prepaidTokens)
	f.rejecting = &rejectingService{fleet: f, workers: make([]rejectingWorker, workerCount)}
	for i := range workerCount {
		respond := func(a standin.ReceivedRequest) standin.WorkerResponse { return f.rejecting.respond(i, a) }
		f.addWorker(fmt.Sprintf("i-%d", i), workerAddress(block, i), respond)
	}
	f.addProcesses(processes, block)
	return f
}

// newStore returns a fleet that consists of a store with a configuration.
func newStore(t *testing.T, binary string, prepaidTokens int) *fleet {
	t.Helper()
	f := &fleet{t: t, binary: binary, prepaidTokens: prepaidTokens, runCounts: &runCounts{runs: map[string]int{}}, store: standin.NewStore(standin.StoreSettings{})}
	f.put(platform.ConfigKey, f.configuration(1))
	return f
}

// configuration returns a revision of the configuration.
func (f *fleet) configuration(revision int) string {
	return fmt.Sprintf(`{"revision":%[3]d,"routes":[
		{"name":"safe","hostname":"h.example","pathPrefix":"/safe/","type":"safe","timeoutMs":3000,"targetLatencyMs":500,"priorityClass":1,"backend":"pool","maxAttempts":2},
		{"name":"once","hostname":"h.example","pathPrefix":"/once/","type":"unsafe","timeoutMs":3000,"targetLatencyMs":500,"priorityClass":1,"backend":"pool","maxAttempts":1},
		{"name":"stream","hostname":"h.example","pathPrefix":"/stream/","type":"streaming","timeoutMs":3000,"targetLatencyMs":500,"priorityClass":1,"backend":"pool","maxAttempts":2,"streamResume":true},
		{"name":"oncestream","hostname":"h.example","pathPrefix":"/oncestream/","type":"streaming","timeoutMs":3000,"targetLatencyMs":500,"priorityClass":1,"backend":"pool","maxAttempts":1},
		{"name":"long","hostname":"h.example","pathPrefix":"/long/","type":"streaming","timeoutMs":10000,"targetLatencyMs":500,"priorityClass":1,"backend":"pool","maxAttempts":2,"streamResume":true},
		{"name":"fragile","hostname":"h.example","pathPrefix":"/fragile/","type":"unsafe","timeoutMs":3000,"targetLatencyMs":500,"priorityClass":1,"backend":"fragile","maxAttempts":1}],
		"backends":[{"name":"fragile","healthPath":"/healthz","runtime":{"capacity":64,"increment":%[1]d}},{"name":"pool","healthPath":"/healthz","runtime":{"capacity":64,"increment":%[1]d}}],
		"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
		"tenants":[{"name":"kiosk","apiKeys":["a-key"],"reserved":%[2]d}]}`, tokensPerEvent, f.prepaidTokens, revision)
}

// workerAddress returns the address of worker number i of a block, without a port.
func workerAddress(block, i int) string {
	return fmt.Sprintf("127.%d.%d.%d:0", loopbackOctet(), block, 100+i)
}

// addProcesses starts a number of router processes.
func (f *fleet) addProcesses(count, block int) {
	for i := range count {
		f.addProcess(fmt.Sprintf("127.%d.%d.%d", loopbackOctet(), block, 1+i))
	}
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

// addWorker starts a worker behind a proxy at address and announces the proxy's address.
func (f *fleet) addWorker(id, address string, answer func(standin.ReceivedRequest) standin.WorkerResponse) {
	f.announce(id, f.startWorker(id, address, answer), "", processZone)
}

// startWorker starts a worker behind a proxy at address.
func (f *fleet) startWorker(id, address string, answer func(standin.ReceivedRequest) standin.WorkerResponse) *proxy {
	w, err := standin.NewWorker(id, answer)
	f.must(err)
	f.t.Cleanup(w.Close)
	p, err := newProxy(address, w.Address())
	f.must(err)
	f.t.Cleanup(p.close)
	f.workers = append(f.workers, p)
	f.workerIDs = append(f.workerIDs, id)
	return p
}

// announce announces the address of a worker's proxy. release is empty if the worker states
// none.
func (f *fleet) announce(id string, p *proxy, release granitehoist.Release, zone string) {
	f.put(platform.InstancesPrefix+id, instanceEntry(p, release, zone, "ready"))
}

// instanceEntry returns the entry of a worker in a phase.
func instanceEntry(p *proxy, release granitehoist.Release, zone, phase string) string {
	stated := ""
	if release != "" {
		stated = fmt.Sprintf(`,"revision":%q`, release)
	}
	return fmt.Sprintf(`{"backend":"pool","address":%q,"zone":%q,"capacity":64,"phase":%q%s}`, p.address(), zone, phase, stated)
}

// replaceEntry replaces the value of a key, or deletes it if value is empty.
func (f *fleet) replaceEntry(key, value string) {
	ctx := context.Background()
	entry, err := f.store.Get(ctx, key)
	if err == nil {
		_, err = f.store.CompareAndSwap(ctx, granitehoist.Change{Key: key, Value: []byte(value), Expect: entry.Version, Delete: value == ""})
	}
	if err != nil {
		f.t.Errorf("replace %s: %v", key, err)
	}
}

// startStore starts a front end of the store for the process at ip and returns its address.
// The process sees the addresses of its links as those of the workers.
func (f *fleet) startStore(ip string, links map[string]*link) string {
	listener, err := net.Listen("tcp", ip+":0")
	f.must(err)
	rewrite := func(key string, value []byte) []byte {
		if l, found := links[key]; found {
			return bytes.ReplaceAll(value, []byte(l.target), []byte(l.address))
		}
		return value
	}
	server := &http.Server{Handler: &standin.PlatformStore{Store: f.store, Rewrite: rewrite}, ReadHeaderTimeout: time.Minute}
	// If the server stops early, awaitReady fails.
	go func() { _ = server.Serve(listener) }()
	// An error of Close doesn't matter at the end of the test.
	f.t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

// addProcess starts a router process at ip that accesses the store through a proxy, and the
// workers started so far through links of its own.
func (f *fleet) addProcess(ip string) {
	links := map[string]*link{}
	for i, worker := range f.workers {
		l, err := newLink(ip+":0", worker.address())
		f.must(err)
		f.t.Cleanup(l.close)
		links[platform.InstancesPrefix+f.workerIDs[i]] = l
	}
	storeProxy, err := newProxy(ip+":8223", f.startStore(ip, links))
	f.must(err)
	f.t.Cleanup(storeProxy.close)
	binary := f.binary
	if f.otherBinary != "" && len(f.processes)%2 == 1 {
		binary = f.otherBinary
	}
	p := &process{ip: ip, store: storeProxy, links: links, binary: binary, settings: filepath.Join(f.t.TempDir(), "settings.json")}
	f.writeSettings(p, true)
	f.processes = append(f.processes, p)
	f.start(p)
	f.t.Cleanup(func() { p.signal(syscall.SIGCONT); p.signal(syscall.SIGKILL); p.wait() })
}

// ownProcesses returns the processes that do not run otherBinary.
func (f *fleet) ownProcesses() []*process {
	var own []*process
	for _, p := range f.processes {
		if p.binary == f.binary {
			own = append(own, p)
		}
	}
	return own
}

// writeSettings writes the settings file of a process. bootstrap says that the whole fleet
// starts for the first time.
func (f *fleet) writeSettings(p *process, bootstrap bool) {
	rolloutTerms, invariants := "", ""
	if f.withRollouts {
		rolloutTerms = fmt.Sprintf(`,"canaryShare":%g,"canaryMargin":%d,"rollbackMs":%d`, canaryShare, canaryMargin, rollbackTime.Milliseconds())
		invariants = `"invariants":["retry","rollout"],`
	}
	limits := ""
	if f.memoryLimit > 0 {
		limits = fmt.Sprintf(`"limits":{"memoryMb":%d},`, f.memoryLimit>>20)
	}
	settings := fmt.Sprintf(`{"nodeName":"edge-%[1]s","ipAddress":%[1]q,"zone":"hall","listenAddrs":{"frontend":"%[1]s:8227","ready":"%[1]s:8220"},
		"internalPortRange":[7340,7355],"bootstrap":%[2]t,"bounds":{"gracePeriodS":%[3]d,"drainMs":500,"retryBudgetRatio":0.2,"retryWindowS":10,"budgetSlack":50%[5]s},
		%[6]s%[7]s"platform":{"address":%[4]q}}`, p.ip, bootstrap, graceS, p.store.address(), rolloutTerms, invariants, limits)
	if err := os.WriteFile(p.settings, []byte(settings), 0o600); err != nil {
		f.t.Error(err)
	}
}

func (f *fleet) start(p *process) {
	p.mu.Lock()
	defer p.mu.Unlock()
	arguments := []string{"--settings", p.settings}
	if f.lossWindow > 0 && p.binary == f.binary {
		arguments = append(arguments, "--store-loss-window", f.lossWindow.String())
	}
	p.command = exec.Command(p.binary, arguments...)
	p.command.Stdout, p.command.Stderr = &p.log, &p.log
	if err := p.command.Start(); err != nil {
		f.t.Error(err)
		return
	}
	p.exited = make(chan struct{})
	go func(c *exec.Cmd, ended chan struct{}) {
		// Wait returns an error for a killed process. check and awaitReady detect a
		// process that exits by itself.
		_ = c.Wait()
		close(ended)
	}(p.command, p.exited)
}

func (p *process) signal(s os.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	// An error means that the process has already exited.
	_ = p.command.Process.Signal(s)
}

func (p *process) wait() {
	p.mu.Lock()
	ended := p.exited
	p.mu.Unlock()
	<-ended
}

// restart stops a process by a signal and starts it again after a pause. Concurrent restarts
// of the same process run in sequence.
func (f *fleet) restart(p *process, s os.Signal, pause time.Duration) {
	f.replace(p, "", s, pause)
}

// replace restarts a process with another binary, or the same one if binary is empty.
func (f *fleet) replace(p *process, binary string, s os.Signal, pause time.Duration) {
	p.restartMu.Lock()
	defer p.restartMu.Unlock()
	if binary != "" {
		p.binary = binary
	}
	p.signal(s)
	p.wait()
	time.Sleep(pause)
	f.writeSettings(p, false)
	f.start(p)
}

// ready reports whether the process passes its readiness check.
func (p *process) ready() bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + p.ip + ":8220/readyz")
	if err != nil {
		return false
	}
	// An error of Close doesn't affect the status.
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
