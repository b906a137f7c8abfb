// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package follow

import (
	"time"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/internal/pack"
)

// compressThreshold is the total size of the values, in bytes, from which an update is
// compressed.
const compressThreshold = 8 << 10

// PackedUpdate is the wire form of an Update. Its entries are compressed if they are large
// in total. Routers of older versions know revisions and no eras, so that the two are
// separate. The JSON names stay for compatibility.
type PackedUpdate struct {
	Prefix   string           `json:"prefix"`
	HasCopy  bool             `json:"known"`
	Revision uint64           `json:"at"`
	Era      granitehoist.Era `json:"era,omitempty"`
	Complete bool             `json:"whole,omitempty"`
	Entries  []PackedEntry    `json:"entries,omitempty"`
	// Age is in nanoseconds.
	Age time.Duration `json:"age"`
	// Compressed holds the compressed entries; Entries is empty then.
	Compressed []byte `json:"compressed,omitempty"`
}

// PackedEntry is the wire form of a granitehoist.Entry.
type PackedEntry struct {
	Key      string           `json:"key"`
	Value    []byte           `json:"value,omitempty"`
	Revision uint64           `json:"version"`
	Era      granitehoist.Era `json:"era,omitempty"`
	Deleted  bool             `json:"deleted,omitempty"`
}

// Pack returns the wire form of an update. It returns an error if the entries cannot be
// encoded.
func Pack(u Update) (PackedUpdate, error) {
	packed := PackedUpdate{
		Prefix: u.Prefix, HasCopy: u.HasCopy, Revision: u.Version.Revision(), Era: u.Version.Era(),
		Complete: u.Complete, Age: u.Age,
	}
	size := 0
	var entries []PackedEntry
	for _, e := range u.Entries {
		size += len(e.Value)
		entries = append(entries, PackedEntry{Key: e.Key, Value: e.Value, Revision: e.Version.Revision(), Era: e.Version.Era(), Deleted: e.Deleted})
	}
	if size < compressThreshold {
		packed.Entries = entries
		return packed, nil
	}
	compressed, err := pack.Pack(entries)
	if err != nil {
		return PackedUpdate{}, err
	}
	packed.Compressed = compressed
	return packed, nil
}

// Unpack returns the update. It returns an error if the compressed entries are invalid.
func (p PackedUpdate) Unpack() (Update, error) {
	u := Update{Prefix: p.Prefix, HasCopy: p.HasCopy, Version: granitehoist.NewVersion(p.Era, p.Revision), Complete: p.Complete, Age: p.Age}
	entries := p.Entries
	if len(p.Compressed) > 0 {
		if err := pack.Unpack(p.Compressed, &entries); err != nil {
			return Update{}, err
		}
	}
	for _, e := range entries {
		u.Entries = append(u.Entries, granitehoist.Entry{Key: e.Key, Value: e.Value, Version: granitehoist.NewVersion(e.Era, e.Revision), Deleted: e.Deleted})
	}
	return u, nil
}
