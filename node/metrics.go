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

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/escrow"
	"granitehoist.example/granitehoist/forward"
)

// The names of the metrics. docs/METRICS.md explains each.
const (
	metricActive         = "active_requests"
	metricRouters        = "routers"
	metricConfig         = "config_version"
	metricConfigAge      = "config_age_seconds"
	metricInstancesAge   = "instances_age_seconds"
	metricBudgetFree     = "budget_free"
	metricBudgetSpent    = "budget_spent"
	metricStoreRemaining = "budget_rest"
	metricRequests       = "requests"
	metricAttempts       = "attempts"
	metricRefusals       = "refusals"
	metricDuration       = "took_seconds"
	metricFirstByte      = "first_seconds"
	metricConnections    = "upstream_connections"
	metricSuspects       = "suspects"
	metricRefusedNow     = "suspects_refused"
	metricUpstreamsOut   = "upstream_out"
	metricLeaving        = "upstreams_leaving"
	metricResting        = "upstreams_resting"
	metricSpared         = "choices_sparing"
	metricUpstreamLimit  = "upstream_limit"
	metricPermits        = "permits"
	metricStoreCalls     = "store_calls"
	metricDropped        = "log_dropped"
)

// Metrics returns the names of all metrics.
func Metrics() []string {
	return []string{
		metricActive, metricRouters, metricConfig, metricConfigAge, metricInstancesAge, metricBudgetFree, metricBudgetSpent, metricStoreRemaining,
		metricRequests, metricAttempts, metricRefusals, metricDuration, metricFirstByte, metricConnections, metricSuspects, metricRefusedNow, metricUpstreamsOut, metricLeaving, metricResting, metricSpared, metricUpstreamLimit, metricPermits, metricStoreCalls, metricDropped,
	}
}

const (
	// sampleSize is the number of values that a histogram keeps.
	sampleSize = 512
	// sampleBias is the decay by which newer values are kept more often; 0.015 is
	// the library's usual value, for about the last five minutes.
	sampleBias = 0.015
)

// counters holds the metrics that are counted as things happen. It is safe for
// concurrent use.
type counters struct{ registry metrics.Registry }

func newCounters() *counters { return &counters{registry: metrics.NewRegistry()} }

// counter returns a function that counts events of a name.
func (c *counters) counter(name string) func() {
	counter := metrics.GetOrRegisterCounter(name, c.registry)
	return func() { counter.Inc(1) }
}

// count adds to the counter of a name with the labels that format and args give.
func (c *counters) count(by int64, name, format string, args ...any) {
	metrics.GetOrRegisterCounter(name+"{"+fmt.Sprintf(format, args...)+"}", c.registry).Inc(by)
}

// observe adds a time to the histogram of a name and service.
func (c *counters) observe(d time.Duration, name string, service granitehoist.Service) {
	labelled := fmt.Sprintf("%s{service=%q}", name, service)
	registered := c.registry.GetOrRegister(labelled, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, sampleBias))
	})
	// No counter has the name of a histogram, so that this is always a histogram.
	if histogram, ok := registered.(metrics.Histogram); ok {
		histogram.Update(int64(d))
	}
}

// noteStoreCall counts a call to the store.
func (c *counters) noteStoreCall(call, result string) {
	c.count(1, metricStoreCalls, "call=%q,result=%q", call, result)
}

// noteRequest counts a request that has ended.
func (c *counters) noteRequest(r forward.Report) {
	c.count(1, metricRequests, "service=%q,code=\"%d\"", r.Service, int(r.Code))
	c.count(int64(r.Attempts), metricAttempts, "service=%q", r.Service)
	if r.Budget != escrow.Granted {
		c.count(1, metricRefusals, "workspace=%q,outcome=%q", r.Workspace, r.Budget)
	}
	if r.Service == "" {
		return
	}
	c.observe(r.Took, metricDuration, r.Service)
	if r.First > 0 {
		c.observe(r.First, metricFirstByte, r.Service)
	}
}

// serveMetrics writes the metrics as lines of name and value. partner/report
// writes those of the other program under other names and forms, so that the two
// share no code.
func (n *Node) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	lines := append(n.stateLines(n.clock()), n.counters.lines()...)
	sort.Strings(lines)
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	// This fails if the reader has closed its connection; nobody misses the answer.
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

// stateLines returns the metrics that show the node's state at now.
func (n *Node) stateLines(now time.Time) []string {
	suspects, refused := n.parts.suspects.table.Counts(now)
	lines := []string{
		fmt.Sprintf("%s %d", metricSuspects, suspects),
		fmt.Sprintf("%s %d", metricRefusedNow, refused),
		fmt.Sprintf("%s %d", metricActive, n.parts.forwarder.Active()),
		fmt.Sprintf("%s %d", metricRouters, n.parts.peers.routers()),
		fmt.Sprintf("%s %.3f", metricConfigAge, n.configs.follower.Age(now).Seconds()),
		fmt.Sprintf("%s %.3f", metricInstancesAge, n.instances.follower.Age(now).Seconds()),
	}
	lines = append(lines, n.upstreamLines(now)...)
	for _, limit := range n.parts.table.Limits(now) {
		lines = append(lines, fmt.Sprintf("%s{upstream=%q} %g", metricUpstreamLimit, limit.Upstream, float64(limit.Rate)))
	}
	if n.config.LogDropped != nil {
		lines = append(lines, fmt.Sprintf("%s %d", metricDropped, n.config.LogDropped()))
	}
	return append(lines, n.configLines()...)
}

// upstreamLines returns the metrics of how many upstreams get no requests at now, and why.
func (n *Node) upstreamLines(now time.Time) []string {
	ejected, leaving, resting := 0, 0, 0
	for _, status := range n.parts.table.Statuses(now) {
		if status.Ejected {
			ejected++
		}
		if status.Leaving {
			leaving++
		}
		if status.Resting {
			resting++
		}
	}
	spared := n.parts.table.Spared()
	return []string{
		fmt.Sprintf("%s{reason=\"leaving\"} %d", metricSpared, spared.Leaving),
		fmt.Sprintf("%s{reason=\"deferred\"} %d", metricSpared, spared.Deferred),
		fmt.Sprintf("%s %d", metricUpstreamsOut, ejected),
		fmt.Sprintf("%s %d", metricLeaving, leaving),
		fmt.Sprintf("%s %d", metricResting, resting),
	}
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
