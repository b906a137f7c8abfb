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
	// on: reportInterval in partner/budget/report.go.
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
	// segmentCharges is the most charges of one segment: maxSegmentBatches batches of
	// bill.MaxBatch charges each, as partner/bill/collector.go has them.
	segmentCharges = 5000.0
)

// slopesByName are measured slopes by their names.
type slopesByName map[string]Slope

// traffic is what the routers of a fleet send of their own accord, worked out
// from the size of the fleet. Rates are by the second.
type traffic struct {
	size FleetSize
	// nodeRequests is the requests a second of one node.
	nodeRequests float64
	// active is the budgets that one box has had requests for within its report
	// interval.
	active float64
	// messages is what a box sends in a report interval: one to each shard's
	// keeper, with all asks about the shard.
	messages float64
	// pages is the pages of the whole fleet, and rowsPerPage the rows of each.
	pages, rowsPerPage float64
	// pageWrites is of the whole fleet.
	pageWrites float64
}

// newTraffic works the traffic out from the size. The active budgets are an upper
// bound: each request is taken to be for another budget.
func newTraffic(f FleetSize) traffic {
	t := traffic{size: f, nodeRequests: f.Requests / f.Nodes}
	t.active = min(f.Budgets, t.nodeRequests*boxReport)
	t.messages = min(f.Shards, t.active)
	t.pages = f.Shards * f.Regions
	t.rowsPerPage = t.active * (f.Nodes / f.Regions) / f.Shards
	t.pageWrites = t.pages / pageInterval
	if !f.Gathered {
		t.pageWrites = f.Nodes * t.messages / boxReport
	}
	return t
}

const (
	// coresPerNano turns nanoseconds of processor time a second into cores.
	coresPerNano = 1e-9
	// base64Growth is what base64 makes of each byte.
	base64Growth = 4.0 / 3
	// pageCopies is a keeper's memory for a page, as a multiple of its packed size.
	pageCopies = 3
	// renewalsPerTTL is how often a member renews its lease and lists the members
	// within the time that the lease lasts, as fleet/registry.go has it.
	renewalsPerTTL = 3
)

// Loads works the loads of each role out from the slopes. Every figure is an
// upper bound for the traffic named: a box reports on no more budgets than it
// has had requests since its last report.
func Loads(slopes []Slope, f FleetSize) []Load {
	by := slopesByName{}
	for _, s := range slopes {
		by[s.Name] = s
	}
	t := newTraffic(f)
	return []Load{
		t.spend(by),
		t.keepBudgets(by),
		t.bill(by),
		t.collectBills(by),
		t.followDocuments(by),
		t.membership(by),
		t.chooseUpstream(by),
		{Role: "report-burn", Memory: by["burn-memory"].At(f.Keys)},
	}
}

// spend is the purse of a box, which goes through its budgets each second and
// exchanges asks and replies with the keepers.
func (t traffic) spend(by slopesByName) Load {
	asks := t.active / t.messages
	return Load{
		Role:   "spend",
		Cores:  coresPerNano * by["purse-round"].Step * t.size.Budgets,
		Memory: by["purse-memory"].At(t.size.Budgets),
		Bytes:  t.messages / boxReport * (by["ask-bytes"].At(asks) + by["reply-bytes"].At(asks)),
	}
}

// keepBudgets is the keeper, which reads and writes a page for each report or,
// if they are gathered, each pageInterval, and reports to the root.
func (t traffic) keepBudgets(by slopesByName) Load {
	pageBytes := by["page-bytes"].At(t.rowsPerPage)
	calls := t.pageWrites + t.pages/rootContact
	return Load{
		Role:   "keep-budgets",
		Cores:  coresPerNano * by["page-write"].At(t.rowsPerPage) * t.pageWrites / t.size.Nodes,
		Memory: pageCopies * pageBytes * max(1, t.pages/t.size.Nodes),
		Bytes:  t.pageWrites / t.size.Nodes * 2 * pageBytes,
		Writes: calls,
		Reads:  calls,
	}
}

// bill is a box's own charges: held while they can't be stored, and sent to a
// collector in batches.
func (t traffic) bill(by slopesByName) Load {
	return Load{
		Role:   "bill",
		Memory: by["charge-memory"].At(t.nodeRequests * chargesHeld),
		Bytes:  t.nodeRequests * by["batch-bytes"].Step * base64Growth,
	}
}

// collectBills is the collectors, which receive the charges of a region and
// write them in segments.
func (t traffic) collectBills(by slopesByName) Load {
	f := t.size
	return Load{
		Role:   "collect-bills",
		Bytes:  2 * f.Requests / f.Regions * by["segment-bytes"].Step / max(1, f.Nodes/f.Regions),
		Writes: max(f.Requests/segmentCharges, f.Regions/bill.DefaultInterval.Seconds()),
	}
}

// followDocuments is the view of the documents in force. Each change sends one
// of the two partners' documents, which has half of the budgets.
func (t traffic) followDocuments(by slopesByName) Load {
	f := t.size
	return Load{
		Role:   "follow-documents",
		Memory: by["view-memory"].At(f.Budgets),
		Bytes:  f.Changes * by["document-bytes"].At(f.Budgets/2),
		Reads:  f.Nodes / watchTime,
	}
}

// membership is the renewal of a member's lease and the list of all members.
func (t traffic) membership(by slopesByName) Load {
	list := by["member-bytes"].At(t.size.Nodes)
	rate := renewalsPerTTL / fleet.DefaultTTL.Seconds()
	return Load{
		Role:   "membership",
		Memory: list,
		Bytes:  list * rate,
		Writes: t.size.Nodes * rate,
		Reads:  t.size.Nodes * rate,
	}
}

// chooseUpstream is the choice among all upstreams, made for each request.
func (t traffic) chooseUpstream(by slopesByName) Load {
	return Load{
		Role:   "choose-upstream",
		Cores:  coresPerNano * t.nodeRequests * by["choice-time"].At(t.size.Upstreams),
		Memory: by["choice-memory"].At(t.size.Upstreams),
	}
}
