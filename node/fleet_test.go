// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package node_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/internal/event"
	"granitehoist.example/granitehoist/internal/logsink"
	"granitehoist.example/granitehoist/node"
	"granitehoist.example/granitehoist/platform"
	"granitehoist.example/granitehoist/rollout"
	"granitehoist.example/granitehoist/standin"
)

// member is one node of a fleet under test, with its own store front end.
type member struct {
	Gomega
	node   *node.Node
	config *node.Config
	store  *standin.PlatformStore
	// partition can cut the node off from all workers.
	partition *partition
	logs      *observer.ObservedLogs
	// logText holds the log lines as the program would write them.
	logText *logBuffer
}

// logBuffer collects log lines. It is safe for concurrent use.
type logBuffer struct {
	mu    sync.Mutex
	lines strings.Builder
}

func (t *logBuffer) Write(line []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lines.Write(line)
}

func (t *logBuffer) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lines.String()
}

// testFleet is a fleet with the platform's store and workers, connected over sockets. Its
// assertions fail the test that it belongs to.
type testFleet struct {
	Gomega
	store       *standin.Store
	members     []*member
	workerCount int
	// cleanup registers a function to run at the end of the test.
	cleanup func(func())
	// clock is the clock of the nodes started; nil means time.Now.
	clock granitehoist.Clock
	// terms are the terms of roll-outs of the nodes started.
	terms rollout.Terms
	// withoutTunnels makes the nodes started open no tunnels for neighbours.
	withoutTunnels bool

	// mu guards started, all nodes that were started, and fronts, which serve the store to
	// them.
	mu      sync.Mutex
	started []*node.Node
	fronts  []*http.Server
}

// lastIP is the last loopback address assigned to a node of any test, so that no two
// share one.
var lastIP atomic.Int32

// nextIP returns a loopback address that no other test uses, in this or a concurrent
// process: the settings file fixes the ports, so each process needs its own networks. Those
// from 128 to 223 belong to package soak.
func nextIP() string {
	const octet, hosts = 256, 254
	networks := []struct{ first, count int }{{64, 64}, {224, 31}, {16, 48}}
	pid, number := os.Getpid(), int(lastIP.Add(1)-1)
	network := networks[number/hosts]
	return fmt.Sprintf("127.%d.%d.%d", network.first+pid/octet%network.count, pid%octet, 1+number%hosts)
}

// newSpecFleet starts a fleet for a Ginkgo spec, with nodes that have no configuration
// yet.
func newSpecFleet(nodes int) *testFleet {
	return startFleet(Default, func(end func()) { DeferCleanup(end) }, nodes)
}

// newTestFleet starts a fleet for a Go test, which may run in parallel with others.
func newTestFleet(t *testing.T, nodes int) *testFleet {
	t.Helper()
	g := NewWithT(t)
	g.SetDefaultEventuallyTimeout(stepTimeout)
	return startFleet(g, t.Cleanup, nodes)
}

// newListedFleet starts a fleet whose nodes start one after the other, each once the one
// before is listed in the store. They know each other sooner than those of newTestFleet,
// which have to read the list again.
func newListedFleet(t *testing.T, nodes int) *testFleet {
	t.Helper()
	return newTestFleet(t, 0).startListed(nodes)
}

// newListedSpecFleet is newListedFleet for a spec.
func newListedSpecFleet(nodes int) *testFleet { return newSpecFleet(0).startListed(nodes) }

// startListed starts the first nodes of a fleet one after the other.
func (s *testFleet) startListed(nodes int) *testFleet {
	for i := range nodes {
		s.members = append(s.members, s.start())
		s.Eventually(func() []string { return s.keysUnder("boxes/") }, stepTimeout).Should(HaveLen(i + 1))
	}
	return s
}

// startFleet starts a fleet. It registers its clean-up with the given function.
func startFleet(g Gomega, atEnd func(func()), nodes int) *testFleet {
	s := &testFleet{Gomega: g, store: standin.NewStore(standin.StoreSettings{}), cleanup: atEnd}
	s.cleanup(s.stopAll)
	for range nodes {
		s.members = append(s.members, s.start())
	}
	return s
}

// stopAll stops all nodes at once and then the store.
func (s *testFleet) stopAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	var stopping sync.WaitGroup
	for _, n := range s.started {
		stopping.Go(n.Stop)
	}
	stopping.Wait()
	for _, front := range s.fronts {
		_ = front.Close()
	}
}

// start starts a node with its own store front end.
func (s *testFleet) start() *member { return s.startPartitioned(connected) }

