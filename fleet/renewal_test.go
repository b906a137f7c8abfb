// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package fleet

import (
	"testing"

	"github.com/rotisserie/eris"

	"granitehoist.example/granitehoist"
)

func checkRenewal(t *testing.T, err error, changed bool, want renewalResult) {
	t.Helper()
	if got := classifyRenewal(err, changed); got != want {
		t.Fatalf("after %v, changed %v: got result %d, want %d", err, changed, got, want)
	}
}

// TestClassifyRenewal guards against a second lease while the first may still exist, and
// against an expired or outdated entry.
func TestClassifyRenewal(t *testing.T) {
	cases := []struct {
		name    string
		err     error
		changed bool
		want    renewalResult
	}{
		{"renewed", nil, false, entryCurrent},
		{"renewed, and the router is leaving", nil, true, needsWrite},
		{"the lease has expired", eris.Wrap(granitehoist.ErrNoLease, "store"), false, needsLease},
		{"the lease has expired, and the router is leaving", granitehoist.ErrNoLease, true, needsLease},
		{"the store rejects the renewal", granitehoist.ErrUnavailable, true, renewalFailed},
		{"no response", granitehoist.ErrUnknown, false, renewalFailed},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { checkRenewal(t, c.err, c.changed, c.want) })
	}
}
