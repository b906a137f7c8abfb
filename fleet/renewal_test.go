// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package fleet

import (
	"testing"

	"github.com/rotisserie/eris"

	"granitehoist.example/granitehoist"
)

func expectRenewal(t *testing.T, err error, changed bool, want renewal) {
	t.Helper()
	if got := decideRenewal(err, changed); got != want {
		t.Fatalf("after %v, changed %v: verdict %d, not %d", err, changed, got, want)
	}
}

// TestDecideRenewal checks what a refresh does about the router's own entry.
func TestDecideRenewal(t *testing.T) {
	cases := []struct {
		name    string
		err     error
		changed bool
		want    renewal
	}{
		{"renewed", nil, false, entryUnchanged},
		{"renewed, and the router leaves", nil, true, needsWrite},
		{"the lease has ended", eris.Wrap(granitehoist.ErrNoLease, "store"), false, needsLease},
		{"the lease has ended, and the router leaves", granitehoist.ErrNoLease, true, needsLease},
		{"the store refuses", granitehoist.ErrUnavailable, true, renewalFailed},
		{"no answer", granitehoist.ErrUnknown, false, renewalFailed},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { expectRenewal(t, c.err, c.changed, c.want) })
	}
}
