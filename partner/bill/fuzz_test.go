// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package bill_test

import (
	"testing"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/partner/bill"
)

// FuzzDecodeSegment guards against records that make DecodeSegment panic or that decode
// to an empty segment.
func FuzzDecodeSegment(f *testing.F) {
	f.Add([]byte("{}"))
	f.Add([]byte{0x28, 0xb5, 0x2f, 0xfd})
	f.Fuzz(func(t *testing.T, value []byte) {
		s, err := bill.DecodeSegment(granitehoist.Entry{Key: "x", Value: value, Version: 1})
		if err == nil && len(s.Charges) == 0 {
			t.Fatal("decoded an empty segment")
		}
	})
}
