package transport

import (
	"fmt"

	"chutechute/internal/fieldcodec"
)

// The range of protocol versions that this build supports.
const (
	MinVersion = 1
	MaxVersion = 1
)

// MaxNameLength is the maximum length of an attached front end's name, in bytes.
const MaxNameLength = 64

// Identity is what one side of a link states about itself in the handshake.
type Identity struct {
	Site           string
	Name           string
	Zone           string
	Incarnation    uint64 // identifies the process
	ReplicaID      uint64 // the ID of its replica of the replicated log; 0 without one
	MinVersion     uint64 // of the supported protocol versions
	MaxVersion     uint64
	SettingsDigest []byte // of the settings that must be equal at all front ends of a site
	Attached       bool   // whether it is an attached front end, not a control member
}

// checkCompatible returns ErrSiteMismatch, ErrNoCommonVersion, ErrSelfConnection or ErrSettingsMismatch if no link with
// the remote side is possible.
func (i *Identity) checkCompatible(remote *Identity) error {
	switch {
	case remote.Site != i.Site:
		return fmt.Errorf("%w: %q", ErrSiteMismatch, remote.Site)
	case remote.MaxVersion < i.MinVersion || remote.MinVersion > i.MaxVersion:
		return fmt.Errorf("%w: remote side supports %d to %d, this one %d to %d", ErrNoCommonVersion,
			remote.MinVersion, remote.MaxVersion, i.MinVersion, i.MaxVersion)
	case remote.Incarnation == i.Incarnation:
		return ErrSelfConnection
	case string(remote.SettingsDigest) != string(i.SettingsDigest):
		return fmt.Errorf("%w: %q", ErrSettingsMismatch, remote.Name)
	}
	return nil
}

// ValidName reports whether the name is valid for an attached front end: 1 to MaxNameLength ASCII letters, digits,
// dots, hyphens and underscores.
func ValidName(name string) bool {
	if name == "" || len(name) > MaxNameLength {
		return false
	}
	for i := range len(name) {
		if !validNameByte(name[i]) {
			return false
		}
	}
	return true
}

func validNameByte(c byte) bool {
	switch {
	case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9', c == '.', c == '-', c == '_':
		return true
	}
	return false
}

// introduction is the signed content of a Hello or Welcome: the sender's identity and the recipient's name.
type introduction struct {
	Sender    Identity
	Recipient string
}

func (m *introduction) fields(f *fieldcodec.Fields) {
	f.String(1, &m.Sender.Site)
	f.String(2, &m.Sender.Name)
	f.String(3, &m.Sender.Zone)
	fieldcodec.Uint(f, 4, &m.Sender.Incarnation)
	fieldcodec.Uint(f, 5, &m.Sender.ReplicaID)
	fieldcodec.Uint(f, 6, &m.Sender.MinVersion)
	fieldcodec.Uint(f, 7, &m.Sender.MaxVersion)
	f.Copied(8, &m.Sender.SettingsDigest)
	f.String(9, &m.Recipient)
	f.Bool(10, &m.Sender.Attached)
}

func (m *introduction) encode() []byte {
	f := fieldcodec.Encode(nil)
	m.fields(&f)
	return f.Bytes()
}

func decodeIntroduction(b []byte) (m introduction, err error) {
	f := fieldcodec.Decode(b)
	for f.Next() {
		m.fields(&f)
	}
	return m, f.Err()
}
