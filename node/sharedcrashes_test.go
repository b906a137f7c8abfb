// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package node

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/suspect"
)

// TestCrashKnownElsewhereIsNoEvidence guards against evidence from an upstream which another
// router knew to be down, but did not report since the evidence has room for eight crashes.
func TestCrashKnownElsewhereIsNoEvidence(t *testing.T) {
	const upstreams = 40
	g := NewWithT(t)
	now := time.Unix(1_000_000, 0)
	newSuspects := func() *suspects {
		return &suspects{clock: func() time.Time { return now }, table: suspect.New(suspect.Settings{})}
	}
	crash := func(n int) suspect.Observation {
		return suspect.Observation{Incarnation: suspect.IncarnationOf(granitehoist.Upstream(fmt.Sprint("i-", n)), 1), Early: true, Sent: now}
	}
	observer, other := newSuspects(), newSuspects()
	popular := suspect.Digest{1}
	for n := range upstreams {
		observer.table.RecordCrash(popular, crash(n), now)
	}
	update, _, _ := observer.observedAfter(0)
	other.merge(update)
	now = now.Add(suspect.SettleTime)
	late := crash(upstreams - 1)
	late.Verdict = other.table.Lookup(popular, now)
	now = now.Add(time.Millisecond)
	g.Expect(other.table.RecordCrash(popular, late, now)).To(HaveField("Round", 1))
}
