// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package measure

import (
	"granitehoist.example/granitehoist/fleet"
	"granitehoist.example/granitehoist/partner/bill"
)

// FleetSize is the size of a fleet for which loads are computed. Requests are per second.
type FleetSize struct {
	Name     string
	Boxes    float64
	Regions  float64
	Requests float64
	// Budgets is the number of budgets in use, Upstreams the number of upstreams.
	Budgets   float64
	Upstreams float64
	// ReportKeys is the number of pairs of service and workspace that one router serves in a
	// day.
	ReportKeys float64
	Shards     float64
	// Changes is the number of configuration changes per second.
	Changes float64
	// Batched is set if reports without a waiting request are batched for
	// regionRecordInterval. A region record is then written once in that time instead of
	// once for each message of a box.
	Batched bool
}

// secondsPerDay converts changes per day to changes per second.
const secondsPerDay = 86400

// Sizes are the fleet sizes of docs/CAPACITY.md.
var Sizes = []FleetSize{
	{Name: "full", Boxes: 1100, Regions: 6, Requests: 63000, Budgets: 14000, Upstreams: 10000, ReportKeys: 2000, Shards: 64, Changes: 15000.0 / secondsPerDay, Batched: true},
	{Name: "small", Boxes: 6, Regions: 1, Requests: 60, Budgets: 20, Upstreams: 25, ReportKeys: 80, Shards: 8, Changes: 20.0 / secondsPerDay},
}

// Load is the load of a role on each box that has it. Writes and Reads are the store calls
// of the whole fleet per second.
type Load struct {
	Role string
	// Cores is processor seconds per second, Memory is in bytes, Bytes is bytes per second
	// sent and received.
	Cores, Memory, Bytes, Writes, Reads float64
}

// Intervals of the fleet's messages in seconds. Each must match the code that its comment
// names.
const (
	// boxReportInterval is the interval at which a box reports its spending of a budget:
	// reportInterval in partner/budget/report.go.
	boxReportInterval = 10.0
	// regionRecordInterval is the time for which reports are batched at the full size: the
	// setting budget.gather, "10s".
	regionRecordInterval = 10.0
	// rootReportInterval is the interval at which a region reports to a root: rootInterval
	// in partner/budget/refill.go.
	rootReportInterval = 20.0
	// chargeRetention is the time for which charges are kept in memory while no segment
	// can be written; see bill.DefaultMaxPending.
	chargeRetention = 1800.0
	// watchTimeout is the long-poll time of a watch of the documents.
	watchTimeout = 20.0
	// maxSegmentCharges is the maximum number of charges in a segment: maxSegmentBatches batches
	// of bill.MaxBatch charges each, see partner/bill/collector.go.
	maxSegmentCharges = 5000.0
)

// slopesByName maps Slope.Name to the measured slope.
type slopesByName map[string]Slope

// traffic is the request rate and the background traffic of a fleet, computed from its
// size. Rates are per second.
type traffic struct {
	size FleetSize
	// boxRequests is the request rate of one box.
	boxRequests float64
	// active is the number of budgets for which one box had requests within
	// boxReportInterval.
	active float64
	// messages is the number of messages that a box sends in a boxReportInterval: one to the
	// allocator of each shard with active budgets, with all reports for the shard.
	messages float64
	// regionRecords is the number of region records of the whole fleet, rowsPerRegionRecord
	// the number of rows in each record.
	regionRecords, rowsPerRegionRecord float64
	// regionRecordWrites is the rate of region record writes of the whole fleet.
	regionRecordWrites float64
}

// newTraffic computes the traffic of a fleet. The number of active budgets is an upper
// bound, since it assumes a different budget for each request.
func newTraffic(f FleetSize) traffic {
	t := traffic{size: f, boxRequests: f.Requests / f.Boxes}
	t.active = min(f.Budgets, t.boxRequests*boxReportInterval)
	t.messages = min(f.Shards, t.active)
	t.regionRecords = f.Shards * f.Regions
	t.rowsPerRegionRecord = t.active * (f.Boxes / f.Regions) / f.Shards
	t.regionRecordWrites = t.regionRecords / regionRecordInterval
	if !f.Batched {
		t.regionRecordWrites = f.Boxes * t.messages / boxReportInterval
	}
	return t
}

