// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package node_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/internal/event"
	"granitehoist.example/granitehoist/standin"
)

// partitionKind says what happens to a router's connections to upstreams.
type partitionKind int

const (
	// connected: there is no partition.
	connected partitionKind = iota
	// hanging: new connections and established ones get no packets through.
	hanging
	// resetting: established connections are reset and new ones are refused.
	resetting
	// refusing: established connections live on and new ones are refused.
	refusing
)

var partitionNames = map[partitionKind]string{connected: "connected", hanging: "hanging", resetting: "resetting", refusing: "refusing"}

// silentPeerTimeout is the time after which the kernel closes a connection whose peer does
// not respond.
const silentPeerTimeout = 1500 * time.Millisecond

// partition is a dialer whose connections can be partitioned. It is safe for concurrent
// use.
type partition struct {
	mu      sync.Mutex
	kind    partitionKind
	since   time.Time
	changed chan struct{}
	conns   map[*partitionedConn]struct{}
}

func newPartition() *partition {
	return &partition{changed: make(chan struct{}), conns: map[*partitionedConn]struct{}{}}
}

// set changes the kind of the partition.
func (p *partition) set(kind partitionKind) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.kind, p.since = kind, time.Now()
	close(p.changed)
	p.changed = make(chan struct{})
	if kind != resetting {
		return
	}
	for c := range p.conns {
		c.reset()
	}
}

// current returns the kind, when it was set, and a channel that is closed when it changes.
func (p *partition) current() (partitionKind, time.Time, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.kind, p.since, p.changed
}

// DialContext implements exchange.Dialer.
func (p *partition) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	switch kind, _, _ := p.current(); kind {
	case hanging:
		<-ctx.Done()
		return nil, &net.OpError{Op: "dial", Net: network, Err: os.ErrDeadlineExceeded}
	case resetting, refusing:
		return nil, &net.OpError{Op: "dial", Net: network, Err: syscall.ECONNREFUSED}
	case connected:
	}
	var dialer net.Dialer
	raw, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	tcp, ok := raw.(*net.TCPConn)
	if !ok {
		return nil, errors.New("not a TCP connection")
	}
	c := &partitionedConn{TCPConn: tcp, partition: p}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[c] = struct{}{}
	return c, nil
}

// partitionedConn is a connection of a partition.
type partitionedConn struct {
	*net.TCPConn
	partition *partition
	wasReset  atomic.Bool
}

func (c *partitionedConn) reset() {
	c.wasReset.Store(true)
	// An error means that the connection is closed already.
	_ = c.SetLinger(0)
	_ = c.TCPConn.Close()
}

// Read implements net.Conn. While the partition hangs it returns nothing, and a time-out
// after silentPeerTimeout. After a reset it returns ECONNRESET.
func (c *partitionedConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	if err != nil && c.wasReset.Load() {
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: syscall.ECONNRESET}
	}
	for {
		kind, since, changed := c.partition.current()
		if kind != hanging {
			return n, err
		}
		select {
		case <-changed:
		case <-time.After(time.Until(since.Add(silentPeerTimeout))):
			return 0, &net.OpError{Op: "read", Net: "tcp", Err: syscall.ETIMEDOUT}
		}
	}
}

// Write implements net.Conn. While the partition hangs the bytes are lost.
func (c *partitionedConn) Write(b []byte) (int, error) {
	if kind, _, _ := c.partition.current(); kind == hanging {
		return len(b), nil
	}
	return c.TCPConn.Write(b)
}

// Close implements net.Conn.
func (c *partitionedConn) Close() error {
	c.partition.mu.Lock()
	delete(c.partition.conns, c)
	c.partition.mu.Unlock()
	return c.TCPConn.Close()
}

// partitionSettleTime is the time from the begin of a partition until the bounds apply.
const partitionSettleTime = 3 * time.Second

// servedShare returns the share of requests with status 200 among those that were sent
// after a time to the members of the set, or to the others.
func servedShare(all []sentRequest, after time.Time, members map[int]bool, want bool) float64 {
	served, sent := 0, 0
	for _, e := range all {
		if members[e.member] != want || e.sent.Before(after) {
			continue
		}
		sent++
		if e.got.status == http.StatusOK {
			served++
		}
	}
	return float64(served) / float64(max(1, sent))
}

