// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package exchange

import (
	"hash/maphash"
	"slices"
)

// maxExchanges is the number of requests that one connection carries at most. It bounds the
// size of a history.
const maxExchanges = 128

// historySeed is the seed of the hashes in all histories.
var historySeed = maphash.MakeSeed()

// history holds hashes of the ids of the requests that a connection has carried. An upstream
// may send any of their responses once more, so that the id of a further response identifies
// its request only if the history lacks it. The zero value is empty.
type history struct{ ids []uint64 }

// add adds the id of a request.
func (h *history) add(id string) { h.ids = append(h.ids, maphash.String(historySeed, id)) }

// mayCarry reports whether the response to a request with this id can be told from those to
// the requests before. That is never so for an empty id, which other responses may lack too.
func (h *history) mayCarry(id string) bool {
	if len(h.ids) == 0 {
		return true
	}
	return id != "" && !slices.Contains(h.ids, maphash.String(historySeed, id))
}

// isFull reports whether the connection has carried maxExchanges requests.
func (h *history) isFull() bool { return len(h.ids) >= maxExchanges }
