// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package node

import (
	"fmt"
	"net/http"
	"sort"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"
)

// serveMetrics writes the metrics as lines of name and value. partner/report
// writes those of the other program under other names and forms, so that the two
// share no code.
func (n *Node) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	lines := append(n.stateLines(n.clock()), n.counters.lines()...)
	sort.Strings(lines)
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	// A reader that closed its connection does not want the rest.
	_, _ = w.Write([]byte(strings.Join(lines, "\n") + "\n"))
}

// lines returns a line for each counter and three for each histogram.
func (c *counters) lines() []string {
	var lines []string
	c.registry.Each(func(name string, metric any) {
		switch m := metric.(type) {
		case metrics.Counter:
			lines = append(lines, fmt.Sprintf("%s %d", name, m.Count()))
		case metrics.Histogram:
			lines = append(lines, quantileLines(name, m)...)
		}
	})
	return lines
}

// quantileLines returns the quantiles of a histogram of nanoseconds, in seconds.
func quantileLines(name string, h metrics.Histogram) []string {
	quantiles := []float64{0.5, 0.95, 0.99}
	values := h.Percentiles(quantiles)
	var lines []string
	for i, q := range quantiles {
		lines = append(lines, fmt.Sprintf("%s,quantile=\"%g\"} %.4f", strings.TrimSuffix(name, "}"), q, values[i]/float64(time.Second)))
	}
	return lines
}

// stateLines returns the metrics that are read off the node's state at now.
func (n *Node) stateLines(now time.Time) []string {
	lines := []string{
		fmt.Sprintf("%s %d", metricActive, n.parts.forwarder.Active()),
		fmt.Sprintf("%s %d", metricRouters, n.parts.peers.routers()),
		fmt.Sprintf("%s %.3f", metricConfigAge, n.configs.follower.Age(now).Seconds()),
		fmt.Sprintf("%s %.3f", metricInstancesAge, n.instances.follower.Age(now).Seconds()),
		fmt.Sprintf("%s %d", metricUpstreamsOut, n.ejectedUpstreams(now)),
	}
	if n.config.LogDropped != nil {
		lines = append(lines, fmt.Sprintf("%s %d", metricDropped, n.config.LogDropped()))
	}
	return append(lines, n.configLines()...)
}

// ejectedUpstreams returns the number of upstreams that get no requests at now.
func (n *Node) ejectedUpstreams(now time.Time) int {
	ejected := 0
	for _, status := range n.parts.table.Statuses(now) {
		if status.Ejected {
			ejected++
		}
	}
	return ejected
}

// configLines returns the metrics of the configuration in force and of its
// workspaces, none before the first configuration.
func (n *Node) configLines() []string {
	snapshot := n.configs.catalog.Get()
	if snapshot == nil {
		return nil
	}
	lines := []string{fmt.Sprintf("%s %d", metricConfig, snapshot.Version)}
	for name := range snapshot.Workspaces() {
		state := n.parts.ledger.State(name)
		lines = append(lines,
			fmt.Sprintf("%s{workspace=%q} %d", metricBudgetFree, name, state.Free),
			fmt.Sprintf("%s{workspace=%q} %d", metricBudgetSpent, name, state.Spent),
			fmt.Sprintf("%s{workspace=%q} %d", metricStoreRemaining, name, state.StoreRemaining))
	}
	return lines
}
