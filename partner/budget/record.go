// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package budget

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/internal/pack"
)

// recordFormat is the format number of the stored records. Records of any other format are
// refused.
const recordFormat = 1

// Row is the state of one incarnation in an account of a region.
type Row struct {
	// Totals.Granted is the total that the region has granted. The other totals are as
	// last reported.
	Totals Totals `json:"t"`
	// Rate is the last reported forecast spending rate in tokens per second. Largest is the
	// largest maximum cost of a request.
	Rate    float64             `json:"f,omitempty"`
	Largest granitehoist.Tokens `json:"m,omitempty"`
	// Need is the number of tokens that the incarnation's waiting requests lack, by its last
	// report and less later grants. Least is what the smallest waiting request lacks.
	Need  granitehoist.Tokens `json:"n,omitempty"`
	Least granitehoist.Tokens `json:"y,omitempty"`
}

// Member is the state of one incarnation in a region.
type Member struct {
	Box granitehoist.Box `json:"box"`
	// LastSeen is the time of the incarnation's last report in Unix seconds. It may be too early by up
	// to seenResolution.
	LastSeen int64 `json:"seen"`
	// Closed means that the incarnation stopped gracefully and holds nothing.
	Closed bool `json:"closed,omitempty"`
}

// RegionAccount is a region's part of one budget.
type RegionAccount struct {
	// Received is the total received from the root. Returned is the total returned to it.
	Received granitehoist.Tokens `json:"in,omitempty"`
	Returned granitehoist.Tokens `json:"out,omitempty"`
	// Confirmed is the part of Returned that the root has confirmed.
	Confirmed granitehoist.Tokens `json:"conf,omitempty"`
	// Retired has the sums of removed rows. The JSON name stays for compatibility.
	Retired Totals `json:"folded"`
	// ReportedAt is when the account was last reported to the root, in Unix seconds.
	ReportedAt int64 `json:"told,omitempty"`
	// Limit is how much the region may hold, and RemainingElsewhere what the whole budget
	// has left outside the region, both as of the root's last reply.
	Limit              granitehoist.Tokens `json:"limit,omitempty"`
	RemainingElsewhere granitehoist.Tokens `json:"else,omitempty"`
	// Rows holds the incarnations that drew on the region's stock.
	Rows map[granitehoist.Incarnation]Row `json:"rows,omitempty"`
}

// RegionRecord is a region record: the stored accounts of a region for a shard of budgets.
type RegionRecord struct {
	Format   int                                      `json:"format"`
	Members  map[granitehoist.Incarnation]Member      `json:"members"`
	Accounts map[granitehoist.BudgetID]*RegionAccount `json:"accounts"`
}

// RegionRow is the state of one region in a root account.
type RegionRow struct {
	// Granted is the total granted to the region. Returned is the total that it returned.
	Granted  granitehoist.Tokens `json:"g,omitempty"`
	Returned granitehoist.Tokens `json:"b,omitempty"`
	// Spent is the total charged in the region, as last reported. Live is the number of
	// tokens in the region that are not in doubt, as last reported, plus the last grant.
	Spent granitehoist.Tokens `json:"s,omitempty"`
	Live  granitehoist.Tokens `json:"live,omitempty"`
	// Rate is the region's forecast spending rate in tokens per second. Largest is the
	// largest maximum cost of a request. Both are as last reported at LastSeen, in Unix seconds.
	Rate     float64             `json:"f,omitempty"`
	Largest  granitehoist.Tokens `json:"m,omitempty"`
	LastSeen int64               `json:"seen,omitempty"`
}

// RootAccount is one budget in a root record.
type RootAccount struct {
	Prepaid granitehoist.Tokens `json:"prepaid"`
	// PrepaidSerial is the serial of the configuration that Prepaid was read from.
	PrepaidSerial granitehoist.Serial               `json:"at"`
	Regions       map[granitehoist.Region]RegionRow `json:"regions,omitempty"`
}

// RootRecord is the stored record of all regions for a shard of budgets.
type RootRecord struct {
	Format   int                                    `json:"format"`
	Accounts map[granitehoist.BudgetID]*RootAccount `json:"accounts"`
}

// NewRegionRecord returns a RegionRecord without accounts.
func NewRegionRecord() *RegionRecord {
	return &RegionRecord{Format: recordFormat, Members: map[granitehoist.Incarnation]Member{}, Accounts: map[granitehoist.BudgetID]*RegionAccount{}}
}

// newRootRecord returns a RootRecord without accounts.
func newRootRecord() *RootRecord {
	return &RootRecord{Format: recordFormat, Accounts: map[granitehoist.BudgetID]*RootAccount{}}
}

// DecodeRegionRecord decodes a stored RegionRecord. It returns an empty RegionRecord for a
// key that does not exist, and an error for a value that is invalid.
func DecodeRegionRecord(e granitehoist.Entry) (*RegionRecord, error) {
	record := NewRegionRecord()
	if e.Version == 0 {
		return record, nil
	}
	if err := decodeRecord(e, record, &record.Format); err != nil {
		return nil, err
	}
	if record.Members == nil || record.Accounts == nil {
		return nil, eris.Errorf("budget: record %s has no members or no accounts", e.Key)
	}
	for k, a := range record.Accounts {
		if a == nil {
			return nil, eris.Errorf("budget: record %s has a null account %s", e.Key, k)
		}
		if a.Stock() < 0 {
			return nil, eris.Errorf("budget: record %s granted more tokens of %s than it received", e.Key, k)
		}
	}
	return record, nil
}

