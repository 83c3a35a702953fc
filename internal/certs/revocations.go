package certs

import (
	"crypto/x509"
	"errors"
	"fmt"
	"math/big"
	"slices"
	"time"

	"chutechute/internal/keyfiles"
)

// Revocations is the content of the certificate revocation lists. A list applies to the certificates that the holder of
// its issuer's name and key has signed.
type Revocations struct {
	serials     map[string]bool      // by serialKey
	authorities map[string]bool      // the client certificate authorities that another one of them has revoked, in DER
	nextUpdates map[string]time.Time // by issuerKey: when the issuer's newest list has to be replaced
}

// issuerKey returns the map key of a certificate authority: its name and its public key, which all certificates of one
// authority share. The key identifiers in certificates are optional.
func issuerKey(issuer *x509.Certificate) string {
	return string(issuer.RawSubjectPublicKeyInfo) + "\x00" + string(issuer.RawSubject)
}

// IsRevoked reports whether a peer's certificate is revoked, or one of the authorities between it and the trusted one.
// chains are the verified chains from the peer's certificate to a trusted one; if there are several, each has to
// contain a revoked certificate. With rejectStale, a certificate counts as revoked if its issuer's newest list is past
// its next update.
func (r *Revocations) IsRevoked(chains [][]*x509.Certificate, now time.Time, rejectStale bool) bool {
	return !slices.ContainsFunc(chains, func(chain []*x509.Certificate) bool {
		return !r.containsRevoked(chain, now, rejectStale)
	})
}

// containsRevoked reports whether a certificate of a chain is revoked.
func (r *Revocations) containsRevoked(chain []*x509.Certificate, now time.Time, rejectStale bool) bool {
	last := len(chain) - 1
	if r.authorities[string(chain[last].Raw)] {
		return true
	}
	for i, certificate := range chain[:last] {
		issuer := issuerKey(chain[i+1])
		if r.serials[serialKey(issuer, certificate.SerialNumber)] {
			return true
		}
		nextUpdate, listed := r.nextUpdates[issuer]
		if rejectStale && listed && now.After(nextUpdate) {
			return true
		}
	}
	return false
}

// serialKey returns the map key of a certificate from its issuer's key and its serial number.
func serialKey(issuer string, serialNumber *big.Int) string {
	return issuer + "\x00" + serialNumber.String()
}

// newRevocations returns revocations without a list.
func newRevocations() Revocations {
	return Revocations{map[string]bool{}, map[string]bool{}, map[string]time.Time{}}
}

// loadCRLs reads a file of one or more certificate revocation lists (RFC 5280, section 5), in PEM or DER. One of the
// certificate authorities must have signed each.
func (m *Material) loadCRLs(path string, authorities []*x509.Certificate) error {
	lists, err := readCRLs(path)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	for i, list := range lists {
		signer, err := signerOf(list, authorities)
		if err != nil {
			return fmt.Errorf("%s: list %d: %w", path, i+1, err)
		}
		m.Revocations.add(list, signer)
		if !list.NextUpdate.IsZero() {
			m.Expiry = append(m.Expiry, Expiry{path, list.NextUpdate})
		}
	}
	return nil
}

// readCRLs reads all revocation lists of a file.
func readCRLs(path string) (lists []*x509.RevocationList, err error) {
	text, err := keyfiles.Read(path, maxFileBytes)
	if err != nil {
		return nil, err
	}
	blocks, err := decodePEM(text, isCRL)
	if err != nil {
		return nil, err
	}
	if len(blocks) == 0 {
		return parseCRLs(text)
	}
	for i, block := range blocks {
		inBlock, err := parseCRLs(block.Bytes)
		if err != nil {
			return nil, fmt.Errorf("PEM block %d: %w", i+1, err)
		}
		lists = append(lists, inBlock...)
	}
	return lists, nil
}

// parseCRLs parses revocation lists that follow one another in DER: x509.ParseRevocationList ignores what is after the
// first.
func parseCRLs(der []byte) (lists []*x509.RevocationList, err error) {
	for {
		list, err := x509.ParseRevocationList(der)
		if err != nil {
			return nil, err
		}
		lists = append(lists, list)
		if der = der[len(list.Raw):]; len(der) == 0 {
			return lists, nil
		}
	}
}

// signerOf returns the certificate authority that has signed a revocation list.
func signerOf(list *x509.RevocationList, authorities []*x509.Certificate) (*x509.Certificate, error) {
	err := errors.New("the issuer is not among the client certificate authorities")
	for _, c := range authorities {
		if string(c.RawSubject) != string(list.RawIssuer) {
			continue
		}
		if err = list.CheckSignatureFrom(c); err == nil {
			return c, nil
		}
	}
	return nil, err
}

// add adds the content of a list. All lists of an issuer stay in force; the newest one says when the next is due.
func (r *Revocations) add(list *x509.RevocationList, signer *x509.Certificate) {
	issuer := issuerKey(signer)
	for _, entry := range list.RevokedCertificateEntries {
		r.serials[serialKey(issuer, entry.SerialNumber)] = true
	}
	if list.NextUpdate.After(r.nextUpdates[issuer]) {
		r.nextUpdates[issuer] = list.NextUpdate
	}
}

// addAuthorities finds the authorities that another one of them, or they themselves, have revoked. A verified chain
// ends with the first certificate that is trusted, so it doesn't show who has signed that one.
func (r *Revocations) addAuthorities(authorities []*x509.Certificate) {
	for _, authority := range authorities {
		for _, issuer := range authorities {
			if string(issuer.RawSubject) == string(authority.RawIssuer) &&
				r.serials[serialKey(issuerKey(issuer), authority.SerialNumber)] &&
				authority.CheckSignatureFrom(issuer) == nil {
				r.authorities[string(authority.Raw)] = true
			}
		}
	}
}
