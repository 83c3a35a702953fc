package standin

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"fmt"
	"net"

	"github.com/stretchr/testify/require"
)

// Frame is a frame of the journal service.
func Frame(number uint64, kind byte, records ...[]byte) []byte {
	payload := bytes.Join(records, nil)
	b := binary.BigEndian.AppendUint32(nil, uint32(9+len(payload)))
	return append(append(binary.BigEndian.AppendUint64(b, number), kind), payload...)
}

// Record is the journal's record of the engine.
func (e *Engine) Record(state byte) []byte {
	var n uint32
	fmt.Sscanf(e.Name, "s-%x", &n)
	b := append(binary.BigEndian.AppendUint32(nil, n), e.Addr.IP.To4()...)
	b = append(binary.BigEndian.AppendUint16(b, uint16(e.Addr.Port)), state, 0, 0, 0, 0, 0, 0, 3, 232)
	return append(b, make([]byte, 8)...)
}

// ListenJournal has the journal service listen at an address, in place of where it did.
func (r *Rig) ListenJournal(addr string) (err error) {
	r.Journal.Close()
	if r.Journal, err = net.Listen("tcp4", addr); err == nil {
		r.T.Cleanup(func() { r.Journal.Close() })
	}
	return err
}

// Accept is a connection of the front end to the journal, and the number that it began with.
func (r *Rig) Accept() (net.Conn, uint64) {
	conn, err := r.Journal.Accept()
	require.NoError(r.T, err)
	r.T.Cleanup(func() { conn.Close() })
	var last uint64
	require.NoError(r.T, binary.Read(bufio.NewReader(conn), binary.BigEndian, &last))
	return conn, last
}
