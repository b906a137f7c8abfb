// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

// Package tomlfile reads the TOML files that people write and reports all that
// is wrong with one at once, each fault with its line and what to write instead.
//
// It owns no state. A Checker belongs to one reading of one file and is not safe
// for concurrent use.
//
// Packages partner/config, for the partners' documents, and partner/settings,
// for a router's settings file, rely on it, so both 'granitehoist router' and
// 'granitehoist check' run it. granitehoist-edge reads no TOML.
//
// Begin reading at Decode, then at Checker.
package tomlfile
