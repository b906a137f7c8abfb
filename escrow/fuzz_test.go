// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package escrow_test

import (
	"testing"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/escrow"
)

// FuzzRecord guards against stored values that make a router panic or that decode to a
// record which can't be encoded.
func FuzzRecord(f *testing.F) {
	f.Add([]byte(`{"format":1,"boxes":{"edge-1":"edge-1-a"},"accounts":{"kiosk":{"f":7,"rows":{"edge-1-a":{"g":500,"r":20,"s":300,"i":180,"v":40}}}}}`))
	f.Add([]byte(`{"format":2,"shards":256,"boxes":{},"accounts":{}}`))
	f.Add([]byte(`{"format":1,"boxes":{"edge-2":"edge-2-old"},"accounts":{"kiosk":null}}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		record, err := escrow.DecodeRecord(granitehoist.Entry{Key: escrow.RecordKey, Version: 1, Value: raw})
		if err != nil {
			return
		}
		record.RegisterIncarnation("edge-2", "edge-2-a", escrow.Machine{})
		if _, err := record.Encode(); err != nil {
			t.Fatal(err)
		}
	})
}
