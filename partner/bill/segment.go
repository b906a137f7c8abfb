// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package bill

import (
	"context"
	"fmt"

	"github.com/rotisserie/eris"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/internal/pack"
)

// segmentFormat is the format version of stored segments; a segment of another format is
// rejected.
const segmentFormat = 1

// Segment is a stored record of charges. ID is its store key.
type Segment struct {
	Format  int      `json:"format"`
	ID      string   `json:"id"`
	Charges []Charge `json:"charges"`
}

// keyPrefix begins the store keys of segments.
const keyPrefix = "bills/"

// SegmentKey returns the store key of a collector's n-th segment.
func SegmentKey(r granitehoist.Region, collector granitehoist.Incarnation, n uint64) string {
	return fmt.Sprintf("%s%s/%s/%08d", keyPrefix, r, collector, n)
}

// OrphanKey returns the store key of the n-th segment of charges for attempts of a
// crashed incarnation.
func OrphanKey(crashed granitehoist.Incarnation, n int) string {
	return fmt.Sprintf("%sorphans/%s/%04d", keyPrefix, crashed, n)
}

// EncodeSegment encodes charges as a segment with the given key. It panics if charges is
// empty.
func EncodeSegment(id string, charges []Charge) ([]byte, error) {
	if len(charges) == 0 {
		panic("bill: empty segment")
	}
	return pack.Pack(Segment{Format: segmentFormat, ID: id, Charges: charges})
}

// DecodeSegment decodes a stored segment. It returns an error if the record is corrupt, of
// another format or without charges.
func DecodeSegment(e granitehoist.Entry) (Segment, error) {
	var s Segment
	if err := pack.Unpack(e.Value, &s); err != nil {
		return s, eris.Wrapf(err, "bill: segment %s can't be decoded", e.Key)
	}
	if s.Format != segmentFormat || len(s.Charges) == 0 {
		return s, eris.Errorf("bill: segment %s has format %d and %d charges, want format %d and at least 1", e.Key, s.Format, len(s.Charges), segmentFormat)
	}
	return s, nil
}

// Read returns all charges in the store without duplicates. It reads every segment and
// returns an error if one can't be decoded.
func Read(ctx context.Context, s granitehoist.Store) ([]Charge, error) {
	entries, _, err := s.List(ctx, keyPrefix)
	if err != nil {
		return nil, err
	}
	segments := make([]Segment, 0, len(entries))
	for _, e := range entries {
		segment, err := DecodeSegment(e)
		if err != nil {
			return nil, err
		}
		segments = append(segments, segment)
	}
	return Merge(segments), nil
}
