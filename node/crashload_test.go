// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package node_test

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"granitehoist.example/granitehoist/standin"
)

// crashLoad is a service of upstreams that crash under some requests, or all at once, and
// restart a while later as new instances.
type crashLoad struct {
	fleet *testFleet
	// behindProxy says that an upstream's address still accepts connections after a
	// crash, and resets them.
	behindProxy bool

	// mu guards the fields below.
	mu      sync.Mutex
	slots   []*upstreamSlot
	started int
	// crashes holds the times of crashes under a poison request, arrivals those at which
	// one reached an upstream.
	crashes, arrivals []time.Time
	stopped           bool
}

// upstreamSlot holds the current upstream of one of the service's addresses.
type upstreamSlot struct {
	proxy  *resettingProxy
	worker *standin.Worker
	down   bool
}

const (
	// crashDelay is the time from the arrival of a poison request to the crash,
	// restartDelay that from the crash to the restart.
	crashDelay   = 60 * time.Millisecond
	restartDelay = 2 * time.Second
)

// newCrashLoad starts the upstreams.
func newCrashLoad(s *testFleet, upstreams int, behindProxy bool) *crashLoad {
	l := &crashLoad{fleet: s, behindProxy: behindProxy}
	for range upstreams {
		slot := &upstreamSlot{}
		if behindProxy {
			slot.proxy = newResettingProxy(s)
		}
		l.slots = append(l.slots, slot)
		l.startUpstream(slot)
	}
	s.cleanup(l.stop)
	return l
}

// stop prevents further restarts.
func (l *crashLoad) stop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopped = true
}

// startUpstream starts a new upstream in a slot and announces it.
func (l *crashLoad) startUpstream(slot *upstreamSlot) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stopped {
		return
	}
	if slot.worker != nil {
		l.fleet.deleteWorkerEntry(slot.worker)
	}
	l.started++
	worker, err := standin.NewWorker(fmt.Sprintf("life-%d", l.started), func(a standin.ReceivedRequest) standin.WorkerResponse {
		return l.answer(slot, a)
	})
	if err != nil {
		return
	}
	l.fleet.cleanup(worker.Close)
	slot.worker, slot.down = worker, false
	address := worker.Address()
	if slot.proxy != nil {
		slot.proxy.setTarget(address)
		address = slot.proxy.address()
	}
	l.fleet.announceAddress(worker.Instance(), address)
}

// answer answers a request, or crashes the upstream under it.
func (l *crashLoad) answer(slot *upstreamSlot, a standin.ReceivedRequest) standin.WorkerResponse {
	if !strings.Contains(a.Target, poison) && !strings.Contains(a.Header.Get("Prefix-Hash"), poison) {
		if strings.HasPrefix(a.Target, "/stream/") {
			return standin.WorkerResponse{Events: 4, Gap: 15 * time.Millisecond}
		}
		return standin.WorkerResponse{Body: "answer", Delay: 5 * time.Millisecond}
	}
	l.mu.Lock()
	l.arrivals = append(l.arrivals, time.Now())
	l.mu.Unlock()
	time.AfterFunc(crashDelay, func() {
		if l.crash(slot) {
			l.mu.Lock()
			defer l.mu.Unlock()
			l.crashes = append(l.crashes, time.Now())
		}
	})
	return standin.WorkerResponse{Hang: true}
}

// crash crashes the upstream of a slot, and reports whether it was running.
func (l *crashLoad) crash(slot *upstreamSlot) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if slot.down || l.stopped {
		return false
	}
	slot.down = true
	if slot.proxy != nil {
		slot.proxy.setTarget("")
	}
	slot.worker.Crash()
	time.AfterFunc(restartDelay, func() { l.startUpstream(slot) })
	return true
}

// crashAll crashes all upstreams at once.
func (l *crashLoad) crashAll() {
	for _, slot := range l.slots {
		l.crash(slot)
	}
}

// lateArrivals returns how many poison requests reached an upstream more than 3 s after
// the third crash, and the number of crashes.
func (l *crashLoad) lateArrivals() (late, crashes int) { return l.arrivalsAfterCrash(3) }

// arrivalsAfterCrash returns how many poison requests reached an upstream more than 3 s
// after the n-th crash, and the number of crashes.
func (l *crashLoad) arrivalsAfterCrash(n int) (late, crashes int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.crashes) < n {
		return 0, len(l.crashes)
	}
	for _, at := range l.arrivals {
		if at.Sub(l.crashes[n-1]) > 3*time.Second {
			late++
		}
	}
	return late, len(l.crashes)
}

