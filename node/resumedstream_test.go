// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package node_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/internal/pack"
	"granitehoist.example/granitehoist/origin"
	"granitehoist.example/granitehoist/platform"
	"granitehoist.example/granitehoist/standin"
)

const (
	// streamEvents is the number of events of a whole stream, brokenAfter the number of
	// those that an upstream sends before it breaks the stream off.
	streamEvents, brokenAfter = 6, 3
	// streamsAtReleases is the number of streams of a test with two releases. By chance all
	// would stay at their release in one of 2^24 runs.
	streamsAtReleases = 24
	// promptRefusal is the longest time to refuse a stream that cannot be resumed.
	promptRefusal = 500 * time.Millisecond
)

// releaseWorkers are workers of a service by their release.
type releaseWorkers map[granitehoist.Release][]*standin.Worker

// startReleases starts workers of each release, which respond as the function says.
func (s *testFleet) startReleases(perRelease int, respond func(standin.ReceivedRequest) standin.WorkerResponse, releases ...granitehoist.Release) releaseWorkers {
	workers := releaseWorkers{}
	for _, release := range releases {
		for i := range perRelease {
			w, err := standin.NewWorker(fmt.Sprintf("%s-%d", release, i), respond)
			s.Expect(err).NotTo(HaveOccurred())
			s.cleanup(w.Close)
			s.announceRelease(w, release, "ready")
			workers[release] = append(workers[release], w)
		}
	}
	return workers
}

func (s *testFleet) announceRelease(w *standin.Worker, release granitehoist.Release, phase string) {
	s.put(platform.InstancesPrefix+w.Instance(), fmt.Appendf(nil, `{"backend":"pool","address":%q,"zone":"hall","capacity":64,"phase":%q,"revision":%q}`, w.Address(), phase, release))
}

// breakOnce breaks each stream off on its way and completes it when it is resumed.
func breakOnce(r standin.ReceivedRequest) standin.WorkerResponse {
	return standin.WorkerResponse{Events: streamEvents, Cut: standin.Cut{Set: r.After == 0, After: brokenAfter}}
}

// sendSlowly completes each stream, with a gap before each event.
func sendSlowly(standin.ReceivedRequest) standin.WorkerResponse {
	return standin.WorkerResponse{Events: streamEvents, Gap: 20 * time.Millisecond}
}

// mixedStreams returns the streams that were sent to workers of two releases or more, by
// the request that began them.
func (w releaseWorkers) mixedStreams() []string {
	began := map[string]granitehoist.Release{}
	var mixed []string
	for release, workers := range w {
		for _, worker := range workers {
			for _, r := range worker.Requests() {
				root := r.ID
				if resumes := r.Header.Get("Resumes"); resumes != "" {
					root = resumes
				}
				if other, found := began[root]; found && other != release {
					mixed = append(mixed, fmt.Sprintf("%s (%s, %s)", root, other, release))
				}
				began[root] = release
			}
		}
	}
	return mixed
}

// requests returns the number of requests that the workers of a release got.
func (w releaseWorkers) requests(release granitehoist.Release) int {
	count := 0
	for _, worker := range w[release] {
		count += len(worker.Requests())
	}
	return count
}

// beginOf returns the release whose workers got the request with an id.
func (w releaseWorkers) beginOf(id string) granitehoist.Release {
	for release, workers := range w {
		for _, worker := range workers {
			for _, r := range worker.Requests() {
				if r.ID == id {
					return release
				}
			}
		}
	}
	return ""
}

// beginStream sends a request and leaves after some events of its stream.
func (m *member) beginStream(id string, events int) {
	request, err := http.NewRequest(http.MethodPost, "http://"+m.config.CallerAddress+"/stream/x", strings.NewReader("question"))
	m.Expect(err).NotTo(HaveOccurred())
	request.Host = "h.example"
	for name, value := range map[string]string{"Attempt-Id": id, "Authorization": "Token a-key", "Deadline-Ms": "4000", "Token-Usage": noTokens} {
		request.Header.Set(name, value)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: stepTimeout}
	response, err := client.Do(request)
	m.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = response.Body.Close() }()
	m.Expect(response.StatusCode).To(Equal(http.StatusOK))
	lines := bufio.NewScanner(response.Body)
	for got := 0; got < events && lines.Scan(); {
		if lines.Text() == "" {
			got++
		}
	}
	m.Expect(lines.Err()).NotTo(HaveOccurred())
}

