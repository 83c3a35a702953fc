package standin

import (
	"encoding/binary"
	"net"
	"sync"
	"time"
)

const (
	frameLength   = 4    // bytes that give a frame's length
	frameHeader   = 10   // bytes before what a frame carries
	lastHelloKind = 3    // kinds up to it open a link and come once
	mostHeld      = 4096 // frames that wait in one direction of a connection
)

// Flow is one direction of all connections of a relay. Frames pass it whole, each with the faults that hold when it comes.
type Flow struct {
	random *Random

	mu     sync.Mutex
	stall  bool
	lose   bool
	twice  bool
	delay  time.Duration
	jitter time.Duration
	rate   int // bytes a second; 0: no limit
	frames int // that were passed on
	bytes  int // of them
	lost   int // frames
	taken  int // frames that have come
	tap    func(frame []byte)
	wake   chan struct{} // closed when a stall ends
}

func newFlow(random *Random) *Flow { return &Flow{random: random, wake: make(chan struct{})} }

// Stall leaves connections open with nothing moving in this direction, or lets it go on.
func (f *Flow) Stall(stall bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stall && !stall {
		close(f.wake)
		f.wake = make(chan struct{})
	}
	f.stall = stall
}

// Lose has all frames vanish on their way, or passes them on again. Connections stay open.
func (f *Flow) Lose(lose bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lose = lose
}

// Slow sets a delay with jitter and a rate in bytes a second, 0 for none. A slow reader is a low rate.
func (f *Flow) Slow(delay, jitter time.Duration, rate int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.delay, f.jitter, f.rate = delay, jitter, rate
}

// Twice has a third of all frames after the hello come twice.
func (f *Flow) Twice(twice bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.twice = twice
}

// Passed is how many frames and bytes were passed on, and how many frames were lost.
func (f *Flow) Passed() (frames, bytes, lost int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.frames, f.bytes, f.lost
}

// Waiting is how many frames have come and are not yet passed on.
func (f *Flow) Waiting() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.taken - f.frames - f.lost
}

// Tap has each frame seen as it comes, whole with its length; nil ends that. See must not keep or change it.
func (f *Flow) Tap(see func(frame []byte)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.tap = see
}

// held waits while this direction stalls.
func (f *Flow) held() {
	for {
		f.mu.Lock()
		stall, wake := f.stall, f.wake
		f.mu.Unlock()
		if !stall {
			return
		}
		<-wake
	}
}

// chunk is what is to be written, and when.
type chunk struct {
	b  []byte
	at time.Time
}

// faulty puts the faults that hold now to a frame; ok is false where it is lost.
func (f *Flow) faulty(frame []byte) (c chunk, pause time.Duration, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.taken++
	if f.tap != nil {
		f.tap(frame)
	}
	if f.lose {
		f.lost++
		return c, 0, false
	}
	c = chunk{b: frame, at: time.Now().Add(f.delay)}
	if f.jitter > 0 {
		c.at = c.at.Add(time.Duration(f.random.Uint64() % uint64(f.jitter)))
	}
	if f.twice && frame[frameLength] > lastHelloKind && f.random.Uint64()%3 == 0 {
		c.b = append(append([]byte(nil), frame...), frame...)
	}
	if f.rate > 0 {
		pause = time.Duration(len(frame)) * time.Second / time.Duration(f.rate)
	}
	return c, pause, true
}

// pass carries frames from one connection to another until the first has ended and what came of it is written. Hold, where it
// is not nil, keeps all frames back until it is closed; they are read meanwhile, so that none is lost with its sender.
func (f *Flow) pass(from, to net.Conn, hold func() <-chan struct{}) {
	list := make(chan chunk, mostHeld)
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.write(to, list, hold)
	}()
	var buf []byte
	b := make([]byte, 32<<10)
	for {
		n, err := from.Read(b)
		if err != nil {
			break
		}
		buf = f.take(append(buf, b[:n]...), list)
		f.held()
	}
	close(list)
	<-done
}

// take takes the whole frames off the front of what was read, and gives the rest.
func (f *Flow) take(buf []byte, list chan<- chunk) []byte {
	for len(buf) >= frameLength {
		size := frameLength + int(binary.BigEndian.Uint32(buf))
		if len(buf) < size {
			break
		}
		frame := append([]byte(nil), buf[:size]...)
		buf = buf[size:]
		c, pause, ok := f.faulty(frame)
		if ok {
			list <- c
		}
		time.Sleep(pause)
	}
	return buf
}

// write writes what is due. Once the other side takes nothing more the rest is thrown away.
func (f *Flow) write(to net.Conn, list <-chan chunk, hold func() <-chan struct{}) {
	ended := false
	for c := range list {
		time.Sleep(time.Until(c.at))
		f.held()
		if release := hold(); release != nil {
			<-release
		}
		if !ended {
			_, err := to.Write(c.b)
			ended = err != nil
		}
		f.passed(len(c.b), ended)
	}
}

// passed counts a frame that was passed on, or is lost as the other side has ended.
func (f *Flow) passed(size int, lost bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if lost {
		f.lost++
		return
	}
	f.frames++
	f.bytes += size
}
