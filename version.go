// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package granitehoist

// Version is the era and the revision of a write to the platform's store. Zero means that
// the key does not exist. All keys share one counter, so versions order the writes of all
// keys within an era. A version of a later era is higher, like the zxid of ZooKeeper, but
// says nothing of the content: a store that was restored from an older copy returns older
// values under a later era.
type Version uint64

// Era counts how often the platform's store was restored from an older copy of itself. The
// writes since that copy are lost and their revisions are assigned again.
type Era uint16

const (
	// revisionBits is the number of the lower bits of a Version that hold the revision.
	revisionBits = 48
	maxRevision  = 1<<revisionBits - 1
)

// NewVersion returns the version of a revision in an era. Revisions must be below 1<<48.
func NewVersion(era Era, revision uint64) Version {
	return Version(uint64(era)<<revisionBits | revision&maxRevision)
}

// Era returns the era of the version.
func (v Version) Era() Era { return Era(v >> revisionBits) }

// Revision returns the store's revision within the era.
func (v Version) Revision() uint64 { return uint64(v) & maxRevision }