// resume takes a stream up after an event and returns the answer and how long it took.
func (m *member) resume(id, root string, after int) (answer, time.Duration) {
	started := time.Now()
	got, err := m.ask("/stream/x", id, "Resumes", root, "Last-Event-Id", strconv.Itoa(after))
	if err != nil {
		m.Expect(err).To(MatchError(io.ErrUnexpectedEOF))
	}
	return got, time.Since(started)
}

// newReleaseFleet starts nodes that know workers of releases v1 and v2, two of each.
func newReleaseFleet(t *testing.T, nodes int, respond func(standin.ReceivedRequest) standin.WorkerResponse) (*testFleet, releaseWorkers) {
	t.Helper()
	s := newListedFleet(t, nodes)
	s.configure(1, 1_000_000, "/stream/", "/a/")
	workers := s.startReleases(2, respond, "v1", "v2")
	s.awaitFleet("")
	s.Eventually(func() []string { return s.keysUnder("releases/pool/") }, stepTimeout).Should(HaveLen(len(workers)))
	for _, m := range s.members {
		for _, list := range workers {
			for _, w := range list {
				s.Eventually(m.knows(w), stepTimeout).Should(BeTrue())
			}
		}
		s.Eventually(workers.beginningAt(m), stepTimeout).Should(HaveLen(len(workers)))
	}
	return s, workers
}

// beginningAt returns a function that sends a stream to a node and returns the releases at
// which the streams of all calls began.
func (w releaseWorkers) beginningAt(m *member) func() map[granitehoist.Release]bool {
	began := map[granitehoist.Release]bool{}
	sent := 0
	return func() map[granitehoist.Release]bool {
		sent++
		id := fmt.Sprintf("begin-%s-%d", m.config.CallerAddress, sent)
		if got, err := m.ask("/stream/x", id); err == nil && got.status == http.StatusOK {
			began[w.beginOf(id)] = true
		}
		return began
	}
}

// TestStreamStaysAtItsRelease guards against streams that hold events of two releases of an
// upstream's software, within an answer or over the requests of a caller.
func TestStreamStaysAtItsRelease(t *testing.T) {
	t.Parallel()
	t.Run("within an answer", func(t *testing.T) {
		t.Parallel()
		s, workers := newReleaseFleet(t, 1, breakOnce)
		for i := range streamsAtReleases {
			got, err := s.members[0].ask("/stream/x", fmt.Sprintf("q-%d", i))
			s.Expect(err).NotTo(HaveOccurred())
			s.Expect(strings.Count(got.body, "id: ")).To(Equal(streamEvents))
		}
		s.Expect(workers.mixedStreams()).To(BeEmpty())
	})
	t.Run("over the requests of a caller at all routers", func(t *testing.T) {
		t.Parallel()
		s, workers := newReleaseFleet(t, 3, sendSlowly)
		for i := range streamsAtReleases {
			root := fmt.Sprintf("q-%d", i)
			s.members[i%3].beginStream(root, 2)
			got, _ := s.members[(i+1)%3].resume(root+"-again", root, 2)
			s.Expect(got.status).To(Equal(http.StatusOK))
			s.Expect(strings.Count(got.body, "id: ")).To(Equal(streamEvents - 2))
			got, _ = s.members[(i+2)%3].resume(root+"-last", root, 4)
			s.Expect(got.status).To(Equal(http.StatusOK))
		}
		s.Expect(workers.mixedStreams()).To(BeEmpty())
	})
}

// beginAt begins streams at a node until one began at the release, and returns its id.
func (w releaseWorkers) beginAt(m *member, release granitehoist.Release, prefix string) string {
	for i := range streamsAtReleases {
		id := fmt.Sprintf("%s-%d", prefix, i)
		m.beginStream(id, 2)
		if w.beginOf(id) == release {
			return id
		}
	}
	m.Expect(release).To(BeEmpty(), "no stream began at the release")
	return ""
}

// expectResumed takes a stream up after its second event and expects the others.
func (m *member) expectResumed(root string) {
	got, _ := m.resume(root+"-again", root, 2)
	m.Expect(got.status).To(Equal(http.StatusOK), got.body)
	m.Expect(strings.Count(got.body, "id: ")).To(Equal(streamEvents - 2))
}

// expectNotResumed takes a stream up after its second event and expects a prompt refusal.
func (m *member) expectNotResumed(root string) {
	got, took := m.resume(root+"-again", root, 2)
	m.Expect(got.status).To(Equal(http.StatusServiceUnavailable))
	m.Expect(got.body).To(ContainSubstring(fmt.Sprintf(`"code":%d`, granitehoist.NotResumable)))
	m.Expect(got.header.Get("Retry-After")).To(BeEmpty())
	m.Expect(took).To(BeNumerically("<", promptRefusal))
}

