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

// forwarder is the baseline of BenchmarkRequest, a minimal reverse proxy.
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

var requestIDs atomic.Uint64

const benchBody = `{"model":"granite-8b","max_tokens":8,"messages":[{"role":"user","content":"%d what is the way to the next lock, and when does it close?"}]}`

// request sends one chat completion and returns its latency.
func request(client *http.Client, address string, n int) (time.Duration, error) {
	r, err := http.NewRequest(http.MethodPost, address+"/v1/chat/completions", strings.NewReader(fmt.Sprintf(benchBody, n)))
	if err != nil {
		return 0, err
	}
	// Each request has a fresh id, since an engine runs the same id only once.
	r.Header.Set("X-Request-Id", strconv.FormatUint(requestIDs.Add(1), 36))
	r.Header.Set("Authorization", "Bearer "+trial.Key("lock-kiosks"))
	start := time.Now()
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
	return time.Since(start), nil
}

// runLoad sends b.N requests from concurrent clients and reports latencies and throughput.
func runLoad(b *testing.B, address string, clients int) {
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
				latency, err := request(client, address, i)
				if err != nil {
					b.Error(err)
					return
				}
				mu.Lock()
				_ = latencies.RecordValue(int64(latency))
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

// BenchmarkRequest compares requests sent directly to an engine, through a minimal proxy
// and through a router. The engine responds without delay.
func BenchmarkRequest(b *testing.B) {
	for _, clients := range []int{1, 32} {
		b.Run(fmt.Sprintf("direct/clients=%d", clients), func(b *testing.B) {
			engine := httptest.NewServer(standin.NewEngine(standin.EngineSettings{}).Handler())
			defer engine.Close()
			runLoad(b, engine.URL, clients)
		})
		b.Run(fmt.Sprintf("forwarder/clients=%d", clients), func(b *testing.B) {
			engine := httptest.NewServer(standin.NewEngine(standin.EngineSettings{}).Handler())
			defer engine.Close()
			server := httptest.NewServer(forwarder(engine.URL))
			defer server.Close()
			runLoad(b, server.URL, clients)
		})
		b.Run(fmt.Sprintf("router/clients=%d", clients), func(b *testing.B) {
			fleet, err := trial.NewFleet(context.Background(), trial.FleetSettings{})
			if err != nil {
				b.Fatal(err)
			}
			defer fleet.Close()
			runLoad(b, "http://"+fleet.Routers[0].CallersAddress(), clients)
		})
	}
}
