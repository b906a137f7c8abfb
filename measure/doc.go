// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

// Package measure measures what the parts of a partner router cost in memory,
// time and bytes, at two sizes each, and works out from these slopes what each
// role of a router costs at the size of a fleet. The results stand in
// docs/CAPACITY.md, whose sums a test works out again.
//
// It holds no state between calls and needs no locks: each measurement builds
// what it measures, such as a purse with 14,000 budgets. It relies on the
// packages below partner/ and on the store's stand-in in the same process.
// 'granitehoist measure capacity' runs it; no router does.
//
// Begin reading at Slopes, which names every measurement, and Loads, which has
// the sums.
package measure
