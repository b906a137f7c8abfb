// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package follow

import (
	"errors"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"granitehoist.example/granitehoist"
)

var _ = Describe("The rules of relays", func() {
	answer := func(age time.Duration) Update { return Update{HasCopy: true, Prefix: "p/", Age: age} }

	DescribeTable("judge an answer",
		func(update Update, err error, want relayVerdict) {
			Expect(judgeRelay(update, err, "p/")).To(Equal(want))
		},
		Entry("a fresh one", answer(0), nil, relayFresh),
		Entry("one at the limit", answer(maxRelayAge), nil, relayFresh),
		Entry("an old one", answer(maxRelayAge+1), nil, relayOld),
		Entry("none", answer(0), errors.New("no way there"), relayFailed),
		Entry("one without a copy", Update{Prefix: "p/"}, nil, relayFailed),
		Entry("one of another prefix", Update{HasCopy: true, Prefix: "q/"}, nil, relayFailed),
	)

	DescribeTable("hold a question",
		func(update Update, wait time.Duration, want bool) {
			Expect(shouldHold(update, wait)).To(Equal(want))
		},
		Entry("if nothing changed", answer(0), time.Second, true),
		Entry("not if the router does not wait", answer(0), time.Duration(0), false),
		Entry("not if the copy is old", answer(maxRelayAge+1), time.Second, false),
		Entry("not without a copy", Update{}, time.Second, false),
		Entry("not if something changed", Update{HasCopy: true, Entries: []granitehoist.Entry{{Key: "p/a"}}}, time.Second, false),
	)

	Describe("choose one", func() {
		now := time.Unix(1_800_000_000, 0)
		a, b := granitehoist.Peer{Address: "a"}, granitehoist.Peer{Address: "b"}
		expectNext := func(c *relayChoice, now time.Time, want ...granitehoist.Peer) {
			GinkgoHelper()
			for _, relay := range want {
				got, ok := c.next([]granitehoist.Peer{a, b}, now)
				Expect(ok).To(BeTrue())
				Expect(got).To(Equal(relay))
			}
		}

		It("in turn", func() {
			expectNext(&relayChoice{}, now, b, a, b, a)
		})

		It("that did not fail in the last two seconds", func() {
			var c relayChoice
			c.note(a, relayFailed, now)
			expectNext(&c, now, b, b, b)
			expectNext(&c, now.Add(avoidRelayFor), b)
			expectNext(&c, now.Add(avoidRelayFor+1), a, b, a)
		})

		It("whose copy was not old in the last half second", func() {
			var c relayChoice
			c.note(a, relayOld, now)
			expectNext(&c, now.Add(avoidOldRelayFor), b)
			expectNext(&c, now.Add(avoidOldRelayFor+1), a, b, a)
		})

		It("unless all failed or there is none", func() {
			var c relayChoice
			_, ok := c.next(nil, now)
			Expect(ok).To(BeFalse())
			c.note(a, relayFailed, now)
			c.note(b, relayFailed, now)
			_, ok = c.next([]granitehoist.Peer{a, b}, now)
			Expect(ok).To(BeFalse())
		})
	})

	Describe("agree that the store is away", func() {
		now := time.Unix(1_800_000_000, 0)
		relays := []granitehoist.Peer{{Address: "a"}, {Address: "b"}, {Address: "c"}, {Address: "d"}}
		expectSilent := func(expected bool, at time.Time, asked []granitehoist.Peer, verdicts ...relayVerdict) {
			GinkgoHelper()
			var c relayChoice
			for i, verdict := range verdicts {
				c.note(asked[i], verdict, now)
			}
			Expect(c.allSaySilent(asked, at)).To(Equal(expected))
		}

		It("when three of them say so", func() {
			expectSilent(true, now, relays, relayOld, relayOld, relayOld)
			expectSilent(false, now, relays, relayOld, relayOld)
		})
		It("when all of fewer say so", func() {
			expectSilent(true, now, relays[:2], relayOld, relayOld)
			expectSilent(false, now, relays[:2], relayOld)
		})
		It("but not by being dead", func() {
			expectSilent(false, now, relays, relayOld, relayFailed, relayFailed, relayFailed)
		})
		It("but not by what they said two seconds ago", func() {
			expectSilent(true, now.Add(silentFor), relays, relayOld, relayOld, relayOld)
			expectSilent(false, now.Add(silentFor+1), relays, relayOld, relayOld, relayOld)
		})
		It("but not where there is none", func() { expectSilent(false, now, nil) })
	})

	It("count a router as a relay for some seconds after a question", func() {
		now := time.Unix(1_800_000_000, 0)
		var question lastTime
		Expect(question.isRecent(relayFor, now)).To(BeFalse(), "nobody asked")
		question.set(now)
		Expect(question.isRecent(relayFor, now.Add(relayFor))).To(BeTrue())
		Expect(question.isRecent(relayFor, now.Add(relayFor+1))).To(BeFalse())
	})
})
