package standin

import (
	"encoding/binary"
	"net"
	"sync"
	"time"

	"chutechute/fleet/transport"
)

// A frame between front ends is its length (4 bytes), its kind (1), flags (1), an offset (4) and the body.
const (
	frameLengthSize  = 4
	frameKindOffset  = 4
	frameBodyOffset  = 10
	maxQueuedFrames  = 4096      // that wait to be written in one direction of a connection
	readBufferSize   = 32 << 10  // bytes
	duplicationRatio = uint64(3) // one frame in so many is duplicated
)

// lastHandshakeKind is the last of the kinds of the handshake, whose frames come once on a connection.
const lastHandshakeKind = transport.Welcome

// frameKind returns the kind of a whole frame.
func frameKind(frame []byte) transport.Kind { return transport.Kind(frame[frameKindOffset]) }

// Flow is one direction of all connections of a proxy, with the faults injected into it. Frames pass whole, each
// with the faults that are set when it arrives. It is safe for concurrent use.
type Flow struct {
	random *Random

	mu             sync.Mutex
	stalled        bool
	resumed        chan struct{} // closed when a stall ends
	dropping       bool
	duplicating    bool
	delay          time.Duration
	jitter         time.Duration
	bytesPerSecond int // 0: no limit
	received       int // frames
	forwarded      int // frames
	forwardedBytes int
	dropped        int // frames
	observe        func(frame []byte)
}

func newDirection(random *Random) *Flow { return &Flow{random: random, resumed: make(chan struct{})} }

// Stall stops all traffic in this direction, or resumes it. Connections stay open, and nothing is lost.
func (f *Flow) Stall(stall bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stalled && !stall {
		close(f.resumed)
		f.resumed = make(chan struct{})
	}
	f.stalled = stall
}

// Lose drops all frames that arrive, or forwards them again. Connections stay open.
func (f *Flow) Lose(lose bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dropping = lose
}

// Slow sets the delay of each frame, a random jitter below the given one that is added to it, and the rate in bytes a
// second. 0 is no delay, no jitter or no limit. A low rate is what a slow reader looks like.
func (f *Flow) Slow(delay, jitter time.Duration, rate int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.delay, f.jitter, f.bytesPerSecond = delay, jitter, rate
}

// Twice has a random third of all frames after the handshake forwarded twice, or no more.
func (f *Flow) Twice(twice bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.duplicating = twice
}

// Passed returns how many frames and bytes were forwarded, and how many frames were dropped. A duplicated frame counts
// once, with the bytes of both.
func (f *Flow) Passed() (frames, bytes, lost int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.forwarded, f.forwardedBytes, f.dropped
}

// Waiting returns how many frames have arrived and are neither forwarded nor dropped yet.
func (f *Flow) Waiting() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.received - f.forwarded - f.dropped
}

// Tap has see called with each frame that arrives, header included; nil ends that. See must neither keep nor change the
// frame.
func (f *Flow) Tap(see func(frame []byte)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.observe = see
}

// waitResumed waits while this direction is stalled.
func (f *Flow) waitResumed() {
	for {
		f.mu.Lock()
		stalled, resumed := f.stalled, f.resumed
		f.mu.Unlock()
		if !stalled {
			return
		}
		<-resumed
	}
}

// delayedWrite is bytes that are to be written once their time has come.
type delayedWrite struct {
	bytes []byte
	due   time.Time
}

// applyFaults applies the faults that are set now to a frame. It returns what is to be written, and for how long
// nothing more is to be read; ok is false where the frame is dropped.
func (f *Flow) applyFaults(frame []byte) (write delayedWrite, pause time.Duration, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.received++
	if f.observe != nil {
		f.observe(frame)
	}
	if f.dropping {
		f.dropped++
		return delayedWrite{}, 0, false
	}
	write = delayedWrite{bytes: frame, due: time.Now().Add(f.delay)}
	if f.jitter > 0 {
		write.due = write.due.Add(time.Duration(f.random.Uint64() % uint64(f.jitter)))
	}
	if f.duplicating && frameKind(frame) > lastHandshakeKind && f.random.Uint64()%duplicationRatio == 0 {
		write.bytes = append(append([]byte(nil), frame...), frame...)
	}
	if f.bytesPerSecond > 0 {
		pause = time.Duration(len(frame)) * time.Second / time.Duration(f.bytesPerSecond)
	}
	return write, pause, true
}

// forward forwards frames from one connection to the other. It returns once the first has ended and all that came of it
// is written or thrown away. While heldUntil returns a channel, frames are read but not written until it is closed, so
// that none is lost with its sender.
func (f *Flow) forward(from, to net.Conn, heldUntil func() <-chan struct{}) {
	queue := make(chan delayedWrite, maxQueuedFrames)
	written := make(chan struct{})
	go func() {
		defer close(written)
		f.writeQueue(to, queue, heldUntil)
	}()
	var unparsed []byte
	buffer := make([]byte, readBufferSize)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			break
		}
		unparsed = f.queueFrames(append(unparsed, buffer[:n]...), queue)
		f.waitResumed()
	}
	close(queue)
	<-written
}

// queueFrames takes the whole frames off the front of what was read, queues what is to be written of them, and returns
// the rest.
func (f *Flow) queueFrames(unparsed []byte, queue chan<- delayedWrite) []byte {
	for len(unparsed) >= frameLengthSize {
		size := frameLengthSize + int(binary.BigEndian.Uint32(unparsed))
		if len(unparsed) < size {
			break
		}
		frame := append([]byte(nil), unparsed[:size]...)
		unparsed = unparsed[size:]
		write, pause, ok := f.applyFaults(frame)
		if ok {
			queue <- write
		}
		time.Sleep(pause)
	}
	return unparsed
}

// writeQueue writes what is queued, each when it is due. Once the connection takes nothing more the rest is thrown
// away.
func (f *Flow) writeQueue(to net.Conn, queue <-chan delayedWrite, heldUntil func() <-chan struct{}) {
	failed := false
	for write := range queue {
		time.Sleep(time.Until(write.due))
		f.waitResumed()
		if released := heldUntil(); released != nil {
			<-released
		}
		if !failed {
			_, err := to.Write(write.bytes)
			failed = err != nil
		}
		f.countWrite(len(write.bytes), failed)
	}
}

// countWrite counts a frame that was forwarded, or that is lost as its receiver has ended.
func (f *Flow) countWrite(size int, lost bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if lost {
		f.dropped++
		return
	}
	f.forwarded++
	f.forwardedBytes += size
}
