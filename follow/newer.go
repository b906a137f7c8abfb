// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package follow

import "granitehoist.example/granitehoist"

// entryVerdict is what a copy does with one entry of an update.
type entryVerdict int

const (
	// ignoreEntry says that the entry is not newer than the copy.
	ignoreEntry entryVerdict = iota
	// storeEntry says that the entry replaces what the copy holds under its key.
	storeEntry
	// deleteEntry says that the key was deleted after what the copy holds.
	deleteEntry
)

// judgeEntry decides whether an entry is newer than what a copy holds under the
// same key. held is the zero Entry if the copy holds nothing, and at is the
// copy's version.
//
// The store's versions alone decide, since they come from one counter; the times
// at which entries arrive say nothing, because relays and neighbours answer with
// copies of different ages. A copy no longer holds a deleted key and so can't
// compare its version. So an entry of an incomplete update must also be newer
// than the copy: otherwise a late change would bring a deleted key back. A
// complete update that is older than the copy has been refused before (see
// isOutdated), so its entries need not be compared with at.
func judgeEntry(held, entry granitehoist.Entry, complete bool, at granitehoist.Version) entryVerdict {
	switch {
	case entry.Version <= held.Version:
		return ignoreEntry
	case !complete && entry.Version <= at:
		return ignoreEntry
	case entry.Deleted:
		return deleteEntry
	}
	return storeEntry
}

// isOutdated decides whether a copy refuses an update entirely. A complete update that is older than the copy says nothing about keys that were written or
// deleted since, so no part of it can be taken. filled says whether the copy has
// been read at all, and at is its version.
func isOutdated(update Update, filled bool, at granitehoist.Version) bool {
	return update.Complete && filled && update.At < at
}

// isMissing decides whether a complete update says that a key which a copy holds
// was deleted. present says whether the update has the key. A key that was
// written after the update's version is not deleted.
func isMissing(held granitehoist.Entry, present bool, updateAt granitehoist.Version) bool {
	return !present && held.Version <= updateAt
}

// offersNewer decides whether a neighbour's answer about a prefix is newer than a
// copy of version at. The age of the answer does not matter: while the store
// fails, any newer version is better than the present one.
func offersNewer(update Update, prefix string, at granitehoist.Version) bool {
	return update.HasCopy && update.Prefix == prefix && update.At > at
}
