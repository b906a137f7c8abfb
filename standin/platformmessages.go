// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package standin

import (
	"slices"
	"strconv"

	"granitehoist.example/granitehoist"
)

// The messages of the protocol of the platform's store.
type (
	platformItem struct {
		PrivateKey  string `json:"privateKey"`
		Data        []byte `json:"data,omitempty"`
		ModRevision uint64 `json:"modRevision"`
		Gone        bool   `json:"gone,omitempty"`
		At          uint64 `json:"at,omitempty"`
		Lease       uint64 `json:"lease,omitempty"`
	}
	platformRange struct {
		Entries []platformItem `json:"entries"`
		More    bool           `json:"more"`
		At      uint64         `json:"at"`
	}
	platformEvents struct {
		Events []platformItem `json:"events"`
		At     uint64         `json:"at"`
	}
	platformTransaction struct {
		ExpectedRevision []platformItem `json:"expectedRevision"`
		Put              []platformItem `json:"put"`
		Delete           []string       `json:"delete"`
	}
	platformLease struct {
		Lease uint64 `json:"lease,omitempty"`
		TTLMs int64  `json:"ttl_ms"`
	}
	transactionResult struct {
		ModRevision uint64         `json:"modRevision,omitempty"`
		Entries     []platformItem `json:"entries,omitempty"`
	}
)

func (p *PlatformStore) newItem(e granitehoist.Entry) platformItem {
	if p.Rewrite != nil && !e.Deleted {
		e.Value = p.Rewrite(e.Key, e.Value)
	}
	return platformItem{PrivateKey: e.Key, Data: e.Value, ModRevision: e.Version.Revision(), Gone: e.Deleted}
}

func (p *PlatformStore) newItems(entries []granitehoist.Entry) []platformItem {
	items := make([]platformItem, 0, len(entries))
	for _, e := range entries {
		items = append(items, p.newItem(e))
	}
	return items
}

// changes converts a transaction to one change for each of its preconditions. The revisions
// count as those of the given era, since the protocol does not say which era a caller means.
func (t platformTransaction) changes(era granitehoist.Era) []granitehoist.Change {
	var changes []granitehoist.Change
	for _, expected := range t.ExpectedRevision {
		c := granitehoist.Change{
			Key:    expected.PrivateKey,
			Expect: expectedVersion(era, expected.ModRevision),
			Delete: slices.Contains(t.Delete, expected.PrivateKey),
		}
		for _, put := range t.Put {
			if put.PrivateKey == c.Key {
				c.Value, c.Lease = put.Data, put.lease()
			}
		}
		changes = append(changes, c)
	}
	return changes
}

// expectedVersion returns the version that a precondition requires, zero for a missing key.
func expectedVersion(era granitehoist.Era, revision uint64) granitehoist.Version {
	if revision == 0 {
		return 0
	}
	return granitehoist.NewVersion(era, revision)
}

// lease returns the lease id of an item, or "" if it has none.
func (i platformItem) lease() granitehoist.LeaseID {
	if i.Lease == 0 {
		return ""
	}
	return granitehoist.LeaseID(strconv.FormatUint(i.Lease, 10))
}
