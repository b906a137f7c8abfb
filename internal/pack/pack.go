// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

// Package pack encodes values as JSON compressed with zstd, for records in the store and
// messages between routers. Both the edge router (package follow) and the partner router
// (budgets and bills) use it. The format must stay readable by the next release.
//
// The package has one global encoder, two global decoders and the memory that decompressed
// records share, all safe for concurrent use. Begin reading at Pack.
package pack

import (
	"encoding/json"

	"github.com/klauspost/compress/zstd"
	"github.com/rotisserie/eris"

	"granitehoist.example/granitehoist/internal/readlimit"
)

// windowSize is the compression window in bytes. Records are small, and a small window
// saves memory.
const windowSize = 64 << 10

const (
	// maxUnpackedBytes limits the decompressed size of a record, so that a malformed record
	// can't exhaust memory.
	maxUnpackedBytes = 32 << 20
	// unpackMemory limits the records that are being decompressed together.
	unpackMemory = 2 * maxUnpackedBytes
	// maxUnstatedBytes replaces maxUnpackedBytes for records that don't state their size.
	// The encoder states that of all but the smallest.
	maxUnstatedBytes = 256 << 10
)

var (
	encoder         = newEncoder()
	decoder         = newDecoder(maxUnpackedBytes)
	unstatedDecoder = newDecoder(maxUnstatedBytes)
	memory          = readlimit.NewMemory(unpackMemory)
)

// newEncoder returns the encoder. It panics on an error, since the options are constant.
func newEncoder() *zstd.Encoder {
	e, err := zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithWindowSize(windowSize), zstd.WithLowerEncoderMem(true))
	if err != nil {
		panic("pack: encoder: " + err.Error())
	}
	return e
}

// newDecoder returns a decoder of records with up to maxBytes. It panics on an error, since the options are constant.
func newDecoder(maxBytes uint64) *zstd.Decoder {
	d, err := zstd.NewReader(nil, zstd.WithDecoderMaxMemory(maxBytes), zstd.WithDecoderConcurrency(0), zstd.WithDecoderLowmem(true))
	if err != nil {
		panic("pack: decoder: " + err.Error())
	}
	return d
}

// Pack returns a value as compressed JSON. It returns an error if json.Marshal fails.
// Equal values give equal bytes.
func Pack(value any) ([]byte, error) {
	raw, err := json.Marshal(value)
	if err != nil {
		return nil, eris.Wrap(err, "pack: encode JSON")
	}
	return encoder.EncodeAll(raw, nil), nil
}

// Unpack decodes the result of Pack into value, a pointer. It returns an error for other
// input and for more than maxUnpackedBytes of JSON; value may then be partly set. The error
// wraps a *readlimit.Error if the records that are being unpacked together leave no room.
func Unpack(packed []byte, value any) error {
	reserved := readlimit.Reservation{Memory: memory}
	defer reserved.Release()
	size, stated := unpackedSize(packed)
	if !reserved.Resize(size) {
		return eris.Wrap(&readlimit.Error{Part: readlimit.Message, Bound: readlimit.Shared, Read: size}, "pack: decompress")
	}
	d := decoder
	if !stated {
		d = unstatedDecoder
	}
	raw, err := d.DecodeAll(packed, nil)
	if err != nil {
		return eris.Wrap(err, "pack: decompress")
	}
	if err := json.Unmarshal(raw, value); err != nil {
		return eris.Wrap(err, "pack: decode JSON")
	}
	return nil
}

// unpackedSize returns the decompressed size that packed states, up to the maximum, or
// maxUnstatedBytes and false if it states none. The decoder rejects input that exceeds its
// stated size.
func unpackedSize(packed []byte) (size int64, stated bool) {
	var header zstd.Header
	// Invalid input is rejected by the decoder.
	if err := header.Decode(packed); err != nil || !header.HasFCS {
		return maxUnstatedBytes, false
	}
	return int64(min(header.FrameContentSize, maxUnpackedBytes)), true
}

// Message is a packed value of type T in a message between routers.
type Message[T any] struct {
	Packed []byte `json:"packed"`
}

// NewMessage packs a value. It returns the errors of Pack.
func NewMessage[T any](value T) (Message[T], error) {
	packed, err := Pack(value)
	return Message[T]{Packed: packed}, err
}

// Value unpacks the message. It returns the errors of Unpack, also for the zero Message.
func (m Message[T]) Value() (T, error) {
	var value T
	err := Unpack(m.Packed, &value)
	return value, err
}
