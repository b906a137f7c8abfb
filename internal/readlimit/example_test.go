// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package readlimit_test

import (
	"fmt"
	"strings"

	"granitehoist.example/granitehoist/internal/readlimit"
)

// Read a body into memory that is shared with other reads.
func ExampleBuffer_ReadAll() {
	memory := readlimit.NewMemory(1 << 20)
	buffer := readlimit.Buffer{Part: readlimit.Body, MaxBytes: 8, Memory: memory}
	defer buffer.Release()
	body, err := buffer.ReadAll(strings.NewReader("short"), -1)
	fmt.Println(string(body), err)
	tooLong := readlimit.Buffer{Part: readlimit.Body, MaxBytes: 8, Memory: memory}
	defer tooLong.Release()
	_, err = tooLong.ReadAll(strings.NewReader("much too long"), -1)
	fmt.Println(err)
	// Output:
	// short <nil>
	// readlimit: the body exceeds its bound of bytes after 9 bytes
}
