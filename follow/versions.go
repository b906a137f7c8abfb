// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package follow

import "granitehoist.example/granitehoist"

// entryAction is what a copy does with an entry of an update.
type entryAction int

const (
	// ignoreEntry means that the entry is outdated.
	ignoreEntry entryAction = iota
	// storeEntry means that the entry replaces the held one.
	storeEntry
	// deleteEntry means that the key was deleted after the held entry was written.
	deleteEntry
)

// classifyEntry returns the action for an entry. held is the entry that the copy holds under
// the same key, or the zero Entry, and at is the copy's version.
//
// An entry must be newer than the held one. An entry of an incremental update must also be
// newer than the copy, so that a change that arrives late does not restore a deleted key. An
// entry of a complete update may be older than the copy: isOutdated has checked the update.
func classifyEntry(held, entry granitehoist.Entry, complete bool, at granitehoist.Version) entryAction {
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

// isOutdated reports whether a copy rejects an update entirely. A complete update older than
// the copy is rejected, since it lacks the later writes and deletions. populated says whether
// there is a copy, and at is the copy's version.
func isOutdated(update Update, populated bool, at granitehoist.Version) bool {
	return update.Complete && populated && update.Version < at
}

// isMissing reports whether a complete update implies the deletion of a held entry. present
// says whether the update has the key. A held entry newer than the update is not
// deleted.
func isMissing(held granitehoist.Entry, present bool, updateAt granitehoist.Version) bool {
	return !present && held.Version <= updateAt
}

// offersNewer reports whether a neighbour's update for a prefix is newer than a copy of
// version at. Its age is ignored, since any newer version is better while the store fails.
func offersNewer(update Update, prefix string, at granitehoist.Version) bool {
	return update.HasCopy && update.Prefix == prefix && update.Version > at
}
