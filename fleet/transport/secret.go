package transport

import (
	"crypto/hmac"
	"crypto/sha256"

	"chutechute/internal/fieldcodec"
)

// nonceSize is the length of a challenge's nonce, in bytes.
const nonceSize = 16

// Secret is the key that all front ends of a site share, with which both sides of a link authenticate each other.
// Without one only loopback addresses are allowed, as any process that can connect there is trusted anyway.
type Secret []byte

// side is the side of a link that signs an introduction. It is part of the signed data, so that neither side can send
// the other's message back to it (a reflection attack).
type side byte

const (
	dialerSide   side = 1
	listenerSide side = 2
)

// mac returns the HMAC over the side that signs, the listener's nonce, which is unique to the link, and the bytes to be
// signed.
func (s Secret) mac(by side, nonce, signed []byte) []byte {
	m := hmac.New(sha256.New, s)
	m.Write([]byte{byte(by)})
	m.Write(nonce)
	m.Write(signed)
	return m.Sum(nil)
}

// signedMessage is an introduction with its sender's MAC.
type signedMessage struct {
	Introduction []byte // encoded
	MAC          []byte
}

func (m *signedMessage) fields(f *fieldcodec.Fields) {
	f.Shared(1, &m.Introduction)
	f.Shared(2, &m.MAC)
}

// sign returns the encoded signedMessage of an introduction.
func (s Secret) sign(by side, nonce []byte, m *introduction) []byte {
	encoded := m.encode()
	signed := signedMessage{encoded, s.mac(by, nonce, encoded)}
	f := fieldcodec.Encode(nil)
	signed.fields(&f)
	return f.Bytes()
}

// verify checks the MAC of a signedMessage and decodes its introduction. The error is ErrAuthentication or
// fieldcodec.ErrMalformed.
func (s Secret) verify(by side, nonce, b []byte) (m introduction, err error) {
	var signed signedMessage
	f := fieldcodec.Decode(b)
	for f.Next() {
		signed.fields(&f)
	}
	if err := f.Err(); err != nil {
		return m, err
	}
	if !hmac.Equal(signed.MAC, s.mac(by, nonce, signed.Introduction)) {
		return m, ErrAuthentication
	}
	return decodeIntroduction(signed.Introduction)
}
