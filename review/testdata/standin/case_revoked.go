package main

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"path/filepath"
	"syscall"
	"time"
)

func init() { cases["revoked"] = (*Run).revoked }

// authority is a certificate authority.
type authority struct {
	run         *Run
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

func (r *Run) newAuthority() *authority {
	a := &authority{run: r}
	var err error
	a.key, err = ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	r.need(err)
	template := &x509.Certificate{SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "review ca"}, IsCA: true,
		BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign | x509.KeyUsageCRLSign,
		NotBefore: time.Now().Add(-time.Minute), NotAfter: time.Now().Add(time.Hour)}
	der, err := x509.CreateCertificate(rand.Reader, template, template, a.key.Public(), a.key)
	r.need(err)
	a.certificate, err = x509.ParseCertificate(der)
	r.need(err)
	return a
}

func pemText(kind string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
}

// leaf makes a certificate for a client or a server and writes it to name.pem and name.key.
func (a *authority) leaf(name string, serial int64) tls.Certificate {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	a.run.need(err)
	template := &x509.Certificate{SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: name},
		DNSNames: []string{name}, KeyUsage: x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		NotBefore:   time.Now().Add(-time.Minute), NotAfter: time.Now().Add(time.Hour)}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, key.Public(), a.key)
	a.run.need(err)
	private, err := x509.MarshalPKCS8PrivateKey(key)
	a.run.need(err)
	certificate, privateText := pemText("CERTIFICATE", der), pemText("PRIVATE KEY", private)
	a.run.WriteFile(filepath.Join(a.run.Dir, name+".pem"), certificate)
	a.run.WriteFile(filepath.Join(a.run.Dir, name+".key"), privateText)
	pair, err := tls.X509KeyPair(certificate, privateText)
	a.run.need(err)
	return pair
}

// revoke writes the authority's list of revoked certificates.
func (a *authority) revoke(number int64, serials ...int64) {
	list := &x509.RevocationList{Number: big.NewInt(number), ThisUpdate: time.Now().Add(-time.Minute),
		NextUpdate: time.Now().Add(time.Hour)}
	for _, serial := range serials {
		list.RevokedCertificateEntries = append(list.RevokedCertificateEntries,
			x509.RevocationListEntry{SerialNumber: big.NewInt(serial), RevocationTime: time.Now()})
	}
	der, err := x509.CreateRevocationList(rand.Reader, list, a.certificate, a.key)
	a.run.need(err)
	a.run.WriteFile(filepath.Join(a.run.Dir, "crl.pem"), pemText("X509 CRL", der))
}

// revoked: the certificate of a desk is revoked while the front end runs. From then on it is refused.
func (r *Run) revoked() {
	const desk, other = 7, 9
	engine := r.NewEngine(1, func(Start) Plan { return Plan{Run: 20 * time.Millisecond, End: EndServed} })
	ca := r.newAuthority()
	r.WriteFile(filepath.Join(r.Dir, "ca.pem"), pemText("CERTIFICATE", ca.certificate.Raw))
	ca.leaf("front", 2)
	pair := ca.leaf("desk", desk)
	ca.revoke(1)
	in := func(name string) string { return filepath.Join(r.Dir, name) }
	installation := map[string]any{"tls": map[string]any{
		"enabled":      true,
		"certificates": []any{map[string]any{"certificate": in("front.pem"), "key": in("front.key")}},
		"client_auth":  "require", "client_cas": []string{in("ca.pem")}, "crls": []string{in("crl.pem")},
	}}
	f := r.StartFrontEnd(r.Config("n1", r.FreeAddress(), r.NewJournal().Addr, Settings(1, 0), engine), installation)
	roots := x509.NewCertPool()
	roots.AddCert(ca.certificate)
	config := &tls.Config{RootCAs: roots, ServerName: "front", Certificates: []tls.Certificate{pair}}
	dial := func() (*Client, error) {
		raw, err := net.DialTimeout("tcp4", f.Addr, time.Second)
		r.need(err)
		conn := tls.Client(raw, config)
		_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
		if err := conn.Handshake(); err != nil {
			return nil, err
		}
		_ = conn.SetDeadline(time.Time{})
		return NewClient(conn), nil
	}
	call := func(c *Client, what string) Reply {
		fields := map[string]string{"op": "lookup", "call": r.NewID(), "ttl": "4000", "org": "volta-air", "work": "20",
			"mb": "16"}
		_, ch := c.Call(fields, "select * from ops_1.passengers")
		select {
		case got := <-ch:
			r.Log("desk's call %s %s is answered: %s %q", fields["call"], what, got.Kind, got.Body)
			return got
		case <-time.After(6 * time.Second):
			r.Log("desk's call %s %s is not answered", fields["call"], what)
			return Reply{Kind: "none"}
		}
	}
	open, err := dial()
	r.need(err)
	if call(open, "before").Kind != "served" {
		panic("the desk is not served at first")
	}
	if r.Trouble {
		r.Log("the desk's certificate is revoked")
		ca.revoke(2, desk)
	} else {
		r.Log("another certificate is revoked")
		ca.revoke(2, other)
	}
	time.Sleep(3 * time.Second) // watch_s is 1
	f.Signal(syscall.SIGHUP)
	time.Sleep(5 * time.Second)
	check := func(c *Client, what string) {
		served := call(c, what).Kind == "served"
		if served && r.Trouble {
			r.Broken("the revoked certificate was served %s, 8 s after its revocation", what)
		}
		if !served && !r.Trouble {
			r.Broken("the valid certificate was not served %s", what)
		}
	}
	check(open, "on the open connection")
	if again, err := dial(); err == nil {
		check(again, "on a new connection")
	} else if r.Log("new connection: %v", err); !r.Trouble {
		r.Broken("the valid certificate could not connect")
	}
}
