// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package escrow

import (
	"encoding/json"
	"reflect"
	"testing"

	"granitehoist.example/granitehoist"
)

// rewritten decodes a stored record, changes it, and returns its new stored form.
func rewritten(t *testing.T, stored string, change func(*Record)) map[string]any {
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

func expectRewritten(t *testing.T, stored, want string, change func(*Record)) {
	t.Helper()
	var object map[string]any
	if err := json.Unmarshal([]byte(want), &object); err != nil {
		t.Fatal(err)
	}
	if got := rewritten(t, stored, change); !reflect.DeepEqual(got, object) {
		t.Errorf("%v, not %v", got, object)
	}
}

// TestLaterFieldsSurviveARewrite checks that a router keeps what a later version has put
// into the record of the budgets.
func TestLaterFieldsSurviveARewrite(t *testing.T) {
	const stored = `{"format":1,"later":[1,2],"boxes":{"edge-1":"edge-1-a"},"accounts":{"kiosk":{"big":12345678901234567890,"rows":{"edge-1-a":{"g":500,"new":{"x":true}}}}}}`
	t.Run("unchanged", func(t *testing.T) { expectRewritten(t, stored, stored, func(*Record) {}) })
	t.Run("a grant", func(t *testing.T) {
		want := `{"format":1,"later":[1,2],"boxes":{"edge-1":"edge-1-a"},"accounts":{"kiosk":{"big":12345678901234567890,"rows":{"edge-1-a":{"g":600,"new":{"x":true}}}}}}`
		expectRewritten(t, stored, want, func(r *Record) { r.Accounts["kiosk"].Rows["edge-1-a"] = Row{Granted: 600} })
	})
	t.Run("a row that is folded takes its own along", func(t *testing.T) {
		want := `{"format":1,"later":[1,2],"boxes":{"edge-1":"edge-1-b"},"accounts":{"kiosk":{"big":12345678901234567890,"f":500}}}`
		expectRewritten(t, stored, want, func(r *Record) { r.Enter("edge-1", "edge-1-b") })
	})
	t.Run("a field that became zero is no later field", func(t *testing.T) {
		const idle = `{"format":1,"later":0,"boxes":{},"accounts":{"kiosk":{"rows":{"edge-1-a":{"g":500,"i":20}}}}}`
		want := `{"format":1,"later":0,"boxes":{},"accounts":{"kiosk":{"rows":{"edge-1-a":{"g":500}}}}}`
		expectRewritten(t, idle, want, func(r *Record) { r.Accounts["kiosk"].Rows["edge-1-a"] = Row{Granted: 500} })
	})
	t.Run("a shard begins with those of the whole record", func(t *testing.T) {
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

// BenchmarkDecodeRecord is the decoding of a record with the rows of 8 routers for 40
// workspaces, which each sync does.
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
