// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package escrow

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"granitehoist.example/granitehoist"
)

// Shard is the part of the workspaces whose tokens one record has in a large fleet.
// It is the unit in which holders are chosen.
type Shard int

// shardCount is the number of shards. With the 14,000 budgets of docs/CAPACITY.md
// a record has 55 of them, some 10 KB; with the 24 or 40 of the users' sites nearly
// each has a record of its own.
const shardCount = 256

// ShardOf returns the shard of a workspace.
func ShardOf(w granitehoist.Workspace) Shard {
	return Shard(xxhash.Sum64String(string(w)) % shardCount)
}

// key returns the store's key of the shard's record.
func (s Shard) key() string { return fmt.Sprintf("%s/%03d", RecordKey, int(s)) }
