// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

// Package standin provides fakes of the systems around the routers: the platform's
// store, a model engine and a plain service for 'granitehoist router', and a worker of the
// platform for granitehoist-edge. They run in process or as separate processes
// ('granitehoist standin'), inject faults on request and record what they executed, so
// that tests can check the routers against the records.
//
// Each fake guards its records and faults by its own lock and is safe for concurrent use.
// Faults apply to requests that begin after the call of Fail. The package uses
// partner/upstream for the engines' messages and partner/boxlist for the list of boxes. No
// router uses it; 'granitehoist standin', packages trial and measure, and tests do.
//
// Begin reading at Store, which PlatformStore serves to both routers; at Engine and Plain
// for the partners' router; and at Worker, whose WorkerResponse lists the faults that a test
// can script, for granitehoist-edge.
package standin
