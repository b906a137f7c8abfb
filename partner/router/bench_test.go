// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package router_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"granitehoist.example/granitehoist/standin"
	"granitehoist.example/granitehoist/trial"
)

// forwarder is the baseline: it sends a body on and copies the answer back.
func forwarder(target string) http.Handler {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		request, err := http.NewRequestWithContext(r.Context(), r.Method, target+r.URL.Path, r.Body)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		request.Header = r.Header
		response, err := client.Do(request)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadGateway)
			return
		}
		defer func() { _ = response.Body.Close() }()
		w.WriteHeader(response.StatusCode)
		_, _ = io.Copy(w, response.Body)
	})
}

var ids atomic.Uint64

const benchBody = `{"model":"granite-8b","max_tokens":8,"messages":[{"role":"user","content":"%d what is the way to the next lock, and when does it close?"}]}`

// request sends one question and returns how long the answer took.
func request(client *http.Client, address string, n int) (time.Duration, error) {
	r, err := http.NewRequest(http.MethodPost, address+"/v1/chat/completions", strings.NewReader(fmt.Sprintf(benchBody, n)))
	if err != nil {
		return 0, err
	}
	// The engine runs an attempt once, and the router sends an id of its own.
	r.Header.Set("X-Request-Id", strconv.FormatUint(ids.Add(1), 36))
	r.Header.Set("Authorization", "Bearer "+trial.Key("lock-kiosks"))
	begin := time.Now()
	response, err := client.Do(r)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0, err
	}
	if response.StatusCode != http.StatusOK {
		return 0, fmt.Errorf("status %d", response.StatusCode)
	}
	return time.Since(begin), nil
}

// drive sends b.N questions from some clients and reports the latencies.
func drive(b *testing.B, address string, clients int) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: clients}}
	defer client.CloseIdleConnections()
	for i := range 50 {
		if _, err := request(client, address, i); err != nil {
			b.Fatal(err)
		}
	}
	latencies := hdrhistogram.New(1, int64(time.Minute), 3)
	var mu sync.Mutex
	var group sync.WaitGroup
	b.ResetTimer()
	for c := range clients {
		group.Go(func() {
			for i := c; i < b.N; i += clients {
				took, err := request(client, address, i)
				if err != nil {
					b.Error(err)
					return
				}
				mu.Lock()
				_ = latencies.RecordValue(int64(took))
				mu.Unlock()
			}
		})
	}
	group.Wait()
	b.StopTimer()
	b.ReportMetric(float64(latencies.ValueAtQuantile(50))/1e3, "p50-µs")
	b.ReportMetric(float64(latencies.ValueAtQuantile(99))/1e3, "p99-µs")
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "requests/s")
}

// BenchmarkRequest compares a request through a router with one through a bare
// forwarder, to the same kind of engine, which answers at once.
func BenchmarkRequest(b *testing.B) {
	for _, clients := range []int{1, 32} {
		b.Run(fmt.Sprintf("direct/clients=%d", clients), func(b *testing.B) {
			engine := httptest.NewServer(standin.NewEngine(standin.EngineSettings{}).Handler())
			defer engine.Close()
			drive(b, engine.URL, clients)
		})
		b.Run(fmt.Sprintf("forwarder/clients=%d", clients), func(b *testing.B) {
			engine := httptest.NewServer(standin.NewEngine(standin.EngineSettings{}).Handler())
			defer engine.Close()
			server := httptest.NewServer(forwarder(engine.URL))
			defer server.Close()
			drive(b, server.URL, clients)
		})
		b.Run(fmt.Sprintf("router/clients=%d", clients), func(b *testing.B) {
			site, err := trial.NewSite(context.Background(), trial.SiteSettings{})
			if err != nil {
				b.Fatal(err)
			}
			defer site.Close()
			drive(b, "http://"+site.Routers[0].CallersAddress(), clients)
		})
	}
}