// DecodeRootRecord decodes a stored RootRecord. It returns an empty RootRecord for a key
// that does not exist, and an error for a value that is invalid.
func DecodeRootRecord(e granitehoist.Entry) (*RootRecord, error) {
	root := newRootRecord()
	if e.Version == 0 {
		return root, nil
	}
	if err := decodeRecord(e, root, &root.Format); err != nil {
		return nil, err
	}
	if root.Accounts == nil {
		return nil, eris.Errorf("budget: record %s has no accounts", e.Key)
	}
	for k, a := range root.Accounts {
		if a == nil {
			return nil, eris.Errorf("budget: record %s has a null account %s", e.Key, k)
		}
	}
	return root, nil
}

// decodeRecord unpacks a stored record and checks its format number. format points to the
// field of record that has it.
func decodeRecord(e granitehoist.Entry, record any, format *int) error {
	*format = 0
	if err := pack.Unpack(e.Value, record); err != nil {
		return eris.Wrapf(err, "budget: decode record %s", e.Key)
	}
	if *format != recordFormat {
		return eris.Errorf("budget: record %s has format %d, want %d", e.Key, *format, recordFormat)
	}
	return nil
}

// encodeRecord returns the stored form of a record, or an error if it is larger than
// granitehoist.MaxValueSize.
func encodeRecord(key string, record any) ([]byte, error) {
	raw, err := pack.Pack(record)
	if err != nil {
		return nil, eris.Wrapf(err, "budget: encode record %s", key)
	}
	if len(raw) > granitehoist.MaxValueSize {
		return nil, eris.Errorf("budget: record %s has %d bytes, more than the store accepts; raise the number of shards", key, len(raw))
	}
	return raw, nil
}

// Shard numbers a group of budgets that share their records.
type Shard int

// shardOf returns the shard of a budget. count is the number of shards, which must be the
// same on all routers.
func shardOf(k granitehoist.BudgetID, count int) Shard {
	return Shard(xxhash.Sum64String(string(k)) % uint64(count))
}

const (
	// regionPrefix is the prefix of the store keys of RegionRecords.
	regionPrefix = "budget/page/"
	// rootPrefix is the prefix of the store keys of RootRecords.
	rootPrefix = "budget/root/"
)

// RegionKey returns the store key of a RegionRecord.
func RegionKey(r granitehoist.Region, s Shard) string {
	return fmt.Sprintf("%s%s/%04d", regionPrefix, r, s)
}

// RootKey returns the store key of a RootRecord.
func RootKey(s Shard) string { return fmt.Sprintf("%s%04d", rootPrefix, s) }

// Stock returns the region's tokens that no incarnation holds.
func (a *RegionAccount) Stock() granitehoist.Tokens {
	stock := a.Received - a.Returned - a.Retired.Granted + a.Retired.Returned
	for _, row := range a.Rows {
		stock -= row.Totals.Granted - row.Totals.Returned
	}
	return stock
}

// Spent returns the total charged in the region, as last reported.
func (a *RegionAccount) Spent() granitehoist.Tokens {
	spent := a.Retired.Spent
	for _, row := range a.Rows {
		spent += row.Totals.Spent
	}
	return spent
}

// Held returns the tokens that the incarnations hold, as last reported.
func (a *RegionAccount) Held() granitehoist.Tokens {
	var held granitehoist.Tokens
	for _, row := range a.Rows {
		held += row.Totals.Held()
	}
	return held
}

// inDoubtAfter is the time after an incarnation's last report from which its tokens are in
// doubt: it may have failed, so the tokens may never be spent or returned. Tokens in doubt
// are left out of the totals by which grants are divided. They stay with the incarnation and
// are granted to nobody else.
const inDoubtAfter = 3 * reportInterval

// InDoubt returns the tokens held by incarnations without a report for inDoubtAfter.
func (r *RegionRecord) InDoubt(k granitehoist.BudgetID, now time.Time) granitehoist.Tokens {
	a, ok := r.Accounts[k]
	if !ok {
		return 0
	}
	var inDoubt granitehoist.Tokens
	for incarnation, row := range a.Rows {
		seen := time.Unix(r.Members[incarnation].LastSeen, 0)
		if now.Sub(seen) > inDoubtAfter {
			inDoubt += row.Totals.Held()
		}
	}
	return inDoubt
}

// Unallocated returns the tokens that no region has. It is negative if the prepaid total
// was reduced below what the regions have.
func (a *RootAccount) Unallocated() granitehoist.Tokens {
	remaining := a.Prepaid
	for _, row := range a.Regions {
		remaining -= row.Granted - row.Returned
	}
	return remaining
}

// sortedKeys returns the keys of a map in ascending order, for deterministic results.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
