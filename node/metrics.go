// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package node

import (
	"fmt"
	"net/http"
	runtimemetrics "runtime/metrics"
	"sort"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/escrow"
	"granitehoist.example/granitehoist/exchange"
	"granitehoist.example/granitehoist/forward"
	"granitehoist.example/granitehoist/internal/readlimit"
)

// Names of the metrics. Some keep an older word for compatibility.
const (
	metricActiveRequests      = "active_requests"
	metricRouters             = "routers"
	metricConfigVersion       = "config_version"
	metricConfigAge           = "config_age_seconds"
	metricInstancesAge        = "instances_age_seconds"
	metricBudgetFree          = "budget_free"
	metricBudgetSpent         = "budget_spent"
	metricStoreRemaining      = "budget_rest"
	metricRequests            = "requests"
	metricAttempts            = "attempts"
	metricRefusals            = "refusals"
	metricDuration            = "took_seconds"
	metricFirstByte           = "first_seconds"
	metricConnections         = "upstream_connections"
	metricDials               = "upstream_dials"
	metricRejections          = "upstream_rejections"
	metricNotRun              = "attempts_not_run"
	metricPathLost            = "path_lost"
	metricDetours             = "detour_dials"
	metricTunnels             = "tunnels"
	metricTunnelBytes         = "tunnel_bytes"
	metricSuspects            = "suspects"
	metricSuspectsRefused     = "suspects_refused"
	metricUpstreamsEjected    = "upstream_out"
	metricUpstreamsLeaving    = "upstreams_leaving"
	metricUpstreamsBackingOff = "upstreams_resting"
	metricAvoidedChoices      = "choices_sparing"
	metricUpstreamLimit       = "upstream_limit"
	metricPermits             = "permits"
	metricRolloutShare        = "rollout_share"
	metricRolloutAnswers      = "rollout_answers"
	metricStoreCalls          = "store_calls"
	metricLogLinesDropped     = "log_dropped"
	metricCrossings           = "crossings"
	metricCrossedBytes        = "crossed_bytes"
	metricCrossedTokens       = "crossed_tokens"
	metricHeapBytes           = "heap_bytes"
	metricUpstreamReadBytes   = "upstream_read_bytes"
	metricReadMemory          = "read_memory_bytes"
	metricReadLimitsExceeded  = "read_limits_exceeded"
)

// MetricNames returns the name of each metric that a node serves, without labels.
func MetricNames() []string {
	return []string{
		metricActiveRequests, metricRouters, metricConfigVersion, metricConfigAge, metricInstancesAge, metricBudgetFree, metricBudgetSpent, metricStoreRemaining,
		metricRequests, metricAttempts, metricRefusals, metricDuration, metricFirstByte, metricConnections, metricDials, metricRejections, metricNotRun, metricPathLost, metricDetours, metricTunnels, metricTunnelBytes, metricSuspects, metricSuspectsRefused, metricUpstreamsEjected, metricUpstreamsLeaving, metricUpstreamsBackingOff, metricAvoidedChoices, metricUpstreamLimit, metricPermits, metricRolloutShare, metricRolloutAnswers, metricStoreCalls, metricLogLinesDropped,
		metricCrossings, metricCrossedBytes, metricCrossedTokens, metricHeapBytes, metricUpstreamReadBytes, metricReadMemory, metricReadLimitsExceeded,
	}
}

const (
	// sampleSize is the number of values in a histogram's sample.
	sampleSize = 512
	// sampleBias is the decay factor of the sample; the library's usual value of 0.015
	// favours about the last five minutes.
	sampleBias = 0.015
)

// counters holds the metrics that are updated by events. It is safe for concurrent use.
type counters struct{ registry metrics.Registry }

func newCounters() *counters { return &counters{registry: metrics.NewRegistry()} }

// counter returns a function that increments the counter of a name.
func (c *counters) counter(name string) func() {
	counter := metrics.GetOrRegisterCounter(name, c.registry)
	return func() { counter.Inc(1) }
}

