// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

// Package pack turns values into compressed JSON and back, for records in the
// store and for messages between routers.
package pack

import (
	"encoding/json"

	"github.com/klauspost/compress/zstd"
	"github.com/rotisserie/eris"
)

// windowSize is how far back the compression looks. Records are small, and a
// small window costs little to begin with.
const windowSize = 64 << 10

// maxUnpacked bounds what a packed record may grow to.
const maxUnpacked = 64 << 20

var (
	encoder = newEncoder()
	decoder = newDecoder()
)

func newEncoder() *zstd.Encoder {
	e, err := zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithWindowSize(windowSize), zstd.WithLowerEncoderMem(true))
	if err != nil {
		panic("pack: encoder: " + err.Error())
	}
	return e
}

func newDecoder() *zstd.Decoder {
	d, err := zstd.NewReader(nil, zstd.WithDecoderMaxMemory(maxUnpacked), zstd.WithDecoderConcurrency(0), zstd.WithDecoderLowmem(true))
	if err != nil {
		panic("pack: decoder: " + err.Error())
	}
	return d
}

// Pack returns a value as compressed JSON.
func Pack(value any) ([]byte, error) {
	raw, err := json.Marshal(value)
	if err != nil {
		return nil, eris.Wrap(err, "pack: can't be encoded")
	}
	return encoder.EncodeAll(raw, nil), nil
}

// Unpack reads what Pack made. Anything else is an error.
func Unpack(packed []byte, value any) error {
	raw, err := decoder.DecodeAll(packed, nil)
	if err != nil {
		return eris.Wrap(err, "pack: can't be decompressed")
	}
	if err := json.Unmarshal(raw, value); err != nil {
		return eris.Wrap(err, "pack: can't be decoded")
	}
	return nil
}

// Message is a value of type T as it is sent between routers.
type Message[T any] struct {
	Packed []byte `json:"packed"`
}

// NewMessage packs a value.
func NewMessage[T any](value T) (Message[T], error) {
	packed, err := Pack(value)
	return Message[T]{Packed: packed}, err
}

// Value reads the message.
func (m Message[T]) Value() (T, error) {
	var value T
	err := Unpack(m.Packed, &value)
	return value, err
}
