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

	"granitehoist.example/granitehoist/forward"
)

// counter returns a function that counts events of a name.
func (n *Node) counter(name string) func() {
	c := metrics.GetOrRegisterCounter(name, n.metrics)
	return func() { c.Inc(1) }
}

// ended counts a request.
func (n *Node) ended(r forward.Report) {
	metrics.GetOrRegisterCounter(fmt.Sprintf("requests{service=%q,code=\"%d\"}", r.Service, int(r.Code)), n.metrics).Inc(1)
	metrics.GetOrRegisterCounter(fmt.Sprintf("attempts{service=%q}", r.Service), n.metrics).Inc(int64(r.Attempts))
}

// serveMetrics writes the figures as lines of name and value.
func (n *Node) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	now := time.Now()
	lines := []string{
		fmt.Sprintf("active_requests %d", n.path.Active()),
		fmt.Sprintf("routers %d", n.peers.routers()),
		fmt.Sprintf("config_age_seconds %.3f", n.configs.Age(now).Seconds()),
		fmt.Sprintf("instances_age_seconds %.3f", n.instances.Age(now).Seconds()),
	}
	if s := n.catalog.Get(); s != nil {
		lines = append(lines, fmt.Sprintf("config_version %d", s.Version))
		for name := range s.Workspaces() {
			state := n.ledger.State(name)
			lines = append(lines,
				fmt.Sprintf("budget_free{workspace=%q} %d", name, state.Free),
				fmt.Sprintf("budget_spent{workspace=%q} %d", name, state.Spent))
		}
	}
	n.metrics.Each(func(name string, metric any) {
		if c, ok := metric.(metrics.Counter); ok {
			lines = append(lines, fmt.Sprintf("%s %d", name, c.Count()))
		}
	})
	sort.Strings(lines)
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	_, _ = w.Write([]byte(strings.Join(lines, "\n") + "\n"))
}
