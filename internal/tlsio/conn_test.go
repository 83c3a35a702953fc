package tlsio_test

import (
	"crypto/tls"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chutechute/internal/certs"
	"chutechute/internal/tlsio"
)

type handshakeResult struct{ err error }

// runHandshake passes bytes between a connection and its peer, as the event loop does, until the handshake has ended.
// It returns the handshake's error.
func runHandshake(t *testing.T, pool *tlsio.Pool, c *tlsio.Conn, peer net.Conn) error {
	results := make(chan handshakeResult, 1)
	notifications := make(chan bool, 64)
	pool.Start(c, func(done bool, err error) {
		notifications <- true
		if done {
			results <- handshakeResult{err}
		}
	})
	go func() {
		b := make([]byte, 700) // so small that long handshake messages arrive in pieces
		for {
			n, err := peer.Read(b)
			if c.Feed(b[:n]) != nil || err != nil {
				return
			}
		}
	}()
	for {
		select {
		case <-notifications:
			if out := c.Output(); len(out) > 0 {
				_, _ = peer.Write(out)
			}
		case result := <-results:
			if out := c.Output(); len(out) > 0 {
				_, _ = peer.Write(out)
			}
			c.SetHandshakeDone()
			return result.err
		case <-time.After(20 * time.Second):
			t.Fatal("the handshake did not end")
		}
	}
}

// testConfigs returns the configurations of a server and of a client that trusts the server's certificate.
func testConfigs(t *testing.T) (server *tls.Config, client *tls.Config) {
	ca, err := certs.NewCA("test", time.Hour)
	require.NoError(t, err)
	leaf, err := ca.Leaf(certs.Request{Name: "front", DNS: []string{"front"}, Lifetime: time.Hour})
	require.NoError(t, err)
	return &tls.Config{Certificates: []tls.Certificate{leaf.TLS()}, MinVersion: tls.VersionTLS13},
		&tls.Config{RootCAs: ca.Pool(), ServerName: "front", ClientSessionCache: tls.NewLRUClientSessionCache(4)}
}

// A handshake and the messages after it succeed although bytes arrive in pieces and reads find no input for a time. The
// second connection resumes the session of the first.
func TestConn(t *testing.T) {
	server, client := testConfigs(t)
	pool := tlsio.NewPool(1)
	for round := range 2 {
		near, far := net.Pipe()
		peer := tls.Client(far, client)
		finished := make(chan error, 1)
		got := make([]byte, 5)
		go func() {
			_, err := peer.Write([]byte("hello"))
			if err == nil {
				_, err = io.ReadFull(peer, got)
			}
			finished <- err
		}()
		c := tlsio.Server(server)
		require.NoError(t, runHandshake(t, pool, c, near))
		assert.Equal(t, round == 1, c.State().DidResume)
		var received []byte
		b := make([]byte, 3)
		for len(received) < 5 {
			n, err := c.Read(b)
			received = append(received, b[:n]...)
			if errors.Is(err, tlsio.ErrAgain) {
				time.Sleep(time.Millisecond)
				continue
			}
			require.NoError(t, err)
		}
		assert.Equal(t, "hello", string(received))
		require.NoError(t, c.Write([]byte("world")))
		_, err := near.Write(c.Output())
		require.NoError(t, err)
		require.NoError(t, <-finished)
		assert.Equal(t, "world", string(got))
		peer.Close()
	}
}

// A handshake fails if the input is not TLS, without any output to the peer, and if the connection is closed because
// Feed has rejected too much input.
func TestBadHandshakes(t *testing.T) {
	server, _ := testConfigs(t)
	pool := tlsio.NewPool(0.5)
	run := func(feed func(c *tlsio.Conn)) ([]byte, error) {
		c := tlsio.Server(server)
		results := make(chan error, 1)
		pool.Start(c, func(done bool, err error) {
			if done {
				results <- err
			}
		})
		feed(c)
		select {
		case err := <-results:
			return c.Output(), err
		case <-time.After(20 * time.Second):
			t.Fatal("the handshake did not end")
			return nil, nil
		}
	}
	out, err := run(func(c *tlsio.Conn) { assert.NoError(t, c.Feed([]byte("GET / HTTP/1.1\r\n\r\n"))) })
	assert.Error(t, err)
	assert.Empty(t, out, "plain text is not answered in TLS")
	_, err = run(func(c *tlsio.Conn) {
		assert.NoError(t, c.Feed([]byte{22, 3, 1}))
		assert.ErrorIs(t, c.Feed(make([]byte, 65<<10)), tlsio.ErrHandshakeTooLarge)
		c.Close()
	})
	assert.Error(t, err)
}

// BenchmarkHandshake measures a handshake of crypto/tls alone, client and server, and a byte sent by the server.
func BenchmarkHandshake(b *testing.B) {
	ca, err := certs.NewCA("test", time.Hour)
	require.NoError(b, err)
	leaf, err := ca.Leaf(certs.Request{Name: "front", DNS: []string{"front"}, Lifetime: time.Hour})
	require.NoError(b, err)
	server := &tls.Config{Certificates: []tls.Certificate{leaf.TLS()}, MinVersion: tls.VersionTLS13}
	for name, cache := range map[string]tls.ClientSessionCache{"full": nil, "resumed": tls.NewLRUClientSessionCache(4)} {
		b.Run(name, func(b *testing.B) {
			client := &tls.Config{RootCAs: ca.Pool(), ServerName: "front", ClientSessionCache: cache}
			b.ReportAllocs()
			for b.Loop() {
				near, far := net.Pipe()
				go func() {
					c := tls.Server(near, server)
					_, _ = c.Write([]byte("x"))
				}()
				peer := tls.Client(far, client)
				if _, err := peer.Read(make([]byte, 1)); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
