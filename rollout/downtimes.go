// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package rollout

import (
	"time"

	"granitehoist.example/granitehoist"
)

const (
	// downtimeGap is the time after which an instance that is still down, or down again,
	// counts once more.
	downtimeGap = 3 * time.Second
	// maxDowntimes is how often one instance counts.
	maxDowntimes = 5
)

// downtimes counts how often instances of the target were down. Each time is one failure of
// the release, however many routers had requests there: a crash has other causes as well,
// and a single one must not condemn a release. The zero value is ready for use.
type downtimes struct {
	instances map[granitehoist.Upstream]downtime
}

// downtime is what is known of one instance.
type downtime struct {
	attempts  int64
	times     int
	countedAt time.Time
}

// observe returns the number of times that instances went down since the last observation.
// attempts holds the failed attempts by instance so far; a number that has fallen, since a
// router has started anew, counts nothing.
func (d *downtimes) observe(attempts map[granitehoist.Upstream]int64, now time.Time) float64 {
	times := 0.0
	for instance, n := range attempts {
		known := d.instances[instance]
		grew := n > known.attempts
		known.attempts = n
		if grew {
			if known.counts(now) {
				times++
				known.times++
				known.countedAt = now
			}
		}
		if d.instances == nil {
			d.instances = map[granitehoist.Upstream]downtime{}
		}
		d.instances[instance] = known
	}
	return times
}

// counts reports whether a failed attempt at now counts.
func (d *downtime) counts(now time.Time) bool {
	return d.times == 0 || d.times < maxDowntimes && now.Sub(d.countedAt) >= downtimeGap
}
