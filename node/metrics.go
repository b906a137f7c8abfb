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

// The names of the figures. docs/METRICS.md explains each.
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
	metricUpstreamsOut   = "upstream_out"
	metricStoreCalls     = "store_calls"
	metricDropped        = "log_dropped"
)

// Metrics returns the names of all figures.
func Metrics() []string {
	return []string{
		metricActive, metricRouters, metricConfig, metricConfigAge, metricInstancesAge, metricBudgetFree, metricBudgetSpent, metricStoreRemaining,
		metricRequests, metricAttempts, metricRefusals, metricDuration, metricFirstByte, metricConnections, metricUpstreamsOut, metricStoreCalls, metricDropped,
	}
}

// sampleSize and sampleBias are those of the histograms: about the last five
// minutes.
const (
	sampleSize = 512
	sampleBias = 0.015
)

// counter returns a function that counts events of a name.
func (n *Node) counter(name string) func() {
	c := metrics.GetOrRegisterCounter(name, n.metrics)
	return func() { c.Inc(1) }
}

func (n *Node) count(by int64, name, format string, args ...any) {
	metrics.GetOrRegisterCounter(name+"{"+fmt.Sprintf(format, args...)+"}", n.metrics).Inc(by)
}

func (n *Node) observe(d time.Duration, name string, service granitehoist.Service) {
	full := fmt.Sprintf("%s{service=%q}", name, service)
	histogram, ok := n.metrics.GetOrRegister(full, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, sampleBias))
	}).(metrics.Histogram)
	if ok {
		histogram.Update(int64(d))
	}
}

// noteRequest counts a request.
func (n *Node) noteRequest(r forward.Report) {
	n.count(1, metricRequests, "service=%q,code=\"%d\"", r.Service, int(r.Code))
	n.count(int64(r.Attempts), metricAttempts, "service=%q", r.Service)
	if r.Budget != escrow.Granted {
		n.count(1, metricRefusals, "workspace=%q,outcome=%q", r.Workspace, r.Budget)
	}
	if r.Service == "" {
		return
	}
	n.observe(r.Took, metricDuration, r.Service)
	if r.First > 0 {
		n.observe(r.First, metricFirstByte, r.Service)
	}
}

// serveMetrics writes the figures as lines of name and value.
func (n *Node) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	lines := n.stateLines(time.Now())
	n.metrics.Each(func(name string, metric any) {
		switch m := metric.(type) {
		case metrics.Counter:
			lines = append(lines, fmt.Sprintf("%s %d", name, m.Count()))
		case metrics.Histogram:
			lines = append(lines, quantileLines(name, m)...)
		}
	})
	sort.Strings(lines)
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	_, _ = w.Write([]byte(strings.Join(lines, "\n") + "\n"))
}

func quantileLines(name string, h metrics.Histogram) []string {
	quantiles := []float64{0.5, 0.95, 0.99}
	values := h.Percentiles(quantiles)
	var lines []string
	for i, q := range quantiles {
		lines = append(lines, fmt.Sprintf("%s,quantile=\"%g\"} %.4f", strings.TrimSuffix(name, "}"), q, values[i]/float64(time.Second)))
	}
	return lines
}

// stateLines tells what the node knows at a moment.
func (n *Node) stateLines(now time.Time) []string {
	out := 0
	for _, status := range n.table.Statuses(now) {
		if status.Ejected {
			out++
		}
	}
	lines := []string{
		fmt.Sprintf("%s %d", metricActive, n.path.Active()),
		fmt.Sprintf("%s %d", metricRouters, n.peers.routers()),
		fmt.Sprintf("%s %.3f", metricConfigAge, n.configs.Age(now).Seconds()),
		fmt.Sprintf("%s %.3f", metricInstancesAge, n.instances.Age(now).Seconds()),
		fmt.Sprintf("%s %d", metricUpstreamsOut, out),
	}
	if n.config.LogDropped != nil {
		lines = append(lines, fmt.Sprintf("%s %d", metricDropped, n.config.LogDropped()))
	}
	snapshot := n.catalog.Get()
	if snapshot == nil {
		return lines
	}
	lines = append(lines, fmt.Sprintf("%s %d", metricConfig, snapshot.Version))
	for name := range snapshot.Workspaces() {
		state := n.ledger.State(name)
		lines = append(lines,
			fmt.Sprintf("%s{workspace=%q} %d", metricBudgetFree, name, state.Free),
			fmt.Sprintf("%s{workspace=%q} %d", metricBudgetSpent, name, state.Spent),
			fmt.Sprintf("%s{workspace=%q} %d", metricStoreRemaining, name, state.StoreRemaining))
	}
	return lines
}
