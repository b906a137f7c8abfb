// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

// Package measure drives the decision libraries of the fleet on a virtual clock
// with small fakes, beside naive versions of the same decision, on the same
// load and seed. It is no simulator of a cluster: it has no network and no
// machines, only decisions, the messages between them and their failures.
package measure
