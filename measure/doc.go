// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

// Package measure is a capacity model of the partner router. It measures the cost of the
// router's parts in memory, processor time and bytes at two sizes each, fits a line to
// them, and computes the load of each role of a router for a given fleet size.
// docs/CAPACITY.md has the results; a test recomputes its loads.
//
// The package has no state: each measurement builds its own data, such as a
// budget.Ledger with 14,000 budgets, and uses the packages below partner/ and a stand-in
// for the store in the same process. 'granitehoist measure capacity' runs it.
//
// Begin reading at Slopes, which lists the measurements, and Loads, which computes the
// loads.
package measure