// count adds by to the counter of a name with the labels that format and args give.
func (c *counters) count(by int64, name, format string, args ...any) {
	metrics.GetOrRegisterCounter(name+"{"+fmt.Sprintf(format, args...)+"}", c.registry).Inc(by)
}

// observe adds a duration to the histogram of a name and service.
func (c *counters) observe(d time.Duration, name string, service granitehoist.Service) {
	labelled := fmt.Sprintf("%s{service=%q}", name, service)
	registered := c.registry.GetOrRegister(labelled, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, sampleBias))
	})
	// No counter has the name of a histogram, so the assertion always succeeds.
	if histogram, ok := registered.(metrics.Histogram); ok {
		histogram.Update(int64(d))
	}
}

// readCounter returns a function that counts the bytes read from upstreams in some parts of
// their responses.
func (c *counters) readCounter(parts ...readlimit.Part) func(readlimit.Part, int) {
	byPart := map[readlimit.Part]metrics.Counter{}
	for _, part := range parts {
		byPart[part] = metrics.GetOrRegisterCounter(fmt.Sprintf("%s{part=%q}", metricUpstreamReadBytes, part), c.registry)
	}
	return func(part readlimit.Part, n int) {
		if counter, found := byPart[part]; found {
			counter.Inc(int64(n))
		}
	}
}

// countStoreCall counts a call to the store.
func (c *counters) countStoreCall(call, prefix, result string) {
	c.count(1, metricStoreCalls, "call=%q,prefix=%q,result=%q", call, prefix, result)
}

// countRequest counts a completed request.
func (c *counters) countRequest(r forward.Report) {
	c.count(1, metricRequests, "service=%q,code=\"%d\"", r.Service, int(r.Code))
	c.count(int64(r.Attempts), metricAttempts, "service=%q", r.Service)
	if r.Rejections > 0 {
		c.count(int64(r.Rejections), metricRejections, "service=%q", r.Service)
	}
	if r.Budget != escrow.Granted {
		c.count(1, metricRefusals, "workspace=%q,outcome=%q", r.Workspace, r.Budget)
	}
	if r.Service == "" {
		return
	}
	c.observe(r.Duration, metricDuration, r.Service)
	if r.TimeToFirstByte > 0 {
		c.observe(r.TimeToFirstByte, metricFirstByte, r.Service)
	}
}

// countNotRun counts an attempt that did not run.
func (c *counters) countNotRun(r forward.NotRunReason) { c.count(1, metricNotRun, "reason=%q", r) }

// countDial counts a dial to an upstream.
func (c *counters) countDial(r exchange.DialResult) { c.count(1, metricDials, "result=%q", r) }

// countTunnel counts the bytes of a tunnel that has ended.
func (c *counters) countTunnel(bytes int64) {
	metrics.GetOrRegisterCounter(metricTunnelBytes, c.registry).Inc(bytes)
}

// countCrossing counts an attempt that left the router's zone.
func (c *counters) countCrossing(t forward.CrossedTraffic) {
	const labels = "to=%q,reason=%q,service=%q"
	c.count(1, metricCrossings, labels, t.To, t.Reason, t.Service)
	c.count(t.Bytes, metricCrossedBytes, labels, t.To, t.Reason, t.Service)
	c.count(int64(t.PromptTokens), metricCrossedTokens, labels, t.To, t.Reason, t.Service)
}

// serveMetrics writes the metrics as lines of name and value.
func (n *Node) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	lines := append(n.stateLines(n.clock()), n.counters.lines()...)
	sort.Strings(lines)
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	// The write fails if the client has closed its connection.
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

