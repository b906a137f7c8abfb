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

// segmentFormat is the format number of stored segments. A reader refuses all
// others.
const segmentFormat = 1

// Segment is a record of charges in the store.
type Segment struct {
	Format  int      `json:"format"`
	ID      string   `json:"id"`
	Charges []Charge `json:"charges"`
}

// keyPrefix begins the store's keys of segments.
const keyPrefix = "bills/"

// SegmentKey returns the store's key of a collector's n-th segment.
func SegmentKey(r granitehoist.Region, collector granitehoist.Incarnation, n uint64) string {
	return fmt.Sprintf("%s%s/%s/%08d", keyPrefix, r, collector, n)
}

// OrphanKey returns the store's key of the n-th segment of a dead incarnation's
// orphans.
func OrphanKey(dead granitehoist.Incarnation, n int) string {
	return fmt.Sprintf("%sorphans/%s/%04d", keyPrefix, dead, n)
}

// EncodeSegment returns the stored form of charges. It panics if there are
// none.
func EncodeSegment(id string, charges []Charge) ([]byte, error) {
	if len(charges) == 0 {
		panic("bill: empty segment")
	}
	return pack.Pack(Segment{Format: segmentFormat, ID: id, Charges: charges})
}

// DecodeSegment reads a stored segment. A record that can't be read, or that has
// no charges, is an error and never an empty segment.
func DecodeSegment(e granitehoist.Entry) (Segment, error) {
	var s Segment
	if err := pack.Unpack(e.Value, &s); err != nil {
		return s, eris.Wrapf(err, "bill: segment %s can't be read", e.Key)
	}
	if s.Format != segmentFormat || len(s.Charges) == 0 {
		return s, eris.Errorf("bill: segment %s has format %d and %d charges", e.Key, s.Format, len(s.Charges))
	}
	return s, nil
}

// Read returns all charges in the store, each once. It reads every segment there
// is; one that can't be read is an error.
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
