package peridotroute

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

var routerSizes = []int{10, 100, 1000}

func newLoadedRouter(n int) *Router {
	r := New(1)
	var list []Server
	for i := range n {
		list = append(list, engine(fmt.Sprintf("engine-%04d", i), Mixed))
	}
	r.SetServers(0, list)
	for i, s := range list {
		r.Observe(0, Report{Instance: s.Instance, Running: i % 30, PrefillTokens: 100 * (i % 50), DecodeTokens: 64 * (i % 30)})
	}
	return r
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range routerSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			r := newLoadedRouter(n)
			hashes := []uint64{1, 2, 3, 4}
			r.HintPrefix(0, "engine-0003", hashes, false)
			request := Request{ID: "r", Model: "m", PromptTokens: 1000, ExpectedOutput: 100, PrefixHash: hashes}
			b.ReportAllocs()
			for b.Loop() {
				if _, err := r.Choose(time.Millisecond, request); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkRequest measures one request from Choose to Done.
func BenchmarkRequest(b *testing.B) {
	for _, n := range routerSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			r := newLoadedRouter(n)
			request := Request{ID: "r", Model: "m", PromptTokens: 1000, ExpectedOutput: 100}
			now := time.Duration(0)
			b.ReportAllocs()
			for b.Loop() {
				now += time.Millisecond
				c, err := r.Choose(now, request)
				if err != nil {
					b.Fatal(err)
				}
				r.Begin(now, request, c)
				r.Done(now, request.ID, 100)
			}
		})
	}
}

func BenchmarkObserve(b *testing.B) {
	r := newLoadedRouter(1000)
	now := time.Duration(0)
	b.ReportAllocs()
	for b.Loop() {
		now += time.Millisecond
		r.Observe(now, Report{Instance: "engine-0005", At: now, Running: 3, PrefillTokens: 500})
	}
}

// BenchmarkMemory reports the memory per server.
func BenchmarkMemory(b *testing.B) {
	const n = 10_000
	var before, after runtime.MemStats
	empty := New(1)
	runtime.GC()
	runtime.ReadMemStats(&before)
	r := newLoadedRouter(n)
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/n, "B/server")
	runtime.KeepAlive(r)
	runtime.KeepAlive(empty)
}
