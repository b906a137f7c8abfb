// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package standin

import (
	"strconv"

	"granitehoist.example/granitehoist"
)

// The messages of the users' protocol.
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
	platformWritten struct {
		ModRevision uint64         `json:"modRevision,omitempty"`
		Entries     []platformItem `json:"entries,omitempty"`
	}
)

func itemOf(e granitehoist.Entry) platformItem {
	return platformItem{PrivateKey: e.Key, Data: e.Value, ModRevision: uint64(e.Version), Gone: e.Deleted}
}

func itemsOf(entries []granitehoist.Entry) []platformItem {
	items := make([]platformItem, 0, len(entries))
	for _, e := range entries {
		items = append(items, itemOf(e))
	}
	return items
}

// change returns the change of a transaction of one key.
func (t platformTransaction) change() granitehoist.Change {
	expected := t.ExpectedRevision[0]
	c := granitehoist.Change{
		Key:    expected.PrivateKey,
		Expect: granitehoist.Version(expected.ModRevision),
		Delete: len(t.Delete) > 0,
	}
	if len(t.Put) == 0 {
		return c
	}
	c.Value = t.Put[0].Data
	if lease := t.Put[0].Lease; lease != 0 {
		c.Lease = granitehoist.LeaseID(strconv.FormatUint(lease, 10))
	}
	return c
}
