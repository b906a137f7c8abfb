// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package exchange_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"time"

	"granitehoist.example/granitehoist/exchange"
)

// Send a request, check that the response belongs to it, read the body and return the
// connection to the pool.
func ExamplePool_Do() {
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		fmt.Fprint(w, "the answer")
	}))
	defer upstream.Close()
	pool := exchange.NewPool(exchange.Settings{})
	defer pool.Close()
	response, err := pool.Do(context.Background(), exchange.Request{
		Address: upstream.Listener.Addr().String(),
		Method:  http.MethodGet,
		Target:  "/",
		Host:    "service.example",
		Header:  http.Header{"Request-Id": {"r-1"}},
		ID:      "r-1",
		Matches: func(h http.Header) bool { return h.Get("Request-Id") == "r-1" },
	}, time.Now())
	if err != nil {
		fmt.Println(err)
		return
	}
	defer response.Close()
	body, err := io.ReadAll(response)
	fmt.Println(response.Status, string(body), err)
	// Output: 200 the answer <nil>
}

func ExampleEndToEndHeader() {
	header := http.Header{"Connection": {"close, X-Hop"}, "X-Hop": {"1"}, "Keep-Alive": {"timeout=5"}, "Accept": {"text/plain"}}
	fmt.Println(exchange.EndToEndHeader(header))
	// Output: map[Accept:[text/plain]]
}
