// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package report

import (
	"fmt"
	"io"
	"sort"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"
)

// quantiles lists the quantiles written for each timer; 0.95 is the quantile of the service
// level objectives.
var quantiles = []float64{0.5, 0.95, 0.99}

const metricPrefix = "granitehoist_"

// WriteMetrics writes the counters and timers of a registry in the Prometheus text
// format, sorted by line. Timers are in seconds; metrics of other types are omitted. It
// returns the first write error.
func WriteMetrics(w io.Writer, registry metrics.Registry) error {
	var lines []string
	registry.Each(func(name string, metric any) {
		switch m := metric.(type) {
		case metrics.Counter:
			lines = append(lines, counterLine(name, m.Count()))
		case metrics.Timer:
			lines = append(lines, timerLines(name, m.Snapshot())...)
		}
	})
	sort.Strings(lines)
	for _, line := range lines {
		if _, err := fmt.Fprintln(w, line); err != nil {
			return err
		}
	}
	return nil
}

// metricName replaces the characters of a registry name that metric names may not contain.
func metricName(name string) string {
	return strings.NewReplacer(".", "_", "-", "_").Replace(name)
}

const codeCounterPrefix = "requests.code."

// counterLine formats a counter. The counters of result codes become one metric with the
// code as its label.
func counterLine(name string, count int64) string {
	if code, ok := strings.CutPrefix(name, codeCounterPrefix); ok {
		return fmt.Sprintf("%srequests_total{code=%q} %d", metricPrefix, code, count)
	}
	return fmt.Sprintf("%s%s_total %d", metricPrefix, metricName(name), count)
}

// timerLines formats a timer as a summary, converting nanoseconds to seconds.
func timerLines(name string, t metrics.Timer) []string {
	base := metricPrefix + metricName(name) + "_seconds"
	lines := []string{
		fmt.Sprintf("%s_count %d", base, t.Count()),
		fmt.Sprintf("%s_sum %g", base, float64(t.Sum())/float64(time.Second)),
	}
	for i, value := range t.Percentiles(quantiles) {
		lines = append(lines, fmt.Sprintf("%s{quantile=\"%g\"} %g", base, quantiles[i], value/float64(time.Second)))
	}
	return lines
}
