// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

// Package tomlfile reads TOML files written by operators and reports all faults of a file
// at once, each with its line and a remedy.
//
// It has no global state. A Checker is used for one file and is not safe for concurrent
// use.
//
// Packages partner/config (partners' documents) and partner/settings (a router's
// settings file) use it, and with them 'granitehoist router' and 'granitehoist check'.
//
// Begin reading at Decode, then at Checker.
package tomlfile
