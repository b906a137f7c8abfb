// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package origin_test

import (
	"fmt"
	"time"

	"granitehoist.example/granitehoist/origin"
)

// A router records where a stream began, and finds it when the caller takes it up.
func ExampleTable() {
	var table origin.Table
	now := time.Now()
	stream := origin.Stream{Workspace: "kiosk", Request: "q-1"}
	table.Add(origin.Record{Stream: stream, Origin: origin.Origin{Service: "pool", Release: "v1"}, KeepMS: 30_000}, now)
	found, known := table.Lookup(stream, now.Add(time.Second))
	fmt.Println(found.Release, known)
	_, known = table.Lookup(stream, now.Add(time.Minute))
	fmt.Println(known)
	// Output:
	// v1 true
	// false
}

// A release may begin streams once it is registered.
func ExampleRegistry() {
	var registry origin.Registry
	registry.Register("pool", "v1")
	registry.Announce("pool", "v1")
	registry.Announce("pool", "v2")
	fmt.Println(registry.Pending(), registry.IsMixed("pool"))
	registry.Register("pool", "v2")
	fmt.Println(registry.Pending(), registry.IsMixed("pool"))
	// Output:
	// map[pool:[v2]] false
	// map[] true
}