// announceAddress announces an upstream at an address.
func (s *testFleet) announceAddress(id, address string) {
	s.put("servers/"+id, []byte(fmt.Sprintf(`{"backend":"pool","address":%q,"zone":"hall","capacity":8,"phase":"ready"}`, address)))
}

// resettingProxy forwards connections to an upstream, and accepts and resets them while
// there is none.
type resettingProxy struct {
	listener net.Listener

	// mu guards target and conns.
	mu     sync.Mutex
	target string
	conns  map[net.Conn]struct{}
}

func newResettingProxy(s *testFleet) *resettingProxy {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	s.Expect(err).NotTo(HaveOccurred())
	f := &resettingProxy{listener: listener, conns: map[net.Conn]struct{}{}}
	s.cleanup(func() { _ = listener.Close() })
	go f.accept()
	return f
}

func (f *resettingProxy) address() string { return f.listener.Addr().String() }

// setTarget changes the upstream. An empty target resets all connections.
func (f *resettingProxy) setTarget(target string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.target = target
	for c := range f.conns {
		if target == "" {
			resetConn(c)
			delete(f.conns, c)
		}
	}
}

func (f *resettingProxy) accept() {
	for {
		c, err := f.listener.Accept()
		if err != nil {
			return
		}
		f.mu.Lock()
		target := f.target
		f.conns[c] = struct{}{}
		f.mu.Unlock()
		go f.serve(c, target)
	}
}

// serve forwards one connection until either side closes it.
func (f *resettingProxy) serve(c net.Conn, target string) {
	defer resetConn(c)
	if target == "" {
		return
	}
	upstream, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	go func() {
		_, _ = io.Copy(upstream, c)
		_ = upstream.Close()
	}()
	_, _ = io.Copy(c, upstream)
}

