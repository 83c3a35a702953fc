package main

import (
	"encoding/binary"
	"fmt"
	"strings"
	"time"
)

func init() { cases["halves"] = halfRequests }

// halfRequests: a usual client has reports open and writes a large load on the same connection, in pieces, over 1 s.
// Meanwhile bad clients send half a request each, and no more. The usual client must get its answers.
func halfRequests(w *world) {
	const memoryMB, badClients, open = 192, 260, 8
	es := startEngines(w, 6)
	j := startJournal(w, knownEvents)
	f := newFrontEnd(w, "n1", 1, 0, j, es)
	f.configuration["limits"].(map[string]any)["memory_mb"] = memoryMB
	writeJSON(f.config, f.configuration)
	f.start()
	var bad []*client
	if w.trouble {
		for range badClients {
			bad = append(bad, mustDial(w, "bad", f.listen))
		}
	}
	office := mustDial(w, "office", f.listen)
	if !office.healthy() {
		giveUp("not healthy")
	}
	type openRequest struct {
		id     string
		result chan answer
	}
	var list []openRequest
	for n := range open {
		id := newID()
		_, result := office.call(fmt.Sprintf("SELECT * FROM ops_%d.seats /* ms=3000 */", n), "op", "report", "call", id, "org",
			"volta-air", "ttl", "20000", "work", "6000.0", "mb", "64")
		w.log("office: report id=%s sent", id)
		list = append(list, openRequest{id, result})
	}
	time.Sleep(300 * time.Millisecond)
	statement := "INSERT INTO ops_1.manifest VALUES " + strings.Repeat("(1,'seat 14C'),", 13000) + "(1,'x') /* ms=300 */"
	id := newID()
	office.mu.Lock()
	seq, message := office.message("call", request(statement, load(id, newKey(), newID(), 20*time.Second)...))
	result := make(chan answer, 1)
	office.pending[seq] = result
	office.mu.Unlock()
	list = append(list, openRequest{id, result})
	w.log("office: load id=%s of %d bytes is being written", id, len(message))
	written := make(chan error, 1)
	go func() { // in pieces, over 1 s
		var err error
		for n := 0; n < len(message) && err == nil; n += len(message) / 20 {
			_, err = office.conn.Write(message[n:min(len(message), n+len(message)/20)])
			time.Sleep(50 * time.Millisecond)
		}
		written <- err
	}()
	time.Sleep(700 * time.Millisecond)
	w.disrupt(fmt.Sprintf("%d bad clients send half a request each", badClients), func() {
		half := append(binary.BigEndian.AppendUint32(nil, 250<<10), make([]byte, 120<<10)...)
		for _, c := range bad {
			go func() { _, _ = c.conn.Write(half) }()
		}
	})
	w.log("the load is written: %v", <-written)
	for n, r := range list {
		a := <-r.result
		w.log("office: id=%s answered: %s", r.id, a.kind)
		if a.kind == "closed" && n < open { // the load's last byte was never written, so it was not taken
			w.breach("id %s has no answer, its connection was closed", r.id)
		}
	}
	w.log("the front end closed %d connections as the buffers of clients were exhausted",
		strings.Count(f.logText(), "client buffers exhausted"))
}