// TestResumedStreamFindsItsRelease guards against streams that are lost, or that go on at
// another release, if the router that began them or the store is away.
func TestResumedStreamFindsItsRelease(t *testing.T) {
	t.Parallel()
	t.Run("after its router has ended", func(t *testing.T) {
		t.Parallel()
		s, workers := newReleaseFleet(t, 4, sendSlowly)
		root := workers.beginAt(s.members[0], "v1", "q")
		s.members[0].node.Stop()
		s.members[1].expectResumed(root)
		s.Expect(workers.mixedStreams()).To(BeEmpty())
	})
	t.Run("at a router that has just started", func(t *testing.T) {
		t.Parallel()
		s, workers := newReleaseFleet(t, 3, sendSlowly)
		root := workers.beginAt(s.members[0], "v2", "q")
		s.members[0].node.Stop()
		started := s.start()
		s.Eventually(started.ready, stepTimeout).Should(Equal(http.StatusOK))
		started.expectResumed(root)
		s.Expect(workers.mixedStreams()).To(BeEmpty())
	})
	t.Run("while the store is silent", func(t *testing.T) {
		t.Parallel()
		s, workers := newReleaseFleet(t, 3, sendSlowly)
		for _, m := range s.members {
			m.store.Fail(standin.PlatformFaults{Hang: true})
		}
		root := workers.beginAt(s.members[0], "v1", "q")
		s.members[1].expectResumed(root)
		s.members[0].node.Stop()
		s.members[2].expectResumed(root)
		s.Expect(workers.mixedStreams()).To(BeEmpty())
	})
	t.Run("with one worker of the release left", func(t *testing.T) {
		t.Parallel()
		s, workers := newReleaseFleet(t, 2, sendSlowly)
		root := workers.beginAt(s.members[0], "v1", "q")
		s.announceRelease(workers["v1"][0], "v1", "draining")
		s.Eventually(s.members[1].knowsDraining(workers["v1"][0]), stepTimeout).Should(BeTrue())
		s.members[1].expectResumed(root)
		s.Expect(workers.mixedStreams()).To(BeEmpty())
	})
	t.Run("after all routers of a service with one release have restarted", func(t *testing.T) {
		t.Parallel()
		s := newTestFleet(t, 2)
		s.configure(1, 1_000_000, "/stream/", "/a/")
		workers := s.startReleases(2, sendSlowly, "v1")
		s.awaitFleet("/a/x")
		root := workers.beginAt(s.members[0], "v1", "q")
		for _, m := range s.members {
			m.node.Stop()
		}
		started := s.start()
		s.Eventually(started.ready, stepTimeout).Should(Equal(http.StatusOK))
		started.expectResumed(root)
	})
}

// awaitArchived waits until the store holds the record of a stream.
func (s *testFleet) awaitArchived(root string) {
	fingerprint := origin.FingerprintOf(origin.Stream{Workspace: "kiosk", Request: granitehoist.RequestID(root)})
	s.Eventually(func() bool {
		for _, key := range s.keysUnder("origins/") {
			entry, err := s.store.Get(context.Background(), key)
			s.Expect(err).NotTo(HaveOccurred())
			var segment origin.Segment
			s.Expect(pack.Unpack(entry.Value, &segment)).To(Succeed())
			for _, g := range segment.Groups {
				if bytes.Contains(g.Streams, fingerprint[:]) {
					return true
				}
			}
		}
		return false
	}, stepTimeout).Should(BeTrue())
}

// TestRestartedRoutersResumeStreams guards against streams of a service with two releases that
// are lost, or that go on at the other release, after all routers were killed together.
func TestRestartedRoutersResumeStreams(t *testing.T) {
	t.Parallel()
	for _, nodes := range []int{1, 3} {
		for _, release := range []granitehoist.Release{"v1", "v2"} {
			t.Run(fmt.Sprintf("%d routers, begun at %s", nodes, release), func(t *testing.T) {
				t.Parallel()
				s, workers := newReleaseFleet(t, nodes, sendSlowly)
				root := workers.beginAt(s.members[0], release, "q")
				s.awaitArchived(root)
				for _, m := range s.members {
					m.node.Kill()
				}
				started := []*member{s.start(), s.start()}
				for _, m := range started {
					s.Eventually(m.ready, stepTimeout).Should(Equal(http.StatusOK))
				}
				for _, m := range started {
					m.expectResumed(root)
				}
				s.Expect(workers.mixedStreams()).To(BeEmpty())
			})
		}
	}
	t.Run("one release has left nothing in the store", func(t *testing.T) {
		t.Parallel()
		s := newTestFleet(t, 1)
		s.configure(1, 1_000_000, "/stream/", "/a/")
		workers := s.startReleases(2, sendSlowly, "v1")
		s.awaitFleet("/a/x")
		workers.beginAt(s.members[0], "v1", "q")
		s.Consistently(func() []string { return s.keysUnder("origins/") }, "500ms").Should(BeEmpty())
	})
}