// TestPartitionedRoutersServe guards against callers that are refused because their router
// is partitioned from all upstreams while other routers reach them.
func TestPartitionedRoutersServe(t *testing.T) {
	t.Parallel()
	for _, kind := range []partitionKind{hanging, resetting, refusing} {
		for _, cut := range []int{1, 3} {
			t.Run(fmt.Sprintf("%s, %d of 4", partitionNames[kind], cut), func(t *testing.T) {
				t.Parallel()
				s := newTestFleet(t, 4)
				s.configure(1, 1_000_000, "/a/")
				for range 4 {
					s.startWorker(standin.WorkerResponse{Body: "answer", Delay: 200 * time.Millisecond})
				}
				s.awaitFleet("/a/x")
				// Few connections are open when the partition begins.
				s.sendLoad("/a/x", 400*time.Millisecond, time.Second)
				members := map[int]bool{}
				for i := range cut {
					s.members[i].partition.set(kind)
					members[i] = true
				}
				began := time.Now()
				all := s.sendLoad("/a/x", 40*time.Millisecond, partitionSettleTime+3*time.Second)
				others := servedShare(all, began.Add(partitionSettleTime), members, false)
				s.Expect(others).To(BeNumerically(">=", 0.98), "served at the other routers")
				s.Expect(servedShare(all, began.Add(partitionSettleTime), members, true)).To(BeNumerically(">=", 0.95*others), "served at the partitioned routers")
				for i := range cut {
					s.members[i].partition.set(connected)
				}
				healed := time.Now()
				after := s.sendLoad("/a/x", 40*time.Millisecond, 2*time.Second)
				s.Expect(servedShare(after, healed.Add(time.Second), members, true)).To(BeNumerically(">=", 0.98), "served after the partition")
			})
		}
	}
}

// newPartitionFleet starts a fleet with four workers that serve /a/.
func newPartitionFleet(t *testing.T, nodes int) *testFleet {
	t.Helper()
	s := newTestFleet(t, nodes)
	s.configure(1, 1_000_000, "/a/")
	for range 4 {
		s.startWorker(standin.WorkerResponse{Body: "answer"})
	}
	s.awaitFleet("/a/x")
	return s
}

// TestAllRoutersPartitioned guards against requests that are held although no router reaches
// an upstream, and against refusals that outlast the partition.
func TestAllRoutersPartitioned(t *testing.T) {
	t.Parallel()
	s := newPartitionFleet(t, 3)
	for _, m := range s.members {
		m.partition.set(hanging)
	}
	began := time.Now()
	all := s.sendLoad("/a/x", 40*time.Millisecond, partitionSettleTime+2*time.Second)
	for _, e := range all {
		if e.sent.Before(began.Add(partitionSettleTime)) {
			continue
		}
		s.Expect(e.got.status).To(Equal(http.StatusServiceUnavailable))
		s.Expect(e.got.header.Get("Retry-After")).NotTo(BeEmpty())
		s.Expect(e.took).To(BeNumerically("<", 400*time.Millisecond))
	}
	for _, m := range s.members {
		s.Expect(m.ready()).To(Equal(http.StatusOK), "no other router is better")
		m.partition.set(connected)
	}
	time.Sleep(time.Second)
	s.Expect(s.sendLoadStatuses("/a/x", 40*time.Millisecond, time.Second)).To(And(HaveLen(1), HaveKey(http.StatusOK)), "statuses afterwards")
}

// TestRouterStartsPartitioned guards against a router that is started again during a
// partition and does not find a detour.
func TestRouterStartsPartitioned(t *testing.T) {
	t.Parallel()
	s := newPartitionFleet(t, 3)
	started := s.startPartitioned(resetting)
	s.Eventually(started.ready, stepTimeout).Should(Equal(http.StatusOK))
	s.Eventually(started.status("/a/x"), partitionSettleTime).Should(Equal(http.StatusOK))
	s.members = []*member{started}
	s.Expect(s.sendLoadStatuses("/a/x", 40*time.Millisecond, time.Second)).To(And(HaveLen(1), HaveKey(http.StatusOK)), "statuses")
	s.Expect(started.logs.FilterMessage(event.PathLost).Len()).To(Equal(1))
}

// TestPartitionedBesideOldVersion guards against a partitioned router that remains ready
// although only routers without tunnels, as those of an older version, reach upstreams.
func TestPartitionedBesideOldVersion(t *testing.T) {
	t.Parallel()
	s := newTestFleet(t, 0)
	s.withoutTunnels = true
	s.members = append(s.members, s.start())
	s.withoutTunnels = false
	s.members = append(s.members, s.start())
	s.configure(1, 1_000_000, "/a/")
	for range 4 {
		s.startWorker(standin.WorkerResponse{Body: "answer"})
	}
	s.awaitFleet("/a/x")
	m := s.members[1]
	m.partition.set(resetting)
	s.members = []*member{m}
	began := time.Now()
	all := s.sendLoad("/a/x", 40*time.Millisecond, partitionSettleTime+time.Second)
	s.Expect(m.ready()).To(Equal(http.StatusServiceUnavailable))
	for _, e := range all {
		if e.sent.After(began.Add(partitionSettleTime)) {
			s.Expect(e.got.status).To(Equal(http.StatusServiceUnavailable))
			s.Expect(e.took).To(BeNumerically("<", 400*time.Millisecond))
		}
	}
	m.partition.set(connected)
	s.Eventually(m.ready, partitionSettleTime).Should(Equal(http.StatusOK))
	s.Expect(m.status("/a/x")()).To(Equal(http.StatusOK))
}

