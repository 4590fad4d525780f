package peridotsync

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"peridotstack/peridotconfig"
	"peridotstack/peridotwire"
)

// countingConn counts the bytes that a connection reads and writes.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// fixedHandler answers each fetch with update, and each ping with a fixed pong.
type fixedHandler struct{ update peridotconfig.Update }

func (a fixedHandler) HandleRequest(_ context.Context, _ *peridotwire.Peer, method string, _ json.RawMessage) (any, error) {
	if method == peridotwire.MethodCommits {
		return a.update, nil
	}
	return peridotwire.Pong{
		From:        "agent-recife-a-0123",
		Domain:      "recife-a",
		Incarnation: "0123456789abcdef",
		Version:     peridotwire.Version{Seq: 26000, ConfirmedMillis: 1200},
		Stamp:       int64(time.Hour),
		Load:        peridotwire.Load{Running: 10, Waiting: 3, PrefillTokens: 12000, DecodeTokens: 3000, FreeBlocks: 500},
	}, nil
}

func (fixedHandler) HandleNotification(*peridotwire.Peer, string, json.RawMessage) {}

// connect returns a connection to a peer that answers as a, and the number of bytes
// that the connection has read and written.
func connect(b *testing.B, a fixedHandler) (*peridotwire.Peer, *atomic.Int64) {
	b.Helper()
	var bytes atomic.Int64
	near, far := net.Pipe()
	ctx := context.Background()
	server := peridotwire.NewPeer(ctx, far, a)
	client := peridotwire.NewPeer(ctx, countingConn{Conn: near, bytes: &bytes}, fixedHandler{})
	b.Cleanup(func() {
		client.Close()
		server.Close()
	})
	return client, &bytes
}

// BenchmarkExchange measures one exchange of versions, which is a ping, a pong and a
// confirm.
func BenchmarkExchange(b *testing.B) {
	client, bytes := connect(b, fixedHandler{})
	node := New("entry-recife-a-01", nil, nil)
	count := int64(0)
	for b.Loop() {
		count++
		var pong peridotwire.Pong
		configAtSend, sent := node.Config(), time.Now()
		if err := client.Call(b.Context(), peridotwire.MethodPing, peridotwire.Ping{From: "entry-recife-a-01", Version: peridotwire.Version{Seq: 26000, ConfirmedMillis: 1000}}, &pong); err != nil {
			b.Fatal(err)
		}
		node.HandlePong(configAtSend, peridotconfig.Witness{Instance: pong.From}, pong.Version, sent)
		confirm := peridotwire.Confirm{From: "entry-recife-a-01", Version: peridotwire.Version{Seq: 26000, ConfirmedMillis: 1000}, Stamp: pong.Stamp}
		if err := client.Notify(b.Context(), peridotwire.MethodConfirm, confirm); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(bytes.Load())/float64(count), "bytes/exchange")
}

// BenchmarkFetchCommit measures a fetch of commits from a peer.
func BenchmarkFetchCommit(b *testing.B) {
	for _, commits := range []int{1, 10, 100} {
		b.Run(fmt.Sprintf("commits=%d", commits), func(b *testing.B) {
			var update peridotconfig.Update
			for i := range commits {
				update.Commits = append(update.Commits, peridotconfig.Commit{
					Seq:      int64(26000 + i),
					ID:       "0123456789abcdef01234567",
					Operator: "ana",
					Changes:  peridotconfig.Changes{peridotconfig.WithdrawKey{ID: "0123456789abcdef"}},
				})
			}
			client, bytes := connect(b, fixedHandler{update: update})
			count := int64(0)
			for b.Loop() {
				count++
				var got peridotconfig.Update
				if err := client.Call(b.Context(), peridotwire.MethodCommits, peridotwire.Fetch{After: 25999}, &got); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(bytes.Load())/float64(count), "bytes/fetch")
		})
	}
}