// TestStreamIsNotResumedElsewhere guards against streams that go on at another release, and
// against callers who wait for the refusal.
func TestStreamIsNotResumedElsewhere(t *testing.T) {
	t.Parallel()
	t.Run("with no worker of the release left", func(t *testing.T) {
		t.Parallel()
		s, workers := newReleaseFleet(t, 2, sendSlowly)
		root := workers.beginAt(s.members[0], "v1", "q")
		for _, w := range workers["v1"] {
			s.announceRelease(w, "v1", "draining")
			for _, m := range s.members {
				s.Eventually(m.knowsDraining(w), stepTimeout).Should(BeTrue())
			}
		}
		before := workers.requests("v2")
		s.members[0].expectNotResumed(root)
		s.members[1].expectNotResumed(root)
		s.Expect(workers.requests("v2")).To(Equal(before))
	})
	t.Run("after all routers of a service with two releases have restarted, without an archived record", func(t *testing.T) {
		t.Parallel()
		s, workers := newReleaseFleet(t, 2, sendSlowly)
		for _, m := range s.members {
			m.store.Fail(standin.PlatformFaults{RefuseWrites: true})
		}
		root := workers.beginAt(s.members[0], "v1", "q")
		for _, m := range s.members {
			m.node.Kill()
		}
		started := s.start()
		s.Eventually(started.ready, stepTimeout).Should(Equal(http.StatusOK))
		started.expectNotResumed(root)
		s.Expect(workers.mixedStreams()).To(BeEmpty())
	})
	t.Run("after all routers of a service with two releases have restarted, with the store silent", func(t *testing.T) {
		t.Parallel()
		s, workers := newReleaseFleet(t, 2, sendSlowly)
		root := workers.beginAt(s.members[0], "v1", "q")
		s.awaitArchived(root)
		for _, m := range s.members {
			m.node.Kill()
		}
		started := s.start()
		s.Eventually(started.ready, stepTimeout).Should(Equal(http.StatusOK))
		started.store.Fail(standin.PlatformFaults{Hang: true})
		started.expectNotResumed(root)
		s.Expect(workers.mixedStreams()).To(BeEmpty())
	})
	t.Run("at a router without the store and without neighbours", func(t *testing.T) {
		t.Parallel()
		s, _ := newReleaseFleet(t, 1, sendSlowly)
		s.members[0].store.Fail(standin.PlatformFaults{Hang: true})
		s.members[0].expectNotResumed("q-unknown")
	})
	t.Run("if the caller names no request", func(t *testing.T) {
		t.Parallel()
		s, _ := newReleaseFleet(t, 1, sendSlowly)
		s.members[0].expectNotResumed("")
	})
}

// TestUnregisteredReleaseBeginsNoStream guards against streams of a release that other
// routers can't know of, since it is not registered in the store.
func TestUnregisteredReleaseBeginsNoStream(t *testing.T) {
	t.Parallel()
	s := newTestFleet(t, 1)
	s.configure(1, 1_000_000, "/stream/", "/a/")
	workers := s.startReleases(1, sendSlowly, "v1")
	m := s.members[0]
	s.Eventually(m.status("/stream/x"), stepTimeout).Should(Equal(http.StatusOK))
	m.store.Fail(standin.PlatformFaults{RefuseWrites: true})
	added := s.startReleases(1, sendSlowly, "v2")
	s.Eventually(m.knows(added["v2"][0]), stepTimeout).Should(BeTrue())
	for i := range streamsAtReleases {
		m.beginStream(fmt.Sprintf("q-%d", i), 1)
	}
	s.Expect(added.requests("v2")).To(BeZero())
	s.Expect(workers.requests("v1")).To(BeNumerically(">=", streamsAtReleases))
	m.store.Fail(standin.PlatformFaults{})
	s.Eventually(func() int {
		m.beginStream("later", 1)
		return added.requests("v2")
	}, stepTimeout).ShouldNot(BeZero())
}
