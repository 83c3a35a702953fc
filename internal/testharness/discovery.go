package testharness

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"fmt"
	"net"

	"github.com/stretchr/testify/require"

	"chutechute/scheduler"
)

// discoveryFrameHeader is the length, in bytes, of a discovery frame's sequence number and kind.
const discoveryFrameHeader = 9

// DiscoveryFrame returns a frame of the discovery service: its length, sequence number and kind, followed by the
// records.
func DiscoveryFrame(number uint64, kind byte, records ...[]byte) []byte {
	payload := bytes.Join(records, nil)
	frame := binary.BigEndian.AppendUint32(nil, uint32(discoveryFrameHeader+len(payload)))
	frame = binary.BigEndian.AppendUint64(frame, number)
	return append(append(frame, kind), payload...)
}

// DiscoveryRecord returns the engine's discovery record with the given state. The engine's name must have the form
// s-%x.
func (e *StubEngine) DiscoveryRecord(state byte) []byte {
	return discoveryRecord(e.Name, e.Addr, state)
}

func discoveryRecord(name string, address *net.TCPAddr, state byte) []byte {
	var number uint32
	fmt.Sscanf(name, "s-%x", &number)
	record := append(binary.BigEndian.AppendUint32(nil, number), address.IP.To4()...)
	record = append(binary.BigEndian.AppendUint16(record, uint16(address.Port)), state, 0, 0, 0, 0, 0, 0, 3, 232)
	return append(record, make([]byte, 8)...)
}

// PublishState reports a new state of an engine to all front ends.
func (f *Fleet) PublishState(engine *RecordingEngine, state scheduler.EngineState) {
	const changes = 2 // kind of a frame that lists changes
	f.LogStep("engine %s: state %d", engine.Name, state)
	f.lastEvent++
	f.discovery.Publish(DiscoveryFrame(f.lastEvent, changes, discoveryRecord(engine.Name, engine.Addr, byte(state))))
}

// ListenDiscovery closes the listener of the stub discovery service and opens a new one at addr. It returns an error if
// it can't listen there.
func (h *Harness) ListenDiscovery(addr string) (err error) {
	h.DiscoveryListener.Close()
	if h.DiscoveryListener, err = net.Listen("tcp4", addr); err == nil {
		h.T.Cleanup(func() { h.DiscoveryListener.Close() })
	}
	return err
}

// AcceptDiscovery accepts the next connection of the front end to the stub discovery service. It returns the connection
// and the sequence number after which the front end requests events. The test fails if no connection can be accepted or
// the number can't be read.
func (h *Harness) AcceptDiscovery() (net.Conn, uint64) {
	conn, err := h.DiscoveryListener.Accept()
	require.NoError(h.T, err)
	h.T.Cleanup(func() { conn.Close() })
	var last uint64
	require.NoError(h.T, binary.Read(bufio.NewReader(conn), binary.BigEndian, &last))
	return conn, last
}