const (
	// coresPerNano converts nanoseconds of processor time per second to cores.
	coresPerNano = 1e-9
	// base64Overhead is the size of base64 text relative to its data.
	base64Overhead = 4.0 / 3
	// regionRecordMemoryFactor is an allocator's memory for a region record, as a multiple
	// of the record's packed size.
	regionRecordMemoryFactor = 3
	// renewalsPerTTL is how often a member renews its lease and lists the members within
	// the TTL of the lease; see fleet/registry.go.
	renewalsPerTTL = 3
)

// Loads computes the load of each role from the slopes. The loads are upper bounds, since
// newTraffic assumes a different budget for each request.
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
		{Role: "report-burn", Memory: by["burn-memory"].At(f.ReportKeys)},
	}
}

// spend returns the load of a box's budget.Ledger, which scans its budgets each second and
// exchanges reports and replies with the allocators.
func (t traffic) spend(by slopesByName) Load {
	reports := t.active / t.messages
	return Load{
		Role:   "spend",
		Cores:  coresPerNano * by["purse-round"].Step * t.size.Budgets,
		Memory: by["purse-memory"].At(t.size.Budgets),
		Bytes:  t.messages / boxReportInterval * (by["ask-bytes"].At(reports) + by["reply-bytes"].At(reports)),
	}
}

// keepBudgets returns the load of an allocator. It reads and writes a region record for each
// message of a box, or once in each regionRecordInterval if reports are batched, and also
// reports to the root.
func (t traffic) keepBudgets(by slopesByName) Load {
	regionRecordBytes := by["page-bytes"].At(t.rowsPerRegionRecord)
	calls := t.regionRecordWrites + t.regionRecords/rootReportInterval
	return Load{
		Role:   "keep-budgets",
		Cores:  coresPerNano * by["page-write"].At(t.rowsPerRegionRecord) * t.regionRecordWrites / t.size.Boxes,
		Memory: regionRecordMemoryFactor * regionRecordBytes * max(1, t.regionRecords/t.size.Boxes),
		Bytes:  t.regionRecordWrites / t.size.Boxes * 2 * regionRecordBytes,
		Writes: calls,
		Reads:  calls,
	}
}

// bill returns the load of a box's own charges, which are buffered while they can't be
// stored and sent to a collector in batches.
func (t traffic) bill(by slopesByName) Load {
	return Load{
		Role:   "bill",
		Memory: by["charge-memory"].At(t.boxRequests * chargeRetention),
		Bytes:  t.boxRequests * by["batch-bytes"].Step * base64Overhead,
	}
}

// collectBills returns the load of a collector, which receives the charges of a region and
// writes them in segments.
func (t traffic) collectBills(by slopesByName) Load {
	f := t.size
	return Load{
		Role:   "collect-bills",
		Bytes:  2 * f.Requests / f.Regions * by["segment-bytes"].Step / max(1, f.Boxes/f.Regions),
		Writes: max(f.Requests/maxSegmentCharges, f.Regions/bill.DefaultInterval.Seconds()),
	}
}

// followDocuments returns the load of the view of the active documents. Each change sends
// one of the two partners' documents, which has half of the budgets.
func (t traffic) followDocuments(by slopesByName) Load {
	f := t.size
	return Load{
		Role:   "follow-documents",
		Memory: by["view-memory"].At(f.Budgets),
		Bytes:  f.Changes * by["document-bytes"].At(f.Budgets/2),
		Reads:  f.Boxes / watchTimeout,
	}
}

// membership returns the load of renewing a member's lease and listing all members.
func (t traffic) membership(by slopesByName) Load {
	list := by["member-bytes"].At(t.size.Boxes)
	rate := renewalsPerTTL / fleet.DefaultTTL.Seconds()
	return Load{
		Role:   "membership",
		Memory: list,
		Bytes:  list * rate,
		Writes: t.size.Boxes * rate,
		Reads:  t.size.Boxes * rate,
	}
}

// chooseUpstream returns the load of choosing one of all upstreams for each request.
func (t traffic) chooseUpstream(by slopesByName) Load {
	return Load{
		Role:   "choose-upstream",
		Cores:  coresPerNano * t.boxRequests * by["choice-time"].At(t.size.Upstreams),
		Memory: by["choice-memory"].At(t.size.Upstreams),
	}
}