// TestTunnelOutlivesStop guards against streams of a partitioned router that break when the
// router which carries them stops in good order.
func TestTunnelOutlivesStop(t *testing.T) {
	t.Parallel()
	const streams, streamEvents = 12, 20
	s := newTestFleet(t, 2)
	s.configure(1, 1_000_000, "/stream/")
	for range 3 {
		s.startWorker(standin.WorkerResponse{Events: streamEvents, Gap: 100 * time.Millisecond})
	}
	s.awaitFleet("/stream/x")
	m, carrier := s.members[0], s.members[1]
	m.partition.set(resetting)
	s.Eventually(m.status("/stream/x"), stepTimeout).Should(Equal(http.StatusOK))
	s.Expect(carrier.metric("tunnels")).NotTo(Equal("0"))
	var callers sync.WaitGroup
	answers := make([]answer, streams)
	for i := range answers {
		callers.Go(func() {
			got, err := m.ask("/stream/x", fmt.Sprintf("r-%d", i), "Token-Usage", "10,100")
			s.Expect(err).NotTo(HaveOccurred())
			answers[i] = got
		})
	}
	// A stream that begins later finds no router to go through.
	s.Eventually(func() string { return carrier.metric("tunnels") }, stepTimeout).WithPolling(20 * time.Millisecond).Should(Equal(fmt.Sprint(streams)))
	carrier.node.Stop()
	callers.Wait()
	for _, got := range answers {
		s.Expect(got.status).To(Equal(http.StatusOK))
		s.Expect(strings.Count(got.body, "id: ")).To(Equal(streamEvents))
	}
}

// TestPartitionIsNoCrash guards against requests that all routers take for crashing upstreams
// because one router was partitioned while it sent them.
func TestPartitionIsNoCrash(t *testing.T) {
	t.Parallel()
	const cuts = 4
	s := newTestFleet(t, 3)
	s.configure(1, 1_000_000, "/a/")
	for range 6 {
		s.startWorker(standin.WorkerResponse{Body: "answer", Delay: 300 * time.Millisecond})
	}
	s.awaitFleet("/a/x")
	m := s.members[0]
	statuses := make(chan map[int]int)
	go func() { statuses <- s.sendLoadStatuses("/a/x", 50*time.Millisecond, 2*cuts*time.Second) }()
	for range cuts {
		time.Sleep(time.Second)
		m.partition.set(resetting)
		time.Sleep(time.Second)
		m.partition.set(connected)
	}
	s.Expect(<-statuses).To(HaveKey(http.StatusOK))
	for _, each := range s.members {
		s.Expect(each.logs.FilterMessage(event.Suspect).Len()).To(BeZero(), "crashes recorded")
		s.Expect(each.logs.FilterMessage(event.Request).FilterField(zap.Int("code", int(granitehoist.CrashesUpstreams))).Len()).To(BeZero())
	}
}

// TestDetourThroughUnknownNode guards against a partitioned router that finds no detour
// because it does not know yet the only node with a path.
func TestDetourThroughUnknownNode(t *testing.T) {
	t.Parallel()
	s := newPartitionFleet(t, 2)
	// The node that joins is known to the second one only, since it lists the nodes before
	// the first one has an entry.
	hidden := s.keysUnder("boxes/")
	first := s.members[0]
	for _, key := range hidden {
		if strings.HasSuffix(key, first.config.PeerIP) {
			s.deleteKey(key)
		}
	}
	s.start()
	s.Eventually(s.members[1].node.FleetSize, stepTimeout).Should(Equal(3))
	s.Expect(first.node.FleetSize()).To(Equal(2))
	for _, m := range s.members {
		m.partition.set(resetting)
	}
	s.Eventually(first.status("/a/x"), partitionSettleTime).Should(Equal(http.StatusOK))
}

// TestCrashedUpstreamsAreNoPartition guards against routers that take upstreams which
// crashed at the same time for a partition, and forget which upstreams are ejected.
func TestCrashedUpstreamsAreNoPartition(t *testing.T) {
	t.Parallel()
	s := newTestFleet(t, 3)
	s.configure(1, 1_000_000, "/a/")
	var workers []*standin.Worker
	for range 6 {
		workers = append(workers, s.startWorker(standin.WorkerResponse{Body: "answer", Delay: 20 * time.Millisecond}))
	}
	s.awaitFleet("/a/x")
	statuses := make(chan map[int]int)
	go func() { statuses <- s.sendLoadStatuses("/a/x", 20*time.Millisecond, 2*time.Second) }()
	time.Sleep(500 * time.Millisecond)
	for _, w := range workers[:4] {
		w.Crash()
	}
	s.Expect(<-statuses).To(And(HaveLen(1), HaveKey(http.StatusOK)), "statuses")
	for _, m := range s.members {
		s.Expect(m.logs.FilterMessage(event.PathLost).Len()).To(BeZero())
	}
}
