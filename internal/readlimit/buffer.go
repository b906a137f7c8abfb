// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package readlimit

import (
	"errors"
	"io"
)

// Buffer collects a part that is kept until it is complete. Its memory grows with what has
// arrived, whatever length the peer announces. The zero value has room for no byte; Part and
// MaxBytes are required. Release must be called when the bytes are no longer used. A Buffer
// is not safe for concurrent use.
type Buffer struct {
	Part Part
	// MaxBytes is the maximum size of the part.
	MaxBytes int64
	// Memory is shared with other reads; nil has no limit.
	Memory *Memory

	reservation Reservation
	bytes       []byte
}

// minBufferBytes is the initial size of a Buffer.
const minBufferBytes = 4 << 10

// ReadAll reads r until io.EOF. expected is the length that the peer announced, negative if
// it announced none; it only avoids growth. The error is an *Error if the part exceeds a
// bound, and that of r otherwise. The result is valid until Release.
func (b *Buffer) ReadAll(r io.Reader, expected int64) ([]byte, error) {
	for {
		if len(b.bytes) == cap(b.bytes) {
			if err := b.grow(expected); err != nil {
				return nil, err
			}
		}
		n, err := r.Read(b.bytes[len(b.bytes):cap(b.bytes)])
		b.bytes = b.bytes[:len(b.bytes)+n]
		switch {
		case int64(len(b.bytes)) > b.MaxBytes:
			return nil, b.exceeds(Bytes)
		case errors.Is(err, io.EOF):
			return b.bytes, nil
		case err != nil:
			return nil, err
		}
	}
}

// grow doubles the capacity, up to the announced length and the maximum. Each has one more
// byte, with which a reader reports the end.
func (b *Buffer) grow(expected int64) error {
	size := max(minBufferBytes, 2*int64(cap(b.bytes)))
	if expected >= int64(len(b.bytes)) && expected < size {
		size = expected + 1
	}
	if size >= b.MaxBytes {
		size = b.MaxBytes + 1
	}
	// While the bytes are copied both arrays exist.
	if !b.reserve(size + int64(cap(b.bytes))) {
		return b.exceeds(Shared)
	}
	grown := make([]byte, len(b.bytes), size)
	copy(grown, b.bytes)
	b.bytes = grown
	b.reserve(size)
	return nil
}

// reserve changes the reserved bytes and reports whether it may.
func (b *Buffer) reserve(size int64) bool {
	b.reservation.Memory = b.Memory
	return b.reservation.Resize(size)
}

// exceeds returns the error for a bound that the part exceeds.
func (b *Buffer) exceeds(bound Bound) error {
	return &Error{Part: b.Part, Bound: bound, Read: int64(len(b.bytes))}
}

// Release frees the bytes.
func (b *Buffer) Release() {
	b.bytes = nil
	b.reservation.Release()
}
