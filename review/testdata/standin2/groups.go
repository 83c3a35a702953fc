package main

import (
	"crypto/tls"
	"crypto/x509"
	"path/filepath"
	"time"

	"chutechute/internal/certs"
)

func init() { cases["groups"] = deniedGroups }

// deniedGroups: a caller may send look-ups, but none that read the groups 100 to 199. With the disruption its statements
// also read a group that is allowed, which they name first.
func deniedGroups(w *world) {
	const day = 24 * time.Hour
	es := startEngines(w, 6)
	j := startJournal(w, knownEvents)
	f := newFrontEnd(w, "n1", 1, 0, j, es)
	path := func(name string) string { return filepath.Join(w.dir, name) }
	ca, err := certs.NewCA("legon", day)
	check(err, "authority")
	front, err := ca.Leaf(certs.Request{Name: "front", DNS: []string{"front"}, Lifetime: day})
	check(err, "certificate")
	check(front.Write(path("front.pem"), path("front.key")), "certificate")
	desk, err := ca.Leaf(certs.Request{Name: "desk", URIs: []string{"spiffe://legon/desk/1"}, Lifetime: day})
	check(err, "certificate")
	authority, _, err := ca.PEM()
	check(err, "authority")
	writeFile(path("ca.pem"), authority)
	f.install(map[string]any{
		"tls": map[string]any{"enabled": true, "client_auth": "require", "client_cas": []string{path("ca.pem")},
			"certificates": []any{map[string]any{"certificate": path("front.pem"), "key": path("front.key")}}},
		"identity": map[string]any{"enabled": true,
			"callers": []any{map[string]any{"name": "desk", "tenant": "volta-air", "sans": []string{"spiffe://legon/desk/*"}}},
			"rights": []any{
				map[string]any{"effect": "allow", "callers": []string{"*"}, "classes": []string{"lookup"}},
				map[string]any{"effect": "deny", "callers": []string{"desk"}, "groups": []string{"100-199"}}}},
	})
	pool := x509.NewCertPool()
	pool.AddCert(ca.Certificate)
	f.tls = &tls.Config{RootCAs: pool, ServerName: "front", Certificates: []tls.Certificate{desk.TLS()}}
	f.start()
	c, err := dial(w, "desk", f.listen, f.tls)
	check(err, "client")
	call := func(statement string) {
		id := newID()
		_, result := c.call(statement, "op", "lookup", "call", id, "org", "volta-air", "ttl", "4000", "work", "20.0", "mb", "4")
		a := <-result
		w.log("desk: id=%s %q answered: %s", id, statement, a.kind)
		if a.kind == "served" {
			w.breach("%q was served", statement)
		}
	}
	call("SELECT * FROM pay_150.salaries")
	w.disrupt("statements that name an allowed group first", func() {
		call("SELECT * FROM ops_1.seats JOIN pay_150.salaries ON true")
		call("SELECT * FROM ops_1.seats WHERE id IN (SELECT id FROM pay_150.salaries)")
		call(`SELECT * FROM u&"pay\005f150".salaries`)
	})
}
