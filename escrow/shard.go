// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package escrow

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"granitehoist.example/granitehoist"
)

// Shard is a part of the workspaces whose tokens share a record in a large fleet.
// Holders are chosen by shard.
type Shard int

// shardCount is the number of shards. It is large enough that the record of a shard stays
// small when there are many thousand workspaces. With 14,000 workspaces a record has 55 of
// them and about 10 KB.
const shardCount = 256

// ShardOf returns the shard of a workspace.
func ShardOf(w granitehoist.Workspace) Shard {
	return Shard(xxhash.Sum64String(string(w)) % shardCount)
}

// key returns the store's key of the shard's record.
func (s Shard) key() string { return fmt.Sprintf("%s/%03d", RecordKey, int(s)) }
