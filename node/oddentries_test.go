// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package node_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/platform"
	"granitehoist.example/granitehoist/standin"
)

// TestOddReleaseHoldsUpNoOther guards against an entry whose release can't be registered, since
// its key is too long for the store, and that keeps streams from beginning at later releases.
func TestOddReleaseHoldsUpNoOther(t *testing.T) {
	for name, odd := range map[string]string{
		"long":   fmt.Sprintf("%q", strings.Repeat("a", 400)),
		"nested": strings.Repeat("[", 3000) + strings.Repeat("]", 3000),
		"escape": fmt.Sprintf("%q", strings.Repeat("%", 80)),
	} {
		for _, phase := range []string{"ready", "draining"} {
			t.Run(name+", "+phase, func(t *testing.T) {
				t.Parallel()
				s := newTestFleet(t, 1)
				s.configure(1, 1_000_000, "/stream/", "/a/")
				first := s.startReleases(1, sendSlowly, "v1")
				m := s.members[0]
				s.Eventually(m.status("/stream/x"), stepTimeout).Should(Equal(http.StatusOK))
				w, err := standin.NewWorker("odd-0", sendSlowly)
				s.Expect(err).NotTo(HaveOccurred())
				s.cleanup(w.Close)
				s.put(platform.InstancesPrefix+"odd-0", fmt.Appendf(nil, `{"backend":"pool","address":%q,"zone":"hall","capacity":64,"phase":%q,"revision":%s}`, w.Address(), phase, odd))
				s.Eventually(m.knows(w), stepTimeout).Should(BeTrue())
				added := s.startReleases(1, sendSlowly, "v2")
				s.announceRelease(first["v1"][0], "v1", "draining")
				// The odd one must not be needed.
				s.put(platform.InstancesPrefix+"odd-0", fmt.Appendf(nil, `{"backend":"pool","address":%q,"zone":"hall","capacity":64,"phase":"draining","revision":%s}`, w.Address(), odd))
				s.Eventually(func() int {
					// A refusal is seen in the count.
					_, _ = m.ask("/stream/x", "later")
					return added.requests("v2")
				}, stepTimeout).ShouldNot(BeZero())
			})
		}
	}
}

// TestOddReleaseServes guards against an upstream that gets no streams since its release has a
// long name.
func TestOddReleaseServes(t *testing.T) {
	t.Parallel()
	release := granitehoist.Release(strings.Repeat("a", 400))
	s := newTestFleet(t, 1)
	s.configure(1, 1_000_000, "/stream/", "/a/")
	s.startReleases(1, sendSlowly, release)
	s.Eventually(s.members[0].status("/stream/x"), stepTimeout).Should(Equal(http.StatusOK))
}
