// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

// Package settings reads the TOML file that tells a router who and where it is.
// It holds what belongs to one box; what operators decide is in the documents
// of package config.
package settings
