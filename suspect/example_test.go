// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package suspect_test

import (
	"fmt"
	"time"

	"granitehoist.example/granitehoist/suspect"
)

// A request crashes one upstream after another until it is refused.
func ExampleTable() {
	table := suspect.New(suspect.Settings{})
	table.SetSecret(suspect.Secret{1})
	request := suspect.RequestKey{Method: "POST", Host: "h.example", Target: "/ask", Workspace: "kiosk", Body: []byte("why?")}
	digest, _ := table.Digest(&request)
	now := time.Now()
	for _, upstream := range []suspect.Incarnation{"i-1", "i-2", "i-3"} {
		known := table.Lookup(digest, now)
		fmt.Println(known.Round, known.Refused)
		table.RecordCrash(digest, suspect.Observation{Incarnation: upstream, Verdict: known, Early: true, Sent: now}, now)
		now = now.Add(table.Lookup(digest, now).Hold)
	}
	fmt.Println(table.Lookup(digest, now).Refused, table.Lookup(digest, now).BlockRemaining)
	// Output:
	// 0 false
	// 1 false
	// 2 false
	// true 9m59.85s
}
