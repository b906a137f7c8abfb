// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package throttle

import (
	"fmt"
	"math"
	"testing"
	"time"
)

var noon = time.Unix(1_000_000, 0)

// issuedIn returns how many permits an issuer gives in a time to somebody who asks every
// 10 ms for one that is due at once.
func issuedIn(i *Issuer, r Request, lasts time.Duration) int {
	issued := 0
	for now := noon; now.Before(noon.Add(lasts)); now = now.Add(10 * time.Millisecond) {
		issued += i.Issue(r, now).Count
	}
	return issued
}

func expectIssued(t *testing.T, s Settings, r Request, want int) {
	t.Helper()
	if got := issuedIn(NewIssuer(s), r, 40*time.Second); got < want-1 || got > want+1 {
		t.Errorf("%d permits in 40 s, not %d", got, want)
	}
}

// TestIssuer checks at which pace permits are issued.
func TestIssuer(t *testing.T) {
	t.Run("at the rate", func(t *testing.T) { expectIssued(t, Settings{}, Request{Rate: 5}, 200) })
	t.Run("a stand-in at a quarter", func(t *testing.T) { expectIssued(t, Settings{}, Request{Rate: 5, StandsIn: true}, 50) })
	t.Run("one that has just started at a quarter for 10 s", func(t *testing.T) {
		expectIssued(t, Settings{Started: noon}, Request{Rate: 4}, 10+120)
	})
	for _, rate := range []float64{0, -1, math.NaN(), math.Inf(-1), 1e-300} {
		t.Run(fmt.Sprint("at least so often that the end of the need shows, rate ", rate), func(t *testing.T) {
			expectIssued(t, Settings{}, Request{Rate: rate}, 4)
		})
	}
	for _, rate := range []float64{1e300, math.Inf(1)} {
		t.Run(fmt.Sprint("a rate that binds nobody, ", rate), func(t *testing.T) {
			if got := NewIssuer(Settings{}).Issue(Request{Rate: rate, Count: 50}, noon); got.Count != 50 || got.Due != 0 {
				t.Errorf("%+v", got)
			}
		})
	}
	t.Run("many at once, no more than are due", func(t *testing.T) {
		if got := NewIssuer(Settings{}).Issue(Request{Rate: 100, Count: 1000}, noon); got.Count != 11 {
			t.Errorf("%d permits, those of 100 ms are 11", got.Count)
		}
	})
	t.Run("two lives of an upstream have two rates", func(t *testing.T) {
		i := NewIssuer(Settings{})
		for born := range int64(2) {
			if got := i.Issue(Request{Life: Life{Upstream: "i-0", Born: born}, Rate: 0.1}, noon); got.Count != 1 {
				t.Errorf("life %d: %+v", born, got)
			}
		}
	})
	t.Run("whoever gets none is told when to come back", func(t *testing.T) {
		i := NewIssuer(Settings{})
		i.Issue(Request{Rate: 1}, noon)
		if got := i.Issue(Request{Rate: 1, Within: 100 * time.Millisecond}, noon); got.Count != 0 || got.Retry < time.Second {
			t.Errorf("%+v", got)
		}
		if got := i.Issue(Request{Rate: 1, Within: time.Second}, noon); got.Count != 1 || got.Due != time.Second {
			t.Errorf("%+v", got)
		}
	})
	t.Run("upstreams that nobody asks for are forgotten", func(t *testing.T) {
		i := NewIssuer(Settings{})
		i.Issue(Request{Life: Life{Upstream: "i-0"}, Rate: 1}, noon)
		i.Issue(Request{Life: Life{Upstream: "i-1"}, Rate: 1}, noon.Add(3*forgetAfter))
		if len(i.paces) != 1 {
			t.Errorf("%d upstreams", len(i.paces))
		}
	})
}

// BenchmarkIssue is one question for a permit.
func BenchmarkIssue(b *testing.B) {
	i := NewIssuer(Settings{})
	now := noon
	for range b.N {
		now = now.Add(time.Millisecond)
		i.Issue(Request{Life: Life{Upstream: "i-0"}, Rate: 10, Count: 1, Within: 100 * time.Millisecond}, now)
	}
}

// ExampleIssuer shows two routers that share the rate of one upstream.
func ExampleIssuer() {
	issuer := NewIssuer(Settings{})
	request := Request{Life: Life{Upstream: "i-7f3a"}, Rate: 2, Within: 600 * time.Millisecond}
	first, second := issuer.Issue(request, noon), issuer.Issue(request, noon)
	fmt.Println(first.Count, first.Due)
	fmt.Println(second.Count, second.Due)
	third := issuer.Issue(request, noon)
	fmt.Println(third.Count, third.Retry >= time.Second)
	// Output:
	// 1 0s
	// 1 500ms
	// 0 true
}
