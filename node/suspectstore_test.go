// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package node

import (
	"context"
	"testing"

	"granitehoist.example/granitehoist/standin"
	"granitehoist.example/granitehoist/suspect"
)

// TestStoredEvidence guards against storing evidence that does not suffice for a refusal,
// and against keeping it after the request has succeeded.
func TestStoredEvidence(t *testing.T) {
	ctx := context.Background()
	refused := suspect.Record{Digest: suspect.Digest{1}, Crashes: []suspect.Crash{
		{Incarnation: "i-1", Round: 1, EarlyRound: 1}, {Incarnation: "i-2", Round: 2, EarlyRound: 2}, {Incarnation: "i-3", Round: 3, EarlyRound: 3},
	}}
	cleared := suspect.Record{Digest: refused.Digest}
	for _, c := range refused.Crashes {
		c.Cleared = true
		cleared.Crashes = append(cleared.Crashes, c)
	}
	insufficient := suspect.Record{Digest: suspect.Digest{2}, Crashes: refused.Crashes[:1]}
	scope := suspect.Record{Digest: suspect.Digest{3}, Scope: true, Crashes: []suspect.Crash{{Incarnation: "i-1", Round: 5, EarlyRound: 5}}}
	cases := []struct {
		name    string
		records []suspect.Record
		want    int
	}{
		{"refused request", []suspect.Record{refused}, 1},
		{"refused request written twice", []suspect.Record{refused, refused}, 1},
		{"suspect request that is not refused", []suspect.Record{insufficient}, 0},
		{"scope", []suspect.Record{scope}, 0},
		{"refused request that succeeded later", []suspect.Record{refused, cleared}, 0},
		{"request that succeeded before it was written", []suspect.Record{cleared}, 0},
		{"refused again after another crash", []suspect.Record{refused, cleared, refused}, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := &suspects{store: standin.NewStore(standin.StoreSettings{})}
			if err := s.storeAll(ctx, c.records); err != nil {
				t.Fatal(err)
			}
			entries, _, err := s.store.List(ctx, refusedPrefix)
			if err != nil || len(entries) != c.want {
				t.Errorf("%d records, not %d, %v", len(entries), c.want, err)
			}
		})
	}
}
