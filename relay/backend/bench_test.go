package backend

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"testing"

	"parsleyrelay.example/api/serverapi"
)

// BenchmarkGrant sends grants over loopback, by the number of slices in a grant; a
// grant without slices renews the previous one. Client and server share the process.
func BenchmarkGrant(b *testing.B) {
	for _, n := range []int{0, 44, 440, 4400} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				var g serverapi.Grant
				_ = json.NewDecoder(r.Body).Decode(&g)
				_ = json.NewEncoder(w).Encode(serverapi.GrantResponse{Accepted: true, Instance: "i", Token: "t", Term: g.Term})
			}))
			defer server.Close()
			client, err := New(Options{BaseURL: server.URL, MaxConnections: 2})
			if err != nil {
				b.Fatal(err)
			}
			defer client.Close()
			grant := serverapi.Grant{Service: "orders", Server: "server-12345", EntryHost: "entry-1", Term: 1_000_000, Token: "0190b6f0-0000", TTLMS: 1400, SetVersion: 3, HasSlices: n > 0}
			for i := range n {
				grant.Slices = append(grant.Slices, serverapi.Slice{First: fmt.Sprintf("%016x", i), Last: fmt.Sprintf("%016x", i), Generation: 1_000_000})
			}
			for b.Loop() {
				if _, err := client.Grant(b.Context(), grant); err != nil {
					b.Fatal(err)
				}
			}
			body, _ := json.Marshal(grant)
			b.ReportMetric(float64(len(body)), "B/request")
		})
	}
}

// BenchmarkRequest sends requests over loopback, by response size in bytes.
// Client and server share the process.
func BenchmarkRequest(b *testing.B) {
	for _, n := range []int{256, 4_096, 65_536} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			body := strings.Repeat("x", n)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, body) }))
			defer server.Close()
			client, err := New(Options{BaseURL: server.URL, MaxConnections: 2})
			if err != nil {
				b.Fatal(err)
			}
			defer client.Close()
			for b.Loop() {
				response, err := client.Do(b.Context(), &Request{Method: http.MethodGet, Path: "/x"})
				if err != nil {
					b.Fatal(err)
				}
				_, _ = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
			}
		})
	}
}

// BenchmarkConnections opens a number of connections at once and reports the memory
// of an idle connection, client and server side together.
func BenchmarkConnections(b *testing.B) {
	for _, n := range []int{50, 200, 800} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				b.ReportMetric(connectionMemory(b, n), "B/connection")
			}
		})
	}
}

func connectionMemory(b *testing.B, n int) float64 {
	var arrived sync.WaitGroup
	arrived.Add(n)
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { arrived.Done(); arrived.Wait() }))
	defer server.Close()
	client, err := New(Options{BaseURL: server.URL, MaxConnections: n})
	if err != nil {
		b.Fatal(err)
	}
	defer client.Close()
	before := memoryBytes()
	var done sync.WaitGroup
	for range n {
		done.Go(func() {
			response, err := client.Do(b.Context(), &Request{Method: http.MethodGet, Path: "/x"})
			if err != nil {
				b.Error(err)
				return
			}
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		})
	}
	done.Wait()
	return (memoryBytes() - before) / float64(n)
}

func memoryBytes() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}
