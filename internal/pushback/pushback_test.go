// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package pushback_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"pgregory.net/rapid"

	"granitehoist.example/granitehoist/internal/pushback"
)

// start is the time at which the first backoff is requested.
var start = time.Unix(1000, 0)

// A backoff of 3 s, followed by the first requests of the recovery.
func Example() {
	var r pushback.Backoff
	r.Extend(3*time.Second, start)
	fmt.Println(r.Allows(start.Add(2*time.Second)), r.Remaining(start.Add(2*time.Second)))
	after := start.Add(4 * time.Second)
	r.StartProbe()
	fmt.Println(r.Allows(after))
	r.EndProbe()
	r.Accepted(after, 8)
	fmt.Println(r.Allows(after))
	// Output:
	// false 1s
	// false
	// true
}

func TestRetryAfter(t *testing.T) {
	for text, want := range map[string]time.Duration{
		"3": 3 * time.Second, " 0.25 ": 250 * time.Millisecond, "0": 0, "-1": 0, "": 0, "NaN": 0, "inf": 0, "-inf": 0, "1e999": 0,
		"1e300": 1e9 * time.Second, "Wed, 21 Oct 2026 07:28:00 GMT": 0, "soon": 0,
	} {
		if got := pushback.RetryAfter(http.Header{"Retry-After": {text}}); got != want {
			t.Errorf("RetryAfter(%q) = %s, want %s", text, got, want)
		}
	}
	if got := pushback.RetryAfter(http.Header{"Retry-After": {"2", "soon", "3"}}); got != 3*time.Second {
		t.Errorf("several values: %s, want 3s", got)
	}
}

// TestBackoffIsNeverShortened checks, for any order of events, that no request is admitted
// before the latest requested end and that the upstream is always admitted again.
func TestBackoffIsNeverShortened(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var r pushback.Backoff
		now, latest := start, start
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				d := time.Duration(rapid.IntRange(1, 5000).Draw(t, "backoff ms")) * time.Millisecond
				r.Extend(d, now)
				if end := now.Add(d); end.After(latest) {
					latest = end
				}
			case 1:
				r.Accepted(now.Add(-time.Duration(rapid.IntRange(1, 9000).Draw(t, "sent ms ago"))*time.Millisecond), 8)
			case 2:
				r.Rejected()
			case 3:
				if r.Allows(now) {
					r.StartProbe()
					r.EndProbe()
				}
			}
			if r.Allows(now) && now.Before(latest) {
				t.Fatalf("request admitted %s before the end of the backoff", latest.Sub(now))
			}
		}
		if !r.Allows(now.Add(pushback.MaxBackoff)) {
			t.Fatal("no request admitted after MaxBackoff")
		}
	})
}