// startPartitioned starts a node in a partition from the workers.
func (s *testFleet) startPartitioned(kind partitionKind) *member {
	ip := nextIP()
	front := &standin.PlatformStore{Store: s.store}
	listener, err := net.Listen("tcp", ip+":8223")
	s.Expect(err).NotTo(HaveOccurred())
	server := &http.Server{Handler: front, ReadHeaderTimeout: stepTimeout}
	go func() { _ = server.Serve(listener) }()
	s.mu.Lock()
	s.fronts = append(s.fronts, server)
	s.mu.Unlock()
	settings := fmt.Sprintf(`{"nodeName":"edge-%s","ipAddress":%q,"zone":"hall","listenAddrs":{"frontend":"%s:8227","ready":"%s:8220"},
		"internalPortRange":[7340,7355],"bounds":{"gracePeriodS":4,"drainMs":500,"retryBudgetRatio":0.2,"retryWindowS":10,"budgetSlack":50},
		"platform":{"address":%q}}`, ip, ip, ip, ip, listener.Addr().String())
	config, err := platform.ParseSettings("test", []byte(settings))
	s.Expect(err).NotTo(HaveOccurred())
	config.MetricsAddress = ip + ":9464"
	config.Clock = s.clock
	config.Rollout = s.terms
	if s.withoutTunnels {
		config.TunnelPort = 0
	}
	cut := newPartition()
	cut.set(kind)
	config.UpstreamDialer = cut
	m := s.run(config, front)
	m.partition = cut
	return m
}

// run starts a node with a configuration and a store front end.
func (s *testFleet) run(config *node.Config, front *standin.PlatformStore) *member {
	core, logs := observer.New(zapcore.InfoLevel)
	text := &logBuffer{}
	log := zap.New(zapcore.NewTee(core, logsink.NewLogger(text, zapcore.InfoLevel).Core()))
	n, err := node.New(config, platform.NewAdapter(platform.StoreSettings{Address: config.StoreAddress, WatchWait: 300 * time.Millisecond, Timeout: 500 * time.Millisecond}), log)
	s.Expect(err).NotTo(HaveOccurred())
	n.Start()
	m := &member{Gomega: s.Gomega, node: n, config: config, store: front, logs: logs, logText: text}
	s.mu.Lock()
	s.started = append(s.started, n)
	s.mu.Unlock()
	return m
}

// put writes a key, whatever its current value.
func (s *testFleet) put(key string, value any) {
	raw, isRaw := value.([]byte)
	if !isRaw {
		var err error
		raw, err = json.Marshal(value)
		s.Expect(err).NotTo(HaveOccurred())
	}
	s.Eventually(func() error {
		entry, err := s.store.Get(context.Background(), key)
		if err != nil {
			return err
		}
		_, err = s.store.CompareAndSwap(context.Background(), granitehoist.Change{Key: key, Value: raw, Expect: entry.Version})
		return err
	}).Should(Succeed())
}

// configure writes a configuration with a route to the pool for each prefix.
func (s *testFleet) configure(revision int, reserved int, prefixes ...string) {
	var routes []string
	for i, prefix := range prefixes {
		kind := "safe"
		if strings.Contains(prefix, "stream") {
			kind = "streaming"
		}
		if strings.Contains(prefix, "once") {
			kind = "unsafe"
		}
		routes = append(routes, fmt.Sprintf(`{"name":"r%d","hostname":"h.example","pathPrefix":%q,"type":%q,"timeoutMs":5000,"targetLatencyMs":800,"priorityClass":1,"backend":"pool","maxAttempts":2,"streamResume":true}`, i, prefix, kind))
	}
	s.put(platform.ConfigKey, []byte(fmt.Sprintf(`{"revision":%d,"routes":[%s],"backends":[{"name":"pool","healthPath":"/healthz","runtime":{"capacity":8,"increment":5}}],
		"limits":{"maxHeaderBytes":16384,"maxBodyBytes":65536,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
		"tenants":[{"name":"kiosk","apiKeys":["a-key"],"reserved":%d}]}`, revision, strings.Join(routes, ","), reserved)))
}

// startWorker starts a worker with a fixed answer and announces it.
func (s *testFleet) startWorker(answer standin.WorkerResponse) *standin.Worker {
	return s.startWorkerFunc(func(standin.ReceivedRequest) standin.WorkerResponse { return answer })
}

// startWorkerFunc starts a worker that calls a function for each answer, and announces
// it.
func (s *testFleet) startWorkerFunc(answers func(standin.ReceivedRequest) standin.WorkerResponse) *standin.Worker {
	s.workerCount++
	id := fmt.Sprintf("i-%d", s.workerCount)
	w, err := standin.NewWorker(id, answers)
	s.Expect(err).NotTo(HaveOccurred())
	s.cleanup(w.Close)
	s.announce(w, "ready")
	return w
}

func (s *testFleet) announce(w *standin.Worker, phase string) {
	s.put(platform.InstancesPrefix+w.Instance(), []byte(fmt.Sprintf(`{"backend":"pool","address":%q,"zone":"hall","capacity":8,"phase":%q}`, w.Address(), phase)))
}

// deleteWorkerEntry deletes the entry of a worker, which continues to serve.
func (s *testFleet) deleteWorkerEntry(w *standin.Worker) {
	s.deleteKey(platform.InstancesPrefix + w.Instance())
}

