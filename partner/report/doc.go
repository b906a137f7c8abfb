// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

// Package report tells operators how the fleet serves, from the metrics of its
// routers.
package report
