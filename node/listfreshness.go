// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package node

import "time"

// listFreshFor is the age up to which a relay passes its list of nodes on as
// that of the store. Two intervals: a relay that reads the list each
// listInterval still vouches for it after one read that failed. Chosen, not
// measured.
const listFreshFor = 2 * listInterval

// vouchesForList decides whether a node may tell others that its entries are
// as the store had them a short while ago, so that they needn't read the store
// themselves. It may if it is a relay, which reads the list from the store each
// listInterval, and if its last list is not older than listFreshFor. Nodes
// behind relays don't vouch: their list is a relay's and would grow older with
// each step.
func vouchesForList(isRelay bool, listedAt, now time.Time) bool {
	return isRelay && now.Sub(listedAt) <= listFreshFor
}