// deleteKey deletes a key, which must exist, from the store.
func (s *testFleet) deleteKey(key string) {
	entry, err := s.store.Get(context.Background(), key)
	s.Expect(err).NotTo(HaveOccurred())
	_, err = s.store.CompareAndSwap(context.Background(), granitehoist.Change{Key: key, Expect: entry.Version, Delete: true})
	s.Expect(err).NotTo(HaveOccurred())
}

// keysUnder returns the keys with a prefix.
func (s *testFleet) keysUnder(prefix string) []string {
	entries, _, err := s.store.List(context.Background(), prefix)
	s.Expect(err).NotTo(HaveOccurred())
	var keys []string
	for _, e := range entries {
		keys = append(keys, e.Key)
	}
	return keys
}

// metrics returns the metrics page of the node, empty if it cannot be read.
func (m *member) metrics() string {
	response, err := http.Get("http://" + m.config.MetricsAddress + "/metrics")
	if err != nil {
		return ""
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	m.Expect(err).NotTo(HaveOccurred())
	return string(text)
}

// metric returns the value of a metric without labels, empty if there is none.
func (m *member) metric(name string) string {
	for line := range strings.SplitSeq(m.metrics(), "\n") {
		if value, found := strings.CutPrefix(line, name+" "); found {
			return value
		}
	}
	return ""
}

// knowsDraining returns a function that reports whether the node has logged that a worker
// drains.
func (m *member) knowsDraining(w *standin.Worker) func() bool {
	return func() bool {
		lines := m.logs.FilterMessage(event.Upstream).FilterField(zap.String("upstream", w.Instance()))
		return lines.FilterField(zap.Bool("draining", true)).Len() > 0
	}
}

// knows returns a function that reports whether the node has logged a worker.
func (m *member) knows(w *standin.Worker) func() bool {
	return func() bool {
		return m.logs.FilterMessage(event.Upstream).FilterField(zap.String("upstream", w.Instance())).Len() > 0
	}
}

// unknownWorkers returns a function that returns the keys of the announced workers that a
// node has not logged.
func (s *testFleet) unknownWorkers(m *member) func() []string {
	announced := s.keysUnder(platform.InstancesPrefix)
	return func() []string {
		known := map[string]bool{}
		for _, line := range m.logs.FilterMessage(event.Upstream).All() {
			known[platform.InstancesPrefix+line.ContextMap()["upstream"].(string)] = true
		}
		return slices.DeleteFunc(slices.Clone(announced), func(key string) bool { return known[key] })
	}
}

// knowsRemoved returns a function that reports whether the node has logged that a worker
// was removed.
func (m *member) knowsRemoved(w *standin.Worker) func() bool {
	return func() bool {
		return m.logs.FilterMessage(event.UpstreamGone).FilterField(zap.String("upstream", w.Instance())).Len() > 0
	}
}

// sequentialRequests is the number of requests that expectOnly sends.
const sequentialRequests = 20

// expectOnly sends requests and expects all responses to have the given body, and no
// request at the idle workers.
func (m *member) expectOnly(body string, idle ...*standin.Worker) {
	GinkgoHelper()
	before := map[string]int{}
	for _, w := range idle {
		before[w.Instance()] = len(w.Requests())
	}
	for i := range sequentialRequests {
		got, err := m.ask("/a/x", fmt.Sprintf("r-%d", i))
		m.Expect(err).NotTo(HaveOccurred())
		m.Expect(got.body).To(Equal(body))
	}
	for _, w := range idle {
		m.Expect(w.Requests()).To(HaveLen(before[w.Instance()]))
	}
}

// answer is the response that a client received.
type answer struct {
	status int
	header http.Header
	body   string
}

// noTokens is the cost of requests whose tokens don't matter: the service is metered, so that
// each has to state one.
const noTokens = "0,0"

// ask sends a request over a new connection. header holds names and values in turn.
func (m *member) ask(path, id string, header ...string) (answer, error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+m.config.CallerAddress+path, strings.NewReader("question"))
	if err != nil {
		return answer{}, err
	}
	request.Host = "h.example"
	request.Header.Set("Attempt-Id", id)
	request.Header.Set("Authorization", "Token a-key")
	request.Header.Set("Deadline-Ms", "4000")
	request.Header.Set("Token-Usage", noTokens)
	for i := 0; i+1 < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: stepTimeout}
	response, err := client.Do(request)
	if err != nil {
		return answer{}, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return answer{response.StatusCode, response.Header, string(body)}, err
}

// status returns a function that sends a request and returns its status, 0 without a
// response.
func (m *member) status(path string) func() int {
	return func() int {
		got, err := m.ask(path, "probe")
		if err != nil {
			return 0
		}
		return got.status
	}
}

func (m *member) ready() int {
	response, err := http.Get("http://" + m.config.ReadinessAddress + "/readyz")
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// reachable reports whether an address accepts connections.
func reachable(address string) bool {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}
