// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package rollout

import (
	"fmt"
	"testing"

	"granitehoist.example/granitehoist"
)

// TestUnaware guards against routers that nobody, or more than one, tells of a stop at once,
// and against calls to routers that know of it.
func TestUnaware(t *testing.T) {
	var members []Member
	for i := range 20 {
		members = append(members, Member{Box: granitehoist.Box(fmt.Sprint(i))})
	}
	told := map[granitehoist.Box]int{}
	for i, m := range members {
		var h hub
		h.setStopped("7", true)
		h.setStopped("8", false)
		tells := h.unaware(members, m.Box)
		if i >= hubCount && len(tells) > 0 {
			t.Errorf("router %d tells %d others", i, len(tells))
		}
		for _, other := range tells {
			told[other.Box]++
		}
	}
	for _, m := range members {
		want := 1
		if m.Box == "7" {
			want = 0
		}
		if told[m.Box] != want {
			t.Errorf("router %s is told %d times, want %d", m.Box, told[m.Box], want)
		}
	}
}
