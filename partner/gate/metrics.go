// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package gate

import (
	"strconv"
	"time"

	"github.com/rcrowley/go-metrics"

	"granitehoist.example/granitehoist"
)

// countResult counts a request's result.
func (g *Gate) countResult(c granitehoist.Code) {
	metrics.GetOrRegisterCounter("requests.code."+strconv.Itoa(int(c)), g.settings.Metrics).Inc(1)
}

// recordTime records a duration.
func (g *Gate) recordTime(name string, d time.Duration) {
	metrics.GetOrRegisterTimer(name, g.settings.Metrics).Update(d)
}
