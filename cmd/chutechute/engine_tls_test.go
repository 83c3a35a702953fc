package main

import (
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chutechute/internal/certs"
	"chutechute/internal/testharness"
)

// withEngineTLS gives the engines TLS certificates for their ids, or for the names that name makes of these, and has
// them require a client certificate of the front end.
func withEngineTLS(t *testing.T, name func(id string) string) func(*testharness.Harness) {
	dir := t.TempDir()
	inDir := func(file string) string { return filepath.Join(dir, file) }
	ca, err := certs.NewCA("engines", time.Hour)
	require.NoError(t, err)
	require.NoError(t, ca.Write(inDir("ca.pem"), inDir("ca.key")))
	frontEnd, err := ca.Leaf(certs.Request{Name: "front", Lifetime: time.Hour})
	require.NoError(t, err)
	require.NoError(t, frontEnd.Write(inDir("front.pem"), inDir("front.key")))
	require.NoError(t, os.WriteFile(inDir("i.jsonnet"),
		[]byte(`{ tls: { engines: { enabled: true, cas: ['ca.pem'], name: '{id}.engines',
		certificate: { certificate: 'front.pem', key: 'front.key' } } }, identity: { watch_s: 0.02 } }`), 0o600))
	return func(r *testharness.Harness) {
		r.Args = []string{"serve", "--installation", inDir("i.jsonnet")}
		r.Settings["limits"].(map[string]any)["dial_timeout"] = 2.0
		r.EngineTLS = func(e *testharness.StubEngine) *tls.Config {
			leaf, err := ca.Leaf(certs.Request{Name: e.Name, DNS: []string{name(e.Name) + ".engines"}, Lifetime: time.Hour})
			require.NoError(t, err)
			return &tls.Config{Certificates: []tls.Certificate{leaf.TLS()},
				ClientCAs: ca.Pool(), ClientAuth: tls.RequireAndVerifyClientCert}
		}
	}
}

func sameID(id string) string { return id }

// Queries run on engines over TLS as they do without: many at once, with results of several pages, and several queries
// one after another on a connection.
func TestEnginesOverTLS(t *testing.T) {
	page := strings.Repeat("aaaaaaaaaa\tbbbbbbbbbbbb\tcccccccccccc\n", 160)
	var opened atomic.Int32
	r := start(t, 2, testharness.SucceedAfterPolls(1, page, page, page, page, page, page), withEngineTLS(t, sameID),
		func(r *testharness.Harness) {
			r.OnConnState = func(_ net.Conn, s http.ConnState) {
				if s == http.StateNew {
					opened.Add(1)
				}
			}
		})
	c := r.NewClient()
	const rounds, perRound = 3, 8
	for round := range rounds {
		for n := range perRound {
			c.SendRequest("SELECT 1 FROM s_1.t -- "+strings.Repeat("x", 20_000), "call", testharness.RequestID(100*round+n),
				"op", "lookup", "ttl", "9000", "work", "100")
		}
		for range perRound {
			p := c.ReadReply()
			require.Equal(t, "answer", p.Kind)
			assert.Equal(t, strings.Repeat(page, 6), p.Rows())
		}
		time.Sleep(400 * time.Millisecond) // longer than a connection stays unused between two queries
	}
	assert.Len(t, r.Requests("POST", "/"), rounds*perRound, "no query was sent twice")
	assert.Less(t, int(opened.Load()), rounds*perRound, "connections are reused")
}

// An engine whose certificate is for another name gets no request; the other engines serve.
func TestEngineWithAnotherName(t *testing.T) {
	r := start(t, 2, testharness.SucceedAfterPolls(0, testharness.ResultRow),
		withEngineTLS(t, func(id string) string { return "s-00000001" }))
	c := r.NewClient()
	for n := range 10 {
		c.SendLookup(n, "5000")
		assert.Equal(t, "answer", c.ReadReply().Kind)
	}
	for _, call := range r.Requests("", "/") {
		assert.Equal(t, "s-00000001", call.Engine)
	}
	for _, call := range r.Requests("POST", "/") {
		assert.Equal(t, "s-00000001", call.Engine)
	}
	r = start(t, 1, testharness.SucceedAfterPolls(0, testharness.ResultRow),
		withEngineTLS(t, func(string) string { return "elsewhere" }))
	c = r.NewClient()
	c.SendLookup(1, "1500")
	assert.Equal(t, "shed", c.ReadReply().Kind, "the query never ran")
	assert.Empty(t, r.Requests("POST", "/"))
	r.WaitForLog("handshake")
}

// A connection that is closed after a start has arrived on it is handled over TLS as without: a load is polled before
// it is sent again, and its client gets one response.
func TestResetsOverTLS(t *testing.T) {
	var posts atomic.Int32
	r := start(t, 2, func(r *testharness.Harness, w http.ResponseWriter, c testharness.EngineRequest) {
		switch {
		case c.Method == "POST" && posts.Add(1) == 1:
			testharness.RespondRaw(w, "", true)
		case c.Method == "DELETE":
			w.WriteHeader(204)
		default:
			testharness.RespondResult(w, testharness.ResultRow)
		}
	}, withEngineTLS(t, sameID))
	c := r.NewClient()
	c.SendLoad(1, "9000")
	assert.Equal(t, "answer", c.ReadReply().Kind)
	assert.Len(t, r.Requests("POST", "/"), 1, "it was polled instead")
	assert.Len(t, r.Requests("GET", "/v1/store/"+testharness.RequestID(1)), 1)
	assert.True(t, c.Healthy())
}

// An engine that never completes the TLS handshake delays neither the event loop nor queries to other engines.
func TestSilentHandshakeWithEngine(t *testing.T) {
	silent, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer silent.Close()
	r := start(t, 2, testharness.SucceedAfterPolls(0, testharness.ResultRow), withEngineTLS(t, sameID),
		func(r *testharness.Harness) {
			r.Settings["limits"].(map[string]any)["dial_timeout"] = 0.25
			r.Engines[0].Addr = silent.Addr().(*net.TCPAddr)
		})
	c := r.NewClient()
	for n := range 8 {
		c.SendRequest("SELECT 1 FROM s_1.t", "call", testharness.RequestID(n), "op", "lookup", "ttl", "5000", "work", "100")
	}
	for range 8 {
		assert.Equal(t, "answer", c.ReadReply().Kind)
	}
	assert.Len(t, r.Requests("POST", "/"), 8, fmt.Sprint("all on ", r.Engines[1].Name))
}