// resetConn closes a connection with a reset; it may be closed already.
func resetConn(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// responseCounts counts the responses to one kind of request. It is safe for concurrent
// use.
type responseCounts struct {
	mu             sync.Mutex
	asked, served  int
	lateAsked      int
	lateServed     int
	lateFrom       time.Time
	otherResponses map[int]int
}

// countLateFrom sets the time from which requests count as late.
func (t *responseCounts) countLateFrom(from time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lateFrom = from
}

// record counts the response to a request that was sent at the time asked. A request that
// was sent at lateFrom or later is also counted in lateAsked and lateServed.
func (t *responseCounts) record(status int, asked time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.asked++
	isLate := !asked.Before(t.lateFrom)
	if isLate {
		t.lateAsked++
	}
	if status != http.StatusOK {
		if t.otherResponses == nil {
			t.otherResponses = map[int]int{}
		}
		t.otherResponses[status]++
		return
	}
	t.served++
	if isLate {
		t.lateServed++
	}
}

// askWithBody sends a request with a body to a node and returns the status, -1 after a
// timeout and 0 after any other failure.
func (m *member) askWithBody(client *http.Client, path, id, body string) int {
	request, err := http.NewRequest(http.MethodPost, "http://"+m.config.CallerAddress+path, strings.NewReader(body))
	if err != nil {
		return 0
	}
	request.Host = "h.example"
	request.Header.Set("Attempt-Id", id)
	request.Header.Set("Token-Usage", noTokens)
	request.Header.Set("Authorization", "Token a-key")
	request.Header.Set("Deadline-Ms", "2000")
	response, err := client.Do(request)
	if err != nil {
		var timeout net.Error
		if errors.As(err, &timeout) && timeout.Timeout() {
			return -1
		}
		return 0
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.StatusCode
}

// startCallers sends requests from count concurrent callers until a time, each with a
// pause after every response. body returns the body of a request by its number.
func (s *testFleet) startCallers(count int, pause time.Duration, until time.Time, path string, body func(int) string, answers *responseCounts, late time.Duration) *sync.WaitGroup {
	var all sync.WaitGroup
	answers.countLateFrom(time.Now().Add(late))
	for caller := range count {
		all.Go(func() {
			client := &http.Client{Timeout: stepTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 2}}
			defer client.CloseIdleConnections()
			for n := 0; time.Now().Before(until); n++ {
				m := s.members[(caller+n)%len(s.members)]
				asked := time.Now()
				status := m.askWithBody(client, path, fmt.Sprintf("%s-%d-%d", path, caller, n), body(caller*1_000_000+n))
				answers.record(status, asked)
				time.Sleep(pause)
			}
		})
	}
	return &all
}

// poisonScenario configures runPoisonRequest.
type poisonScenario struct {
	behindProxy, variedBodies bool
	// maxCrashes bounds the crashes under poison requests. It exceeds the number of rounds
	// after which package suspect refuses a request or a scope, since several upstreams may
	// crash in one round. maxLateArrivals bounds the poison requests that reach an upstream
	// more than 3 s after the third crash: by then all routers know of that crash.
	maxCrashes, maxLateArrivals int
}

// runPoisonRequest starts four concurrent callers that send poison requests, with the same
// body or varied bodies, and twelve that send regular requests. It checks the bounds of the
// scenario, and that at least 95% of the regular requests after settled are served.
func runPoisonRequest(t *testing.T, scenario poisonScenario) {
	const routers, upstreams, lasts, settled = 6, 16, 12 * time.Second, 6 * time.Second
	s := newListedFleet(t, routers)
	s.configure(1, 1_000_000, "/a/", "/once/")
	load := newCrashLoad(s, upstreams, scenario.behindProxy)
	s.awaitFleet("/a/x")
	until := time.Now().Add(lasts)
	unique := func(n int) string { return fmt.Sprint("question ", n) }
	repeated := func(int) string { return "question" }
	if scenario.variedBodies {
		repeated = unique
	}
	var poisoned, regular responseCounts
	poisonCallers := s.startCallers(4, 10*time.Millisecond, until, "/once/"+poison, repeated, &poisoned, settled)
	s.startCallers(12, 25*time.Millisecond, until, "/a/x", unique, &regular, settled).Wait()
	poisonCallers.Wait()
	late, crashes := load.lateArrivals()
	t.Logf("%d crashes, %d late arrivals, regular %d of %d served, %d of %d later, %v", crashes, late,
		regular.served, regular.asked, regular.lateServed, regular.lateAsked, regular.otherResponses)
	s.Expect(crashes).To(BeNumerically("<=", scenario.maxCrashes), "crashes")
	s.Expect(late).To(BeNumerically("<=", scenario.maxLateArrivals), "late arrivals")
	s.Expect(regular.lateServed).To(BeNumerically(">=", regular.lateAsked*95/100), "regular requests")
}

// runPowerLosses sends a regular request from many callers while all upstreams crash
// together four times.
func runPowerLosses(t *testing.T, behindProxy bool) {
	const routers, upstreams, callers, losses, between = 6, 16, 48, 4, 2500 * time.Millisecond
	s := newListedFleet(t, routers)
	s.configure(1, 1_000_000, "/a/", "/once/")
	load := newCrashLoad(s, upstreams, behindProxy)
	s.awaitFleet("/a/x")
	const lasts = losses*between + restartDelay + 5*time.Second
	until := time.Now().Add(lasts)
	var popular responseCounts
	calling := s.startCallers(callers, 5*time.Millisecond, until, "/a/popular", func(int) string { return "question" }, &popular, lasts)
	for range losses {
		time.Sleep(between)
		load.crashAll()
	}
	// On a busy machine the losses take longer than the pauses between them.
	popular.countLateFrom(time.Now().Add(restartDelay + time.Second))
	calling.Wait()
	t.Logf("%d of %d served, %d of %d after the last loss, %v", popular.served, popular.asked, popular.lateServed, popular.lateAsked, popular.otherResponses)
	s.Expect(popular.lateAsked).To(BeNumerically(">", 100))
	s.Expect(popular.lateServed).To(Equal(popular.lateAsked), "popular requests after the upstreams are back")
}

// TestPoisonRequestAtClosedAddresses guards against unbounded crashes where the addresses
// of crashed upstreams refuse connections.
func TestPoisonRequestAtClosedAddresses(t *testing.T) {
	runPoisonRequest(t, poisonScenario{maxCrashes: 8, maxLateArrivals: 9})
}

// TestPoisonRequestBehindProxies guards against crashes that are not counted since a
// proxy still accepts the connections.
func TestPoisonRequestBehindProxies(t *testing.T) {
	runPoisonRequest(t, poisonScenario{behindProxy: true, maxCrashes: 8, maxLateArrivals: 9})
}

// TestPoisonRequestWithVariedBodies guards against evidence that covers one request body
// only.
func TestPoisonRequestWithVariedBodies(t *testing.T) {
	runPoisonRequest(t, poisonScenario{variedBodies: true, maxCrashes: 24, maxLateArrivals: 9})
}

// TestPopularRequestSurvivesPowerLoss guards against refusing a frequent regular request
// after all upstreams crashed at once.
func TestPopularRequestSurvivesPowerLoss(t *testing.T) { runPowerLosses(t, false) }

// TestPopularRequestSurvivesPowerLossBehindProxies is the same with proxies that still
// accept connections.
func TestPopularRequestSurvivesPowerLossBehindProxies(t *testing.T) { runPowerLosses(t, true) }
