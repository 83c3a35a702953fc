package replication

import "chutechute/internal/fieldcodec"

// Member is a replica, or a front end that may become one.
type Member struct {
	// ID is the replica's ID. It was drawn when the disk was empty and identifies that disk: a front end that has lost
	// its disk is another replica with the same name.
	ID uint64
	// Name is the front end's name.
	Name string
	// Zone is the front end's availability zone.
	Zone string
}

func (m *Member) fields(f *fieldcodec.Fields) {
	fieldcodec.Uint(f, 1, &m.ID)
	f.String(2, &m.Name)
	f.String(3, &m.Zone)
}

func decodeMember(b []byte) (m Member, err error) {
	f := fieldcodec.Decode(b)
	for f.Next() {
		m.fields(&f)
	}
	return m, f.Err()
}

// EncodeMembers returns the encoding of a list of members.
func EncodeMembers(members []Member) []byte {
	f := fieldcodec.Encode(nil)
	fieldcodec.Messages(&f, 1, &members, 0, nil, (*Member).fields)
	return f.Bytes()
}

// DecodeMembers decodes what EncodeMembers has encoded. Every field is read as a member, whatever its number.
func DecodeMembers(b []byte) (members []Member, err error) {
	f := fieldcodec.Decode(b)
	for f.Next() {
		member, err := decodeMember(f.Data())
		members = append(members, member)
		if err != nil {
			return members, err
		}
	}
	return members, f.Err()
}
