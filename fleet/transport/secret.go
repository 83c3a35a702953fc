package transport

import (
	"crypto/hmac"
	"crypto/sha256"

	"chutechute/internal/fieldcodec"
)

// nonceSize is the length of a challenge's nonce, in bytes.
const nonceSize = 16

// Secret is shared by all front ends of a site and authenticates both sides of a link to one another. Without one only
// loopback addresses are allowed, where whoever may connect may do anything else too.
type Secret []byte

// side is the side of a link that signs an introduction. It is part of the proof, so that neither side can reflect the
// other's.
type side byte

const (
	dialerSide   side = 1
	listenerSide side = 2
)

// proof returns the HMAC over what is unique to the link (the listener's nonce), the signed bytes, and the side that
// signs them.
func (s Secret) proof(by side, nonce, signed []byte) []byte {
	m := hmac.New(sha256.New, s)
	m.Write([]byte{byte(by)})
	m.Write(nonce)
	m.Write(signed)
	return m.Sum(nil)
}

// signedMessage is an introduction with the proof of its sender.
type signedMessage struct {
	Introduction []byte // encoded
	Proof        []byte
}

func (m *signedMessage) fields(f *fieldcodec.Fields) {
	f.Shared(1, &m.Introduction)
	f.Shared(2, &m.Proof)
}

// sign returns the encoded introduction with its proof.
func (s Secret) sign(by side, nonce []byte, m *introduction) []byte {
	encoded := m.encode()
	signed := signedMessage{encoded, s.proof(by, nonce, encoded)}
	f := fieldcodec.Encode(nil)
	signed.fields(&f)
	return f.Bytes()
}

// verify checks the proof of an introduction and decodes it. An error is ErrAuthentication or
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
	if !hmac.Equal(signed.Proof, s.proof(by, nonce, signed.Introduction)) {
		return m, ErrAuthentication
	}
	return decodeIntroduction(signed.Introduction)
}
