// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package escrow

import (
	"encoding/json"
	"reflect"
	"testing"

	"granitehoist.example/granitehoist"
)

// reencode decodes a stored record, changes it, and returns its new stored form.
func reencode(t *testing.T, stored string, change func(*Record)) map[string]any {
	t.Helper()
	record, err := DecodeRecord(granitehoist.Entry{Key: RecordKey, Version: 1, Value: []byte(stored)})
	if err != nil {
		t.Fatal(err)
	}
	change(record)
	raw, err := record.Encode()
	if err != nil {
		t.Fatal(err)
	}
	var object map[string]any
	if err := json.Unmarshal(raw, &object); err != nil {
		t.Fatal(err)
	}
	return object
}

func expectReencoded(t *testing.T, stored, want string, change func(*Record)) {
	t.Helper()
	var object map[string]any
	if err := json.Unmarshal([]byte(want), &object); err != nil {
		t.Fatal(err)
	}
	if got := reencode(t, stored, change); !reflect.DeepEqual(got, object) {
		t.Errorf("%v, not %v", got, object)
	}
}

// TestLaterFieldsSurviveARewrite guards against a router dropping the fields that a
// later version added to the record.
func TestLaterFieldsSurviveARewrite(t *testing.T) {
	const stored = `{"format":1,"later":[1,2],"boxes":{"edge-1":"edge-1-a"},"accounts":{"kiosk":{"big":12345678901234567890,"rows":{"edge-1-a":{"g":500,"new":{"x":true}}}}}}`
	t.Run("unchanged", func(t *testing.T) { expectReencoded(t, stored, stored, func(*Record) {}) })
	t.Run("a grant", func(t *testing.T) {
		want := `{"format":1,"later":[1,2],"boxes":{"edge-1":"edge-1-a"},"accounts":{"kiosk":{"big":12345678901234567890,"rows":{"edge-1-a":{"g":600,"new":{"x":true}}}}}}`
		expectReencoded(t, stored, want, func(r *Record) { r.Accounts["kiosk"].Rows["edge-1-a"] = Row{Granted: 600} })
	})
	t.Run("unknown fields of a deleted row are dropped", func(t *testing.T) {
		want := `{"format":1,"later":[1,2],"boxes":{"edge-1":"edge-1-b"},"accounts":{"kiosk":{"big":12345678901234567890,"f":500,"rows":{"edge-1-b":{"g":0}}}}}`
		expectReencoded(t, stored, want, func(r *Record) { r.RegisterIncarnation("edge-1", "edge-1-b", Machine{}) })
	})
	t.Run("a known field that became zero is not kept", func(t *testing.T) {
		const idle = `{"format":1,"later":0,"boxes":{},"accounts":{"kiosk":{"rows":{"edge-1-a":{"g":500,"i":20}}}}}`
		want := `{"format":1,"later":0,"boxes":{},"accounts":{"kiosk":{"rows":{"edge-1-a":{"g":500}}}}}`
		expectReencoded(t, idle, want, func(r *Record) { r.Accounts["kiosk"].Rows["edge-1-a"] = Row{Granted: 500} })
	})
	t.Run("a shard starts with the unknown fields of the divided record", func(t *testing.T) {
		record, err := DecodeRecord(granitehoist.Entry{Key: RecordKey, Version: 1, Value: []byte(stored)})
		if err != nil {
			t.Fatal(err)
		}
		raw, err := record.forShard(ShardOf("kiosk")).Encode()
		if err != nil {
			t.Fatal(err)
		}
		var object, want map[string]any
		_ = json.Unmarshal(raw, &object)
		_ = json.Unmarshal([]byte(stored), &want)
		if !reflect.DeepEqual(object, want) {
			t.Errorf("%v", object)
		}
	})
}

// BenchmarkDecodeRecord measures the decoding of a record with the rows of 8 routers for
// 40 workspaces.
func BenchmarkDecodeRecord(b *testing.B) {
	record := &Record{Format: recordFormat, Boxes: map[granitehoist.Box]granitehoist.Incarnation{}, Accounts: map[granitehoist.Workspace]*StoredAccount{}}
	for w := range 40 {
		account := &StoredAccount{Rows: map[granitehoist.Incarnation]Row{}}
		for i := range 8 {
			account.Rows[granitehoist.Incarnation("edge-miraflores-"+string(rune('0'+i))+"-aa663eae72e3a3f3b800b39c")] = Row{Granted: 76207, Spent: 12315, Idle: 144253, Rate: 40}
		}
		record.Accounts[granitehoist.Workspace("mino"+string(rune('0'+w)))] = account
	}
	raw, err := record.Encode()
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for range b.N {
		if _, err := DecodeRecord(granitehoist.Entry{Key: RecordKey, Version: 1, Value: raw}); err != nil {
			b.Fatal(err)
		}
	}
}
