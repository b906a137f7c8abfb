// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package follow

import (
	"bytes"

	"granitehoist.example/granitehoist"
)

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
// the same key, or the zero Entry, and at is the copy's version. entryHistory.isOlder has
// compared entries of different eras.
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
// the copy is rejected, since it lacks the later writes and deletions. An incremental update
// of another era is rejected, since it lacks what was restored. populated says whether there
// is a copy, and at is the copy's version.
func isOutdated(update Update, populated bool, at granitehoist.Version) bool {
	if !populated {
		return false
	}
	if update.Complete {
		return update.Version < at
	}
	return update.Version.Era() != at.Era()
}

// isMissing reports whether a complete update implies the deletion of a held entry. present
// says whether the update has the key. A held entry newer than the update is not
// deleted.
func isMissing(held granitehoist.Entry, present bool, updateAt granitehoist.Version) bool {
	return !present && held.Version <= updateAt
}

// entryHistory is what a copy has held under one key.
type entryHistory struct {
	// held is the present entry; present says whether there is one.
	held    granitehoist.Entry
	present bool
	// previous is the entry that held or the deletion replaced; the zero Entry if unknown.
	previous granitehoist.Entry
	// deletedAt is the version of the deletion while present is false, zero if the copy
	// never had the key.
	deletedAt granitehoist.Version
}

// contentOrder compares two entries of one key by their content.
type contentOrder struct {
	// compare returns a negative number if the content of a is older than that of b, a
	// positive one if it is newer, and zero if the contents don't tell.
	compare func(a, b granitehoist.Entry) int
	// equivalent is Settings.Equivalent.
	equivalent func(before, after granitehoist.Entry) bool
}

// isSame reports whether two entries have the same meaning.
func (o contentOrder) isSame(a, b granitehoist.Entry) bool {
	return a.Version != 0 && b.Version != 0 && (bytes.Equal(a.Value, b.Value) || o.equivalent(a, b))
}

// isOlder reports whether an entry of another era than the copy's is older than what the
// copy has held, so that it must not replace it. A store that was restored returns older
// entries under later versions until their writers write them again. complete says that the
// entry belongs to a complete update: it may have been written before the restoration.
func (h entryHistory) isOlder(e granitehoist.Entry, complete bool, order contentOrder) bool {
	switch {
	case e.Deleted:
		return false
	case h.present:
		return h.isOlderThanHeld(e, complete, order)
	case h.deletedAt == 0 || h.deletedAt.Era() == e.Version.Era() || !complete:
		return false
	}
	compared := order.compare(h.previous, e)
	return compared > 0 || (compared == 0 && order.isSame(h.previous, e))
}

// isOlderThanHeld implements isOlder for a key that the copy holds.
func (h entryHistory) isOlderThanHeld(e granitehoist.Entry, complete bool, order contentOrder) bool {
	if h.held.Version.Era() == e.Version.Era() {
		return false
	}
	if compared := order.compare(h.held, e); compared != 0 {
		return compared > 0
	}
	if e.Version < h.held.Version {
		return true
	}
	return complete && !order.isSame(h.held, e) && order.isSame(h.previous, e)
}

// offersNewer reports whether a neighbour's update for a prefix is newer than a copy of
// version at. Its age is ignored, since any newer version is better while the store fails.
func offersNewer(update Update, prefix string, at granitehoist.Version) bool {
	return update.HasCopy && update.Prefix == prefix && update.Version > at
}
