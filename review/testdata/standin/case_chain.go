package main

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"net"
	"path/filepath"
	"time"
)

func init() { cases["chain"] = (*Run).chain }

// issue makes a certificate below the authority.
func (a *authority) issue(template *x509.Certificate) (*x509.Certificate, *ecdsa.PrivateKey) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	a.run.need(err)
	template.NotBefore, template.NotAfter = time.Now().Add(-time.Minute), time.Now().Add(time.Hour)
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, key.Public(), a.key)
	a.run.need(err)
	certificate, err := x509.ParseCertificate(der)
	a.run.need(err)
	return certificate, key
}

// below makes an authority below this one.
func (a *authority) below(serial int64) *authority {
	certificate, key := a.issue(&x509.Certificate{SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: "desks ca"},
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign | x509.KeyUsageCRLSign})
	return &authority{run: a.run, certificate: certificate, key: key}
}

// withoutKeyID is the same authority, but what it issues has no authority key identifier, as many command lines for
// certificates leave it out.
func (a *authority) withoutKeyID() *authority {
	certificate := *a.certificate
	certificate.SubjectKeyId = nil
	return &authority{run: a.run, certificate: &certificate, key: a.key}
}

// client makes a client's certificate, which is shown with those above it.
func (a *authority) client(name string, serial int64, above ...*authority) tls.Certificate {
	certificate, key := a.issue(&x509.Certificate{SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: name},
		DNSNames: []string{name}, KeyUsage: x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth}})
	pair := tls.Certificate{Certificate: [][]byte{certificate.Raw}, PrivateKey: key}
	for _, authority := range above {
		pair.Certificate = append(pair.Certificate, authority.certificate.Raw)
	}
	return pair
}

// chain: callers are identified by their certificates. The authority of the desks is revoked by the one above it, and
// so is the certificate of a kiosk. From then on neither is admitted.
func (r *Run) chain() {
	const desks, desk, kiosk, counter, other = 50, 7, 8, 9, 99
	engine := r.NewEngine(1, func(Start) Plan { return Plan{Run: 20 * time.Millisecond, End: EndServed} })
	ca := r.newAuthority()
	in := func(name string) string { return filepath.Join(r.Dir, name) }
	r.WriteFile(in("ca.pem"), pemText("CERTIFICATE", ca.certificate.Raw))
	ca.leaf("front", 2)
	ca.revoke(1)
	desksCA := ca.below(desks)
	callers := []struct {
		name, what string
		pair       tls.Certificate
	}{
		{"desk", "whose authority is revoked", desksCA.client("desk", desk, desksCA)},
		{"kiosk", "which is revoked and names no key of its authority", ca.withoutKeyID().client("kiosk", kiosk)},
		{"counter", "which is revoked", ca.client("counter", counter)},
	}
	var rules []any
	for _, caller := range callers {
		rules = append(rules, map[string]any{"name": caller.name, "tenant": "volta-air", "sans": []string{caller.name}})
	}
	installation := map[string]any{
		"tls": map[string]any{
			"enabled":      true,
			"certificates": []any{map[string]any{"certificate": in("front.pem"), "key": in("front.key")}},
			"client_auth":  "require", "client_cas": []string{in("ca.pem")}, "crls": []string{in("crl.pem")},
		},
		"identity": map[string]any{
			"enabled": true, "callers": rules,
			"rights": []any{map[string]any{"effect": "allow", "callers": []string{"*"}, "classes": []string{"lookup"}}},
		},
	}
	f := r.StartFrontEnd(r.Config("n1", r.FreeAddress(), r.NewJournal().Addr, Settings(1, 0), engine), installation)
	roots := x509.NewCertPool()
	roots.AddCert(ca.certificate)
	served := func(name string, pair tls.Certificate) bool {
		raw, err := net.DialTimeout("tcp4", f.Addr, time.Second)
		r.need(err)
		conn := tls.Client(raw, &tls.Config{RootCAs: roots, ServerName: "front", Certificates: []tls.Certificate{pair}})
		defer conn.Close()
		_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
		if err := conn.Handshake(); err != nil {
			r.Log("%s: %v", name, err)
			return false
		}
		_, reply := NewClient(conn).Call(map[string]string{"op": "lookup", "call": r.NewID(), "ttl": "4000",
			"org": "volta-air", "work": "20", "mb": "16"}, "select * from ops_1.passengers")
		got := <-reply
		r.Log("%s is answered: %s %v %q", name, got.Kind, got.Fields, got.Body)
		return got.Kind == "served"
	}
	for _, caller := range callers {
		if !served(caller.name, caller.pair) {
			panic(caller.name + " is not served at first")
		}
	}
	if r.Trouble {
		r.Log("the desks' authority and the certificates of the kiosk and the counter are revoked")
		ca.revoke(2, desks, kiosk, counter)
	} else {
		r.Log("another certificate is revoked")
		ca.revoke(2, other)
	}
	time.Sleep(8 * time.Second) // watch_s is 1
	for _, caller := range callers {
		switch ok := served(caller.name, caller.pair); {
		case ok && r.Trouble:
			r.Broken("%s was served with a certificate %s, 8 s after that", caller.name, caller.what)
		case !ok && !r.Trouble:
			r.Broken("%s was not served, with a valid certificate", caller.name)
		}
	}
}