// stateLines returns the metrics of the node's state at now.
func (n *Node) stateLines(now time.Time) []string {
	suspects, refused := n.components.suspects.table.Counts(now)
	lines := []string{
		fmt.Sprintf("%s %d", metricSuspects, suspects),
		fmt.Sprintf("%s %d", metricSuspectsRefused, refused),
		fmt.Sprintf("%s %d", metricActiveRequests, n.components.forwarder.Active()),
		fmt.Sprintf("%s %d", metricRouters, n.components.peers.routers()),
		fmt.Sprintf("%s %.3f", metricConfigAge, n.configs.follower.Age(now).Seconds()),
		fmt.Sprintf("%s %.3f", metricInstancesAge, n.instances.follower.Age(now).Seconds()),
	}
	lines = append(lines, n.upstreamLines(now)...)
	lines = append(lines, n.pathLines()...)
	lines = append(lines, fmt.Sprintf("%s %d", metricHeapBytes, heapBytes()))
	for kind, used := range n.readMemory.used() {
		lines = append(lines, fmt.Sprintf("%s{from=%q} %d", metricReadMemory, kind, used))
	}
	lines = append(lines, n.components.rollouts.metricLines()...)
	for _, limit := range n.components.table.Limits(now) {
		lines = append(lines, fmt.Sprintf("%s{upstream=%q} %g", metricUpstreamLimit, limit.Upstream, float64(limit.Rate)))
	}
	if n.config.LogDropped != nil {
		lines = append(lines, fmt.Sprintf("%s %d", metricLogLinesDropped, n.config.LogDropped()))
	}
	return append(lines, n.configLines()...)
}

// heapBytes returns the size in bytes of the objects on the heap, live ones and those that
// the garbage collector has not freed yet.
func heapBytes() uint64 {
	sample := []runtimemetrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}}
	runtimemetrics.Read(sample)
	if sample[0].Value.Kind() != runtimemetrics.KindUint64 {
		// The Go release doesn't know the name.
		return 0
	}
	return sample[0].Value.Uint64()
}

// upstreamLines returns the numbers of upstreams that are ejected, leaving or backing off
// at now, and the counts of selections that passed over an upstream.
func (n *Node) upstreamLines(now time.Time) []string {
	ejected, leaving, backingOff := 0, 0, 0
	for _, status := range n.components.table.Statuses(now) {
		if status.Ejected {
			ejected++
		}
		if status.Leaving {
			leaving++
		}
		if status.BackingOff {
			backingOff++
		}
	}
	avoided := n.components.table.SkipCounts()
	return []string{
		fmt.Sprintf("%s{reason=\"leaving\"} %d", metricAvoidedChoices, avoided.Leaving),
		fmt.Sprintf("%s{reason=\"deferred\"} %d", metricAvoidedChoices, avoided.Deferred),
		fmt.Sprintf("%s %d", metricUpstreamsEjected, ejected),
		fmt.Sprintf("%s %d", metricUpstreamsLeaving, leaving),
		fmt.Sprintf("%s %d", metricUpstreamsBackingOff, backingOff),
	}
}

// pathLines returns the metrics of the path to the upstreams and of the tunnels for
// neighbours.
func (n *Node) pathLines() []string {
	lost := 0
	if n.components.pool.Path() == exchange.PathLost {
		lost = 1
	}
	return []string{
		fmt.Sprintf("%s %d", metricPathLost, lost),
		fmt.Sprintf("%s %d", metricTunnels, n.components.tunnels.Open()),
	}
}

// configLines returns the metrics of the active configuration and its workspaces, none
// before the first configuration.
func (n *Node) configLines() []string {
	snapshot := n.configs.catalog.Get()
	if snapshot == nil {
		return nil
	}
	lines := []string{fmt.Sprintf("%s %d", metricConfigVersion, snapshot.Version.Revision())}
	for name := range snapshot.Workspaces() {
		state := n.components.ledger.State(name)
		lines = append(lines,
			fmt.Sprintf("%s{workspace=%q} %d", metricBudgetFree, name, state.Free),
			fmt.Sprintf("%s{workspace=%q} %d", metricBudgetSpent, name, state.Spent),
			fmt.Sprintf("%s{workspace=%q} %d", metricStoreRemaining, name, state.StoreRemaining))
	}
	return lines
}
