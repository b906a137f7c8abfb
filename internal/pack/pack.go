// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

// Package pack turns values into compressed JSON (zstd) and back, for records in the
// store and for messages between routers. Both the edge router (package follow) and
// the partner router (budgets and bills) use it; what one release packs the next
// must read.
//
// The package owns one encoder and one decoder, made at the start of the process and
// safe for concurrent use. Begin reading at Pack.
package pack

import (
	"encoding/json"

	"github.com/klauspost/compress/zstd"
	"github.com/rotisserie/eris"
)

// windowSize is how far back the compression looks, in bytes. Records are small, and a
// small window costs little memory.
const windowSize = 64 << 10

// maxUnpacked bounds the bytes that a packed record may grow to, so that a bad one can't
// fill the memory.
const maxUnpacked = 64 << 20

var (
	encoder = newEncoder()
	decoder = newDecoder()
)

// newEncoder returns the encoder. Its settings are constants, so an error is one of
// the program.
func newEncoder() *zstd.Encoder {
	e, err := zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithWindowSize(windowSize), zstd.WithLowerEncoderMem(true))
	if err != nil {
		panic("pack: encoder: " + err.Error())
	}
	return e
}

// newDecoder returns the decoder. Its settings are constants, so an error is one of
// the program.
func newDecoder() *zstd.Decoder {
	d, err := zstd.NewReader(nil, zstd.WithDecoderMaxMemory(maxUnpacked), zstd.WithDecoderConcurrency(0), zstd.WithDecoderLowmem(true))
	if err != nil {
		panic("pack: decoder: " + err.Error())
	}
	return d
}

// Pack returns a value as compressed JSON. It returns an error if the value has no
// JSON form. The same value gives the same bytes.
func Pack(value any) ([]byte, error) {
	raw, err := json.Marshal(value)
	if err != nil {
		return nil, eris.Wrap(err, "pack: can't be encoded")
	}
	return encoder.EncodeAll(raw, nil), nil
}

// Unpack decodes what Pack returned into value, a pointer. It returns an error for
// anything else and for more than maxUnpacked bytes of JSON; value may then hold a
// part of it.
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

// Message is a value of type T as routers send it to each other.
type Message[T any] struct {
	Packed []byte `json:"packed"`
}

// NewMessage packs a value. It returns the errors of Pack.
func NewMessage[T any](value T) (Message[T], error) {
	packed, err := Pack(value)
	return Message[T]{Packed: packed}, err
}

// Value unpacks the message. It returns the errors of Unpack; the zero message is
// one.
func (m Message[T]) Value() (T, error) {
	var value T
	err := Unpack(m.Packed, &value)
	return value, err
}
