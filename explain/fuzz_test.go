// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package explain_test

import (
	"errors"
	"strings"
	"testing"

	"granitehoist.example/granitehoist/explain"
)

// FuzzRead checks that Read does not panic on any log and that a Timeline it returns can
// be written.
func FuzzRead(f *testing.F) {
	f.Add("1.0 edge-1 ts=2026-01-01T00:00:00Z event=request request=r-1 code=1 detail=\"a \\\"quote\\\"\"\n")
	f.Add("ts= event=attempt request=r-1 error=\"open")
	f.Fuzz(func(t *testing.T, log string) {
		timeline, err := explain.Read(strings.NewReader(log), "r-1")
		if errors.Is(err, explain.ErrNoRequest) {
			return
		}
		if err != nil {
			return
		}
		var text strings.Builder
		if err := timeline.Write(&text); err != nil || text.Len() == 0 {
			t.Fatalf("%q: %v", text.String(), err)
		}
	})
}
