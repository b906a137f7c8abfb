// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package budget_test

import (
	"encoding/json"
	"testing"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/internal/pack"
	"granitehoist.example/granitehoist/partner/budget"
)

// FuzzDecode guards against panics and against accepting records that are invalid or of
// an unknown format.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"format":1,"members":{},"accounts":{"a":{"in":5,"rows":{"b":{"t":{"g":3}}}}}}`))
	f.Add([]byte(`{"format":1,"accounts":{"a":{"prepaid":5,"regions":{"r":{"g":3}}}}}`))
	f.Add([]byte(`{}`))
	f.Fuzz(func(t *testing.T, value []byte) {
		if packed, err := pack.Pack(json.RawMessage(value)); err == nil {
			value = packed
		}
		e := granitehoist.Entry{Key: "x", Value: value, Version: 1}
		if record, err := budget.DecodeRegionRecord(e); err == nil {
			for id, a := range record.Accounts {
				if a.Stock() < 0 {
					t.Fatalf("account %s granted more than it received", id)
				}
			}
		}
		if root, err := budget.DecodeRootRecord(e); err == nil && root.Format != 1 {
			t.Fatalf("format %d was read", root.Format)
		}
	})
}
