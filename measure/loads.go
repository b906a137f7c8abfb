// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package measure

import (
	"granitehoist.example/granitehoist/fleet"
	"granitehoist.example/granitehoist/partner/bill"
)

// FleetSize is the size of a fleet for which loads are worked out.
type FleetSize struct {
	Name     string
	Nodes    float64
	Regions  float64
	Requests float64
	// Budgets are drawn on by requests, and Upstreams served by.
	Budgets   float64
	Upstreams float64
	// Keys is the pairs of service and workspace that one router serves in a
	// day.
	Keys   float64
	Shards float64
	// Changes is configuration changes a second.
	Changes float64
	// Gathered says that reports nobody waits for are kept for pageInterval, so
	// that a page is written once in that time and not once a box.
	Gathered bool
}

// secondsPerDay turns changes a day into changes a second.
const secondsPerDay = 86400

// Sizes are those of docs/CAPACITY.md.
var Sizes = []FleetSize{
	{Name: "full", Nodes: 1100, Regions: 6, Requests: 63000, Budgets: 14000, Upstreams: 10000, Keys: 2000, Shards: 64, Changes: 15000.0 / secondsPerDay, Gathered: true},
	{Name: "small", Nodes: 6, Regions: 1, Requests: 60, Budgets: 20, Upstreams: 25, Keys: 80, Shards: 8, Changes: 20.0 / secondsPerDay},
}

// Load is what a role costs each node that has it. Writes and Reads are of the
// whole fleet.
type Load struct {
	Role string
	// Cores is processor time a second, Memory in bytes, Bytes in bytes a
	// second sent and received.
	Cores, Memory, Bytes, Writes, Reads float64
}

// Times of the fleet's messages in seconds, as the code has them.
const (
	// boxReport is the time after which a box reports a budget that it spent
	// on: reportInterval in partner/budget/asks.go.
	boxReport = 10.0
	// pageInterval is the time that reports are gathered for at the full size:
	// the setting budget.gather, "10s".
	pageInterval = 10.0
	// rootContact is the time after which a region reports to a root:
	// rootInterval in partner/budget/refill.go.
	rootContact = 20.0
	// chargesHeld is the time that charges are kept while no segment can be
	// written: the half an hour of bill.DefaultMaxPending.
	chargesHeld = 1800.0
	// watchTime is how long one watch of the documents waits at the store.
	watchTime = 20.0
	// segmentCharges is the most charges of one segment: maxSegment batches of
	// bill.MaxBatch charges each, as partner/bill/collector.go has them.
	segmentCharges = 5000.0
)

// Loads works the loads of each role out from the slopes. Every figure is an
// upper bound for the traffic named: a box reports on no more budgets than it
// has had requests since its last report.
func Loads(slopes []Slope, f FleetSize) []Load {
	by := map[string]Slope{}
	for _, s := range slopes {
		by[s.Name] = s
	}
	perNode := f.Requests / f.Nodes
	boxesPerRegion := f.Nodes / f.Regions
	// Budgets that one box has had requests for within its report interval.
	active := min(f.Budgets, perNode*boxReport)
	pages := f.Shards * f.Regions
	pagesPerNode := pages / f.Nodes
	rowsPerPage := active * boxesPerRegion / f.Shards
	// A box sends each shard's keeper one message with all asks about it.
	messages := min(f.Shards, active)
	pageWrites := pages / pageInterval
	if !f.Gathered {
		pageWrites = f.Nodes * messages / boxReport
	}
	const nano = 1e-9
	leaseTTL := fleet.DefaultTTL.Seconds()
	return []Load{
		{
			Role:   "spend",
			Cores:  nano * by["purse-round"].Step * f.Budgets,
			Memory: by["purse-memory"].At(f.Budgets),
			Bytes:  messages / boxReport * (by["ask-bytes"].At(active/messages) + by["reply-bytes"].At(active/messages)),
		},
		{
			Role:   "keep-budgets",
			Cores:  nano * by["page-write"].At(rowsPerPage) * pageWrites / f.Nodes,
			Memory: 3 * by["page-bytes"].At(rowsPerPage) * max(1, pagesPerNode),
			Bytes:  pageWrites / f.Nodes * 2 * by["page-bytes"].At(rowsPerPage),
			Writes: pageWrites + pages/rootContact,
			Reads:  pageWrites + pages/rootContact,
		},
		{
			Role:   "bill",
			Memory: by["charge-memory"].At(perNode * chargesHeld),
			Bytes:  perNode * by["batch-bytes"].Step * 4 / 3,
		},
		{
			Role:   "collect-bills",
			Bytes:  2 * f.Requests / f.Regions * by["segment-bytes"].Step / max(1, boxesPerRegion),
			Writes: max(f.Requests/segmentCharges, f.Regions/bill.DefaultInterval.Seconds()),
		},
		{
			Role:   "follow-documents",
			Memory: by["view-memory"].At(f.Budgets),
			Bytes:  f.Changes * by["document-bytes"].At(f.Budgets/2),
			Reads:  f.Nodes / watchTime,
		},
		{
			Role:   "membership",
			Memory: by["member-bytes"].At(f.Nodes),
			Bytes:  by["member-bytes"].At(f.Nodes) * 3 / leaseTTL,
			Writes: f.Nodes * 3 / leaseTTL,
			Reads:  f.Nodes * 3 / leaseTTL,
		},
		{
			Role:   "choose-upstream",
			Cores:  nano * perNode * by["choice-time"].At(f.Upstreams),
			Memory: by["choice-memory"].At(f.Upstreams),
		},
		{
			Role:   "report-burn",
			Memory: by["burn-memory"].At(f.Keys),
		},
	}
}
