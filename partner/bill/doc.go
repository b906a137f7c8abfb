// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

// Package bill records what each request cost, exactly once.
//
// A charge is made by the incarnation that served the request and numbered by
// it. The incarnation keeps it until it is confirmed in a segment, a record in
// the store that holds many charges. A batch that is sent again, by whatever
// way, names the same numbers, so a reader of the segments counts each charge
// once; and it counts the charges of one request id of a workspace once, even
// if a caller's retry ran at another router.
package bill
