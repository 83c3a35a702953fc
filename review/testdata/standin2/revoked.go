package main

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"path/filepath"
	"time"

	"chutechute/internal/certs"
)

func init() {
	cases["revoked"] = func(w *world) { revoked(w, false) }
	cases["lists"] = func(w *world) { revoked(w, true) }
}

// revokedLimit is the stated time within which a revoked certificate is refused, watch_s, with a margin for a machine
// that is busy.
const revokedLimit = time.Second + 2*time.Second

// revoked: callers come with certificates of two authorities, which are revoked while the front end serves. A call with a
// revoked certificate must not be served. With identified, the installation also maps certificates to callers, and the
// lists of both authorities stand in one PEM file, one after the other; without, it has the section tls alone, and a
// file for each list.
func revoked(w *world, identified bool) {
	const day = 24 * time.Hour
	es := startEngines(w, 6)
	j := startJournal(w, knownEvents)
	f := newFrontEnd(w, "n1", 1, 0, j, es)
	path := func(name string) string { return filepath.Join(w.dir, name) }

	server, err := certs.NewCA("legon servers", day)
	check(err, "authority")
	front, err := server.Leaf(certs.Request{Name: "front", DNS: []string{"front"}, Lifetime: day})
	check(err, "certificate")
	check(front.Write(path("front.pem"), path("front.key")), "certificate")

	var authorities bytes.Buffer
	var cas []*certs.CA
	var desks []*certs.Pair
	for _, name := range []string{"desks of room-a", "desks of room-b"} {
		ca, err := certs.NewCA(name, day)
		check(err, "authority")
		certificate, _, err := ca.PEM()
		check(err, "authority")
		authorities.Write(certificate)
		desk, err := ca.Leaf(certs.Request{Name: "desk", URIs: []string{"spiffe://legon/desk/1"}, Lifetime: day})
		check(err, "certificate")
		cas, desks = append(cas, ca), append(desks, desk)
	}
	crls := []string{path("crls.pem")}
	if !identified {
		crls = []string{path("crl-1.pem"), path("crl-2.pem")}
	}
	writeLists := func(number int64, revoked ...*certs.Pair) { // revoked are none, or one of each authority
		files := make([]bytes.Buffer, len(crls))
		for n, ca := range cas {
			var certificates []*x509.Certificate
			if len(revoked) > 0 {
				certificates = append(certificates, revoked[n].Certificate)
			}
			list, err := ca.CreateCRL(number, day, certificates...)
			check(err, "list")
			files[n%len(files)].Write(list)
		}
		for n := range files {
			writeFile(crls[n], files[n].Bytes())
		}
	}
	writeFile(path("cas.pem"), authorities.Bytes())
	writeLists(1)
	installation := map[string]any{
		"tls": map[string]any{"enabled": true, "client_auth": "require", "client_cas": []string{path("cas.pem")},
			"crls":         crls,
			"certificates": []any{map[string]any{"certificate": path("front.pem"), "key": path("front.key")}}},
	}
	if identified {
		installation["identity"] = map[string]any{"enabled": true, "watch_s": 1,
			"callers": []any{map[string]any{"name": "desk", "tenant": "volta-air", "sans": []string{"spiffe://legon/desk/*"}}},
			"rights":  []any{map[string]any{"effect": "allow", "callers": []string{"*"}, "classes": []string{"lookup"}}}}
	}
	f.install(installation)
	pool := x509.NewCertPool()
	pool.AddCert(server.Certificate)
	f.tls = &tls.Config{RootCAs: pool, ServerName: "front", Certificates: []tls.Certificate{desks[0].TLS()}}
	f.start()
	call := func(desk int) answer {
		c, err := dial(w, "desk", f.listen, &tls.Config{RootCAs: pool, ServerName: "front",
			Certificates: []tls.Certificate{desks[desk].TLS()}})
		if err != nil {
			return answer{kind: "handshake refused", text: err.Error()}
		}
		defer c.conn.Close()
		id := newID()
		_, result := c.call("SELECT * FROM ops_1.seats /* ms=20 */", "op", "lookup", "call", id, "org", "volta-air",
			"ttl", "4000", "work", "20.0", "mb", "4")
		a := <-result
		w.log("desk of authority %d: id=%s answered: %s", desk+1, id, a.kind)
		return a
	}
	for desk := range desks {
		if a := call(desk); a.kind != "served" {
			giveUp("a valid certificate of authority %d: %s %s", desk+1, a.kind, a.text)
		}
	}
	w.disrupt("the certificates of both desks are revoked, and the lists are replaced", func() {
		writeLists(2, desks...)
		time.Sleep(revokedLimit)
		for desk := range desks {
			for range 3 {
				if a := call(desk); a.kind == "served" {
					w.breach("a call with the revoked certificate of authority %d was served %s after it was revoked",
						desk+1, revokedLimit)
				}
				time.Sleep(time.Second)
			}
		}
	})
}
