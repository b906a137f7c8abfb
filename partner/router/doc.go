// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

// Package router makes a router of the other packages: it reads the documents,
// joins the fleet, serves callers, other routers and operators, and stops
// without cutting a request.
package router
