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

type ended struct{ err error }

// shake carries bytes between a connection and a peer, as the loop does, until the handshake is over.
func shake(t *testing.T, pool *tlsio.Pool, c *tlsio.Conn, peer net.Conn) error {
	over := make(chan ended, 1)
	told := make(chan bool, 64)
	pool.Start(c, func(done bool, err error) {
		told <- true
		if done {
			over <- ended{err}
		}
	})
	go func() {
		b := make([]byte, 700) // in pieces, as they come
		for {
			n, err := peer.Read(b)
			if c.Feed(b[:n]) != nil || err != nil {
				return
			}
		}
	}()
	for {
		select {
		case <-told:
			if out := c.Output(); len(out) > 0 {
				_, _ = peer.Write(out)
			}
		case e := <-over:
			if out := c.Output(); len(out) > 0 {
				_, _ = peer.Write(out)
			}
			c.Finish()
			return e.err
		case <-time.After(20 * time.Second):
			t.Fatal("no end")
		}
	}
}

func pair(t *testing.T) (server *tls.Config, client *tls.Config) {
	ca, err := certs.NewCA("test", time.Hour)
	require.NoError(t, err)
	leaf, err := ca.Leaf(certs.Request{Name: "front", DNS: []string{"front"}, For: time.Hour})
	require.NoError(t, err)
	return &tls.Config{Certificates: []tls.Certificate{leaf.TLS()}, MinVersion: tls.VersionTLS13},
		&tls.Config{RootCAs: ca.Pool(), ServerName: "front", ClientSessionCache: tls.NewLRUClientSessionCache(4)}
}

// A handshake and what follows, over bytes that come in pieces; reads that find nothing take up again; a session resumes.
func TestConn(t *testing.T) {
	server, client := pair(t)
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
		require.NoError(t, shake(t, pool, c, near))
		assert.Equal(t, round == 1, c.State().DidResume)
		var said []byte
		b := make([]byte, 3)
		for len(said) < 5 {
			n, err := c.Read(b)
			said = append(said, b[:n]...)
			if errors.Is(err, tlsio.ErrAgain) {
				time.Sleep(time.Millisecond)
				continue
			}
			require.NoError(t, err)
		}
		assert.Equal(t, "hello", string(said))
		require.NoError(t, c.Write([]byte("world")))
		_, err := near.Write(c.Output())
		require.NoError(t, err)
		require.NoError(t, <-finished)
		assert.Equal(t, "world", string(got))
		peer.Close()
	}
}

// What is no handshake ends it, with an alert for the peer; so does too much, and so does a close.
func TestBadHandshakes(t *testing.T) {
	server, _ := pair(t)
	pool := tlsio.NewPool(0.5)
	run := func(use func(c *tlsio.Conn)) ([]byte, error) {
		c := tlsio.Server(server)
		over := make(chan error, 1)
		pool.Start(c, func(done bool, err error) {
			if done {
				over <- err
			}
		})
		use(c)
		select {
		case err := <-over:
			return c.Output(), err
		case <-time.After(20 * time.Second):
			t.Fatal("no end")
			return nil, nil
		}
	}
	out, err := run(func(c *tlsio.Conn) { assert.NoError(t, c.Feed([]byte("GET / HTTP/1.1\r\n\r\n"))) })
	assert.Error(t, err)
	assert.Empty(t, out, "plain text is not answered in TLS")
	_, err = run(func(c *tlsio.Conn) {
		assert.NoError(t, c.Feed([]byte{22, 3, 1}))
		assert.ErrorIs(t, c.Feed(make([]byte, 65<<10)), tlsio.ErrFlood)
		c.Close()
	})
	assert.Error(t, err)
}

// BenchmarkHandshake is both sides of a handshake and one word each way, the client's by crypto/tls alone.
func BenchmarkHandshake(b *testing.B) {
	ca, err := certs.NewCA("test", time.Hour)
	require.NoError(b, err)
	leaf, err := ca.Leaf(certs.Request{Name: "front", DNS: []string{"front"}, For: time.Hour})
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
