package thrift

import (
	"encoding/binary"
	"maps"
	"slices"
)

// EncodeReply is the reply to a call that was served, or to health.
func EncodeReply(name string, seq int32, body []byte, fields map[string]string, good bool) []byte {
	b := begin(typeReply, name, seq)
	b = field(b, tStruct, 0)
	b = field(b, tString, 1)
	b = blob(b, body)
	b = field(b, tMap, 2)
	b = table(b, fields)
	b = field(b, tBool, 3)
	if good {
		b = append(b, 1)
	} else {
		b = append(b, 0)
	}
	return end(append(b, tStop, tStop))
}

// EncodeRejection is the reply that refuses a call.
func EncodeRejection(seq int32, fields map[string]string) []byte { return thrown(seq, 1, fields) }

// EncodeFailure is the reply that fails a call.
func EncodeFailure(seq int32, fields map[string]string) []byte { return thrown(seq, 2, fields) }

func thrown(seq int32, id int16, fields map[string]string) []byte {
	b := field(begin(typeReply, "call", seq), tStruct, id)
	b = table(field(b, tMap, 1), fields)
	return end(append(b, tStop, tStop))
}

// Reply is the application exception that tells a client of what can't be used.
func (e *Exception) Reply() []byte {
	b := field(begin(typeException, e.Name, e.Seq), tString, 1)
	b = field(blob(b, []byte(e.Text)), tI32, 2)
	b = binary.BigEndian.AppendUint32(b, uint32(e.Kind))
	return end(append(b, tStop))
}

func begin(kind uint32, name string, seq int32) []byte {
	b := binary.BigEndian.AppendUint32(make([]byte, 4, 128), version|kind)
	b = blob(b, []byte(name))
	return binary.BigEndian.AppendUint32(b, uint32(seq))
}

func end(b []byte) []byte {
	binary.BigEndian.PutUint32(b, uint32(len(b)-4))
	return b
}

func field(b []byte, kind byte, id int16) []byte {
	return binary.BigEndian.AppendUint16(append(b, kind), uint16(id))
}

func blob(b, body []byte) []byte {
	return append(binary.BigEndian.AppendUint32(b, uint32(len(body))), body...)
}

func table(b []byte, fields map[string]string) []byte {
	b = binary.BigEndian.AppendUint32(append(b, tString, tString), uint32(len(fields)))
	for _, k := range slices.Sorted(maps.Keys(fields)) {
		b = blob(blob(b, []byte(k)), []byte(fields[k]))
	}
	return b
}
