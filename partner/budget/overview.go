// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package budget

import (
	"context"
	"strings"
	"time"

	"granitehoist.example/granitehoist"
)

// Overview tells where the tokens of one budget are, according to the store.
type Overview struct {
	Budget      granitehoist.BudgetID                       `json:"budget"`
	Prepaid     granitehoist.Tokens                         `json:"prepaid"`
	Unallocated granitehoist.Tokens                         `json:"unallocated"`
	Stock       map[granitehoist.Region]granitehoist.Tokens `json:"stock"`
	Held        map[granitehoist.Region]granitehoist.Tokens `json:"held"`
	InDoubt     granitehoist.Tokens                         `json:"in_doubt"`
	Charged     granitehoist.Tokens                         `json:"charged"`
	// InTransit is the number of tokens that were sent between the root and the regions, in
	// either direction, and have not been received yet.
	InTransit granitehoist.Tokens `json:"on_the_way"`
}

// States is a snapshot of the records of all budgets. It is immutable.
type States struct {
	shards        int
	now           time.Time
	rootRecords   map[Shard]*RootRecord
	regionRecords map[Shard]map[granitehoist.Region]*RegionRecord
}

// ReadStates reads all records from the store. It ignores the records of shards beyond the
// count, which a larger count in the past may have left.
func ReadStates(ctx context.Context, s granitehoist.Store, shards int, now time.Time) (*States, error) {
	states := &States{shards: shards, now: now, rootRecords: map[Shard]*RootRecord{}, regionRecords: map[Shard]map[granitehoist.Region]*RegionRecord{}}
	for shard := range Shard(shards) {
		entry, err := s.Get(ctx, RootKey(shard))
		if err != nil {
			return nil, err
		}
		if states.rootRecords[shard], err = DecodeRootRecord(entry); err != nil {
			return nil, err
		}
		states.regionRecords[shard] = map[granitehoist.Region]*RegionRecord{}
	}
	entries, _, err := s.List(ctx, regionPrefix)
	if err != nil {
		return nil, err
	}
	for _, e := range entries {
		record, err := DecodeRegionRecord(e)
		if err != nil {
			return nil, err
		}
		region, _, _ := strings.Cut(strings.TrimPrefix(e.Key, regionPrefix), "/")
		for shard := range Shard(shards) {
			if e.Key == RegionKey(granitehoist.Region(region), shard) {
				states.regionRecords[shard][granitehoist.Region(region)] = record
			}
		}
	}
	return states, nil
}

// Of returns the overviews of budgets. It calls prepaid for the prepaid total of a budget
// without a root account.
func (s *States) Of(ids []granitehoist.BudgetID, prepaid func(granitehoist.BudgetID) (granitehoist.Tokens, granitehoist.Serial, bool)) []Overview {
	overviews := make([]Overview, len(ids))
	for i, k := range ids {
		overviews[i] = s.overview(k)
		if s.rootRecords[shardOf(k, s.shards)].Accounts[k] == nil {
			// The total of a budget that the configuration does not contain is zero.
			tokens, _, _ := prepaid(k)
			overviews[i].Prepaid, overviews[i].Unallocated = tokens, tokens
		}
	}
	return overviews
}

// overview sums up one budget. The records were read one after the other, so the sums may
// be off by what moved in between.
func (s *States) overview(k granitehoist.BudgetID) Overview {
	o := Overview{Budget: k, Stock: map[granitehoist.Region]granitehoist.Tokens{}, Held: map[granitehoist.Region]granitehoist.Tokens{}}
	shard := shardOf(k, s.shards)
	root := s.rootRecords[shard].Accounts[k]
	if root != nil {
		o.Prepaid, o.Unallocated = root.Prepaid, root.Unallocated()
		for _, row := range root.Regions {
			o.InTransit += row.Granted - row.Returned
		}
	}
	for region, record := range s.regionRecords[shard] {
		a := record.Accounts[k]
		if a == nil {
			continue
		}
		o.InTransit -= a.Received - a.Returned
		o.Stock[region] = a.Stock()
		o.Held[region] = a.Held()
		o.Charged += a.Spent()
		o.InDoubt += record.InDoubt(k, s.now)
	}
	return o
}
