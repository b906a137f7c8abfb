// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package rollout

import (
	"testing"
	"time"

	"granitehoist.example/granitehoist"
)

// downDetector returns a detector that has seen good answers of the baseline and the target
// for 2 s, and a function that observes the sum of all evidence.
func downDetector() (observe func(Evidence, time.Duration) Finding, good Evidence) {
	var d Detector
	good = Evidence{Routes: map[string]RouteEvidence{"a": {Baseline: Arm{Good: 200, Sent: 200}, Target: Arm{Good: 12, Sent: 12}}}}
	observe = func(e Evidence, at time.Duration) Finding { return d.Observe(e, time.Unix(1000, 0).Add(at)) }
	observe(good, 2*time.Second)
	return observe, good
}

// TestOneInstanceDown guards against a good release that is reverted because one of its
// instances crashed, under however many requests, or stays down.
func TestOneInstanceDown(t *testing.T) {
	observe, e := downDetector()
	for i := range 40 {
		e.Down = map[granitehoist.Upstream]int64{"i-1": int64(100 * (i + 1))}
		route := e.Routes["a"]
		route.Target.Good += 2
		route.Baseline.Good += 20
		e.Routes = map[string]RouteEvidence{"a": route}
		if found := observe(e, 2*time.Second+time.Duration(i)*300*time.Millisecond); found.Bad {
			t.Fatalf("found after %d observations: %+v", i+1, found)
		}
	}
}

// TestAllInstancesDown guards against a release that is promoted although its instances do
// not run.
func TestAllInstancesDown(t *testing.T) {
	observe, e := downDetector()
	e.Down = map[granitehoist.Upstream]int64{"i-1": 2, "i-2": 1, "i-3": 2, "i-4": 1}
	if found := observe(e, 2500*time.Millisecond); !found.Bad || found.BadAnswers != 4 {
		t.Errorf("finding %+v", found)
	}
}
