package thrift

import (
	"encoding/binary"
	"maps"
	"slices"
)

// EncodeReply returns the reply to a request that was served, or to a health message.
func EncodeReply(name string, seq int32, body []byte, fields map[string]string, success bool) []byte {
	b := beginMessage(typeReply, name, seq)
	b = appendFieldHeader(b, tStruct, 0)
	b = appendFieldHeader(b, tString, 1)
	b = appendBinary(b, body)
	b = appendFieldHeader(b, tMap, 2)
	b = appendMap(b, fields)
	b = appendFieldHeader(b, tBool, 3)
	if success {
		b = append(b, 1)
	} else {
		b = append(b, 0)
	}
	return endMessage(append(b, tStop, tStop))
}

// EncodeRejection returns the reply that rejects a request.
func EncodeRejection(seq int32, fields map[string]string) []byte {
	return declaredException(seq, 1, fields)
}

// EncodeFailure returns the reply that fails a request.
func EncodeFailure(seq int32, fields map[string]string) []byte {
	return declaredException(seq, 2, fields)
}

// declaredException returns a reply with an exception that the service declares, in the result's field with that id.
func declaredException(seq int32, id int16, fields map[string]string) []byte {
	b := appendFieldHeader(beginMessage(typeReply, MethodCall, seq), tStruct, id)
	b = appendMap(appendFieldHeader(b, tMap, 1), fields)
	return endMessage(append(b, tStop, tStop))
}

// Reply returns the application exception for the sender of the message.
func (e *Exception) Reply() []byte {
	b := appendFieldHeader(beginMessage(typeException, e.Name, e.Seq), tString, 1)
	b = appendFieldHeader(appendBinary(b, []byte(e.Text)), tI32, 2)
	b = binary.BigEndian.AppendUint32(b, uint32(e.Kind))
	return endMessage(append(b, tStop))
}

// beginMessage returns a frame up to the message header; endMessage fills in its length.
func beginMessage(kind uint32, name string, seq int32) []byte {
	b := binary.BigEndian.AppendUint32(make([]byte, 4, 128), version|kind)
	b = appendBinary(b, []byte(name))
	return binary.BigEndian.AppendUint32(b, uint32(seq))
}

// endMessage writes the length of a complete frame.
func endMessage(b []byte) []byte {
	binary.BigEndian.PutUint32(b, uint32(len(b)-4))
	return b
}

// appendFieldHeader appends the header of a struct's field.
func appendFieldHeader(b []byte, kind byte, id int16) []byte {
	return binary.BigEndian.AppendUint16(append(b, kind), uint16(id))
}

// appendBinary appends a binary or string value.
func appendBinary(b, body []byte) []byte {
	return append(binary.BigEndian.AppendUint32(b, uint32(len(body))), body...)
}

// appendMap appends a map of strings, sorted by key.
func appendMap(b []byte, fields map[string]string) []byte {
	b = binary.BigEndian.AppendUint32(append(b, tString, tString), uint32(len(fields)))
	for _, k := range slices.Sorted(maps.Keys(fields)) {
		b = appendBinary(appendBinary(b, []byte(k)), []byte(fields[k]))
	}
	return b
}
