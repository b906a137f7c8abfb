// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

// Package gate serves the callers of the fleet over HTTP.
//
// A request goes this way: its key is looked up, its body and headers are
// read, the partners' policies are asked, an upper bound of its cost is
// reserved from the box's tokens, an upstream is chosen, a request not to be
// repeated is bound in the store, and only then the upstream hears of it. The
// answer is passed on as it comes, the reservation is settled to the use that
// the upstream reports, and one charge is entered.
//
// Every refusal has a numbered result code, which says whether the request ran.
package gate
