// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package origin

import (
	"crypto/sha256"
	"slices"

	"github.com/rotisserie/eris"
)

// FingerprintBytes is the length of a Fingerprint.
const FingerprintBytes = 12

// Fingerprint identifies a stream in a Segment. It is long enough that callers can't choose
// the id of a request so that its stream is taken for another one.
type Fingerprint [FingerprintBytes]byte

// FingerprintOf returns the fingerprint of a stream.
func FingerprintOf(s Stream) Fingerprint {
	sum := sha256.Sum256([]byte(string(s.Workspace) + "\x00" + string(s.Request)))
	return Fingerprint(sum[:FingerprintBytes])
}

// Segment holds records in the compact form in which routers write them to the store: the
// streams that began at each origin. The zero value is empty.
type Segment struct {
	Groups []SegmentGroup `json:"groups"`
	// KeepMS is how long the records are needed, in milliseconds: the longest of them.
	KeepMS int64 `json:"keep_ms"`
}

// SegmentGroup holds the streams of a Segment that began at one origin.
type SegmentGroup struct {
	Origin
	// Streams holds the fingerprints one after the other.
	Streams []byte `json:"streams"`
}

// Add adds a record.
func (s *Segment) Add(r Record) {
	s.add(r.Origin, FingerprintOf(r.Stream))
	s.KeepMS = max(s.KeepMS, r.KeepMS)
}

func (s *Segment) add(o Origin, f Fingerprint) {
	i := slices.IndexFunc(s.Groups, func(g SegmentGroup) bool { return g.Origin == o })
	if i < 0 {
		i = len(s.Groups)
		s.Groups = append(s.Groups, SegmentGroup{Origin: o})
	}
	s.Groups[i].Streams = append(s.Groups[i].Streams, f[:]...)
}

// Merge adds the records of another segment. It returns an error for one that is malformed,
// of which nothing is added.
func (s *Segment) Merge(other Segment) error {
	if err := other.check(); err != nil {
		return err
	}
	for _, g := range other.Groups {
		for f := range slices.Chunk(g.Streams, FingerprintBytes) {
			s.add(g.Origin, Fingerprint(f))
		}
	}
	s.KeepMS = max(s.KeepMS, other.KeepMS)
	return nil
}

// Split divides the records by the slot of their streams. slots is a power of two, at most
// 256.
func (s *Segment) Split(slots int) map[Slot]Segment {
	split := map[Slot]Segment{}
	for _, g := range s.Groups {
		for raw := range slices.Chunk(g.Streams, FingerprintBytes) {
			f := Fingerprint(raw)
			part := split[f.Slot(slots)]
			part.add(g.Origin, f)
			part.KeepMS = s.KeepMS
			split[f.Slot(slots)] = part
		}
	}
	return split
}

// Len returns the number of records.
func (s *Segment) Len() int {
	n := 0
	for _, g := range s.Groups {
		n += len(g.Streams) / FingerprintBytes
	}
	return n
}

// errMalformed is the error of a segment whose fingerprints are incomplete.
var errMalformed = eris.New("origin: a segment holds a part of a fingerprint")

func (s *Segment) check() error {
	for _, g := range s.Groups {
		if len(g.Streams)%FingerprintBytes != 0 {
			return errMalformed
		}
	}
	return nil
}

// Slot is a part of the fingerprints, from zero on.
type Slot int

// Slot returns the slot of a fingerprint among a number of slots, a power of two, at most 256.
func (f Fingerprint) Slot(slots int) Slot { return Slot(int(f[0]) & (slots - 1)) }
