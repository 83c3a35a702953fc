package main

import (
	"encoding/binary"
	"io"
	"net"
	"strconv"
	"sync"
	"time"
)

const (
	stateReady    = 0
	stateDraining = 1
	stateGone     = 2
)

// journal is a stand-in for the journal service.
type journal struct {
	w        *world
	listener net.Listener
	mu       sync.Mutex
	events   [][]byte // frames; the number of the first is firstEvent
	last     uint64
	changed  chan struct{}
}

// startJournal starts a journal service whose first events, up to known, are in the configurations.
func startJournal(w *world, known uint64) *journal {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	check(err, "journal")
	j := &journal{w: w, listener: listener, last: known, changed: make(chan struct{})}
	w.atEnd(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go j.serve(conn, known)
		}
	}()
	return j
}

// tell adds an event that changes the state of engines. It counts as told from then on.
func (j *journal) tell(state byte, list ...*engine) time.Time {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.last++
	var records []byte
	for _, e := range list {
		id, _ := strconv.ParseUint(e.uid[2:], 16, 32)
		records = binary.BigEndian.AppendUint32(records, uint32(id))
		records = append(records, e.addr.IP.To4()...)
		records = binary.BigEndian.AppendUint16(records, uint16(e.addr.Port))
		records = append(records, state, 0, 0, 0, 0)
		records = binary.BigEndian.AppendUint32(records, 1000)
		records = binary.BigEndian.AppendUint64(records, uint64(e.bootMS))
		j.w.log("journal: event %d, %s is in state %d", j.last, e.uid, state)
	}
	j.events = append(j.events, frame(j.last, 2, records))
	close(j.changed)
	j.changed = make(chan struct{})
	return time.Now()
}

// frame returns a frame with a number and a kind.
func frame(number uint64, kind byte, payload []byte) []byte {
	b := binary.BigEndian.AppendUint32(nil, uint32(9+len(payload)))
	b = binary.BigEndian.AppendUint64(b, number)
	return append(append(b, kind), payload...)
}

// serve tells one front end all events after the one that it names, and an empty frame each second.
func (j *journal) serve(conn net.Conn, known uint64) {
	defer conn.Close()
	var hello [8]byte
	if _, err := io.ReadFull(conn, hello[:]); err != nil {
		return
	}
	next := max(known, binary.BigEndian.Uint64(hello[:])) - known // index of the next event
	for {
		j.mu.Lock()
		events, changed := j.events[min(next, uint64(len(j.events))):], j.changed
		last := j.last
		j.mu.Unlock()
		for _, event := range events {
			if _, err := conn.Write(event); err != nil {
				return
			}
			next++
		}
		select {
		case <-changed:
		case <-time.After(time.Second):
			if _, err := conn.Write(frame(last, 0, nil)); err != nil {
				return
			}
		}
	}
}
