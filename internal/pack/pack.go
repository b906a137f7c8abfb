// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

// Package pack encodes values as JSON compressed with zstd, for records in the store and
// messages between routers. Both the edge router (package follow) and the partner router
// (budgets and bills) use it. The format must stay readable by the next release.
//
// The package has one global encoder and one global decoder, both safe for concurrent
// use. Begin reading at Pack.
package pack

import (
	"encoding/json"

	"github.com/klauspost/compress/zstd"
	"github.com/rotisserie/eris"
)

// windowSize is the compression window in bytes. Records are small, and a small window
// saves memory.
const windowSize = 64 << 10

// maxUnpackedBytes limits the decompressed size of a record, so that a malformed record
// can't exhaust memory.
const maxUnpackedBytes = 64 << 20

var (
	encoder = newEncoder()
	decoder = newDecoder()
)

// newEncoder returns the encoder. It panics on an error, since the options are constant.
func newEncoder() *zstd.Encoder {
	e, err := zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithWindowSize(windowSize), zstd.WithLowerEncoderMem(true))
	if err != nil {
		panic("pack: encoder: " + err.Error())
	}
	return e
}

// newDecoder returns the decoder. It panics on an error, since the options are constant.
func newDecoder() *zstd.Decoder {
	d, err := zstd.NewReader(nil, zstd.WithDecoderMaxMemory(maxUnpackedBytes), zstd.WithDecoderConcurrency(0), zstd.WithDecoderLowmem(true))
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
// input and for more than maxUnpackedBytes of JSON; value may then be partly set.
func Unpack(packed []byte, value any) error {
	raw, err := decoder.DecodeAll(packed, nil)
	if err != nil {
		return eris.Wrap(err, "pack: decompress")
	}
	if err := json.Unmarshal(raw, value); err != nil {
		return eris.Wrap(err, "pack: decode JSON")
	}
	return nil
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
