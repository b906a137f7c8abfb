// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package throttle

import (
	"fmt"
	"math"
	"testing"
	"time"
)

var testTime = time.Unix(1_000_000, 0)

// countIssued returns the permits granted to a caller that repeats a request every 10 ms
// for the given duration.
func countIssued(i *Issuer, r Request, duration time.Duration) int {
	issued := 0
	for now := testTime; now.Before(testTime.Add(duration)); now = now.Add(10 * time.Millisecond) {
		issued += i.Issue(r, now).Count
	}
	return issued
}

func expectIssued(t *testing.T, s Settings, r Request, want int) {
	t.Helper()
	if got := countIssued(NewIssuer(s), r, 40*time.Second); got < want-1 || got > want+1 {
		t.Errorf("%d permits in 40 s, want %d", got, want)
	}
}

// TestIssuer guards against permits above or below the effective rate, and against state
// shared between incarnations or kept for idle upstreams.
func TestIssuer(t *testing.T) {
	t.Run("issues at the requested rate", func(t *testing.T) { expectIssued(t, Settings{}, Request{Rate: 5}, 200) })
	t.Run("fallback issues at a quarter of the rate", func(t *testing.T) { expectIssued(t, Settings{}, Request{Rate: 5, Fallback: true}, 50) })
	t.Run("issues at a quarter of the rate for 10 s after start", func(t *testing.T) {
		expectIssued(t, Settings{Started: testTime}, Request{Rate: 4}, 10+120)
	})
	for _, rate := range []float64{0, -1, math.NaN(), math.Inf(-1), 1e-300} {
		t.Run(fmt.Sprint("applies the minimum rate to ", rate), func(t *testing.T) {
			expectIssued(t, Settings{}, Request{Rate: rate}, 4)
		})
	}
	for _, rate := range []float64{1e300, math.Inf(1)} {
		t.Run(fmt.Sprint("does not limit at rate ", rate), func(t *testing.T) {
			if got := NewIssuer(Settings{}).Issue(Request{Rate: rate, Count: 50}, testTime); got.Count != 50 || got.Due != 0 {
				t.Errorf("got %+v, want 50 permits due at once", got)
			}
		})
	}
	t.Run("bounds a batch by the permits due in its window", func(t *testing.T) {
		if got := NewIssuer(Settings{}).Issue(Request{Rate: 100, Count: 1000}, testTime); got.Count != 11 {
			t.Errorf("%d permits, want the 11 due within 100 ms", got.Count)
		}
	})
	t.Run("keeps a schedule for each incarnation", func(t *testing.T) {
		i := NewIssuer(Settings{})
		for startedAtMS := range int64(2) {
			if got := i.Issue(Request{Incarnation: Incarnation{Upstream: "i-0", StartedAtMS: startedAtMS}, Rate: 0.1}, testTime); got.Count != 1 {
				t.Errorf("incarnation %d: got %+v, want one permit", startedAtMS, got)
			}
		}
	})
	t.Run("returns a retry delay without a permit", func(t *testing.T) {
		i := NewIssuer(Settings{})
		i.Issue(Request{Rate: 1}, testTime)
		if got := i.Issue(Request{Rate: 1, MaxWait: 100 * time.Millisecond}, testTime); got.Count != 0 || got.RetryAfter < time.Second {
			t.Errorf("got %+v, want no permit and a retry delay of at least 1 s", got)
		}
		if got := i.Issue(Request{Rate: 1, MaxWait: time.Second}, testTime); got.Count != 1 || got.Due != time.Second {
			t.Errorf("got %+v, want one permit due in 1 s", got)
		}
	})
	t.Run("removes schedules of idle upstreams", func(t *testing.T) {
		i := NewIssuer(Settings{})
		i.Issue(Request{Incarnation: Incarnation{Upstream: "i-0"}, Rate: 1}, testTime)
		i.Issue(Request{Incarnation: Incarnation{Upstream: "i-1"}, Rate: 1}, testTime.Add(3*idleTimeout))
		if len(i.schedules) != 1 {
			t.Errorf("%d schedules, want 1", len(i.schedules))
		}
	})
}

// BenchmarkIssue measures one permit request.
func BenchmarkIssue(b *testing.B) {
	i := NewIssuer(Settings{})
	now := testTime
	for range b.N {
		now = now.Add(time.Millisecond)
		i.Issue(Request{Incarnation: Incarnation{Upstream: "i-0"}, Rate: 10, Count: 1, MaxWait: 100 * time.Millisecond}, now)
	}
}

// ExampleIssuer shows requests that share the rate limit of one upstream.
func ExampleIssuer() {
	issuer := NewIssuer(Settings{})
	request := Request{Incarnation: Incarnation{Upstream: "i-7f3a"}, Rate: 2, MaxWait: 600 * time.Millisecond}
	first, second := issuer.Issue(request, testTime), issuer.Issue(request, testTime)
	fmt.Println(first.Count, first.Due)
	fmt.Println(second.Count, second.Due)
	third := issuer.Issue(request, testTime)
	fmt.Println(third.Count, third.RetryAfter >= time.Second)
	// Output:
	// 1 0s
	// 1 500ms
	// 0 true
}
