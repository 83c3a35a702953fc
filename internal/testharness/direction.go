package testharness

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
	maxQueuedFrames  = 4096      // frames that wait to be written, per direction of a connection
	readBufferSize   = 32 << 10  // bytes
	duplicationRatio = uint64(3) // one in this many frames is duplicated
)

// lastHandshakeKind is the highest of the kinds of handshake frames. Those are sent only once per connection.
const lastHandshakeKind = transport.Welcome

// frameKind returns the kind of a complete frame.
func frameKind(frame []byte) transport.Kind { return transport.Kind(frame[frameKindOffset]) }

// ProxyDirection is one direction of all connections of a proxy, with the faults injected into it. It forwards complete
// frames only, and applies to each the faults that are set when it arrives. It is safe for concurrent use.
type ProxyDirection struct {
	random *Random

	mu             sync.Mutex
	stalled        bool
	resumed        chan struct{} // closed and replaced when a stall ends
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

func newDirection(random *Random) *ProxyDirection {
	return &ProxyDirection{random: random, resumed: make(chan struct{})}
}

// SetStalled stops or resumes all traffic in this direction. Connections stay open, and nothing is lost.
func (d *ProxyDirection) SetStalled(stall bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stalled && !stall {
		close(d.resumed)
		d.resumed = make(chan struct{})
	}
	d.stalled = stall
}

// SetDropping sets whether arriving frames are dropped. Connections stay open.
func (d *ProxyDirection) SetDropping(drop bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.dropping = drop
}

// SetDelay sets the delay of each frame, the upper bound of a random jitter that is added to it, and the rate limit in
// bytes per second. 0 is no delay, no jitter or no limit. A low rate simulates a slow reader.
func (d *ProxyDirection) SetDelay(delay, jitter time.Duration, bytesPerSecond int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.delay, d.jitter, d.bytesPerSecond = delay, jitter, bytesPerSecond
}

// SetDuplicating sets whether frames are duplicated: a random third of all frames after the handshake is forwarded
// twice.
func (d *ProxyDirection) SetDuplicating(duplicate bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.duplicating = duplicate
}

// FrameCounts returns the numbers of forwarded frames, forwarded bytes and dropped frames. A duplicated frame counts as
// one frame, with the bytes of both copies.
func (d *ProxyDirection) FrameCounts() (frames, bytes, dropped int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.forwarded, d.forwardedBytes, d.dropped
}

// PendingFrames returns the number of frames that have arrived and are neither forwarded nor dropped yet.
func (d *ProxyDirection) PendingFrames() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.received - d.forwarded - d.dropped
}

// Observe sets a function that is called with each arriving frame, header included; nil removes it. The function must
// neither keep nor change the frame.
func (d *ProxyDirection) Observe(observe func(frame []byte)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.observe = observe
}

// waitResumed waits while this direction is stalled.
func (d *ProxyDirection) waitResumed() {
	for {
		d.mu.Lock()
		stalled, resumed := d.stalled, d.resumed
		d.mu.Unlock()
		if !stalled {
			return
		}
		<-resumed
	}
}

// delayedWrite is data to be written at the time due.
type delayedWrite struct {
	bytes []byte
	due   time.Time
}

// applyFaults applies the current faults to a frame. It returns what to write, and for how long to stop reading
// afterwards; ok is false if the frame is dropped.
func (d *ProxyDirection) applyFaults(frame []byte) (write delayedWrite, pause time.Duration, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.received++
	if d.observe != nil {
		d.observe(frame)
	}
	if d.dropping {
		d.dropped++
		return delayedWrite{}, 0, false
	}
	write = delayedWrite{bytes: frame, due: time.Now().Add(d.delay)}
	if d.jitter > 0 {
		write.due = write.due.Add(time.Duration(d.random.Uint64() % uint64(d.jitter)))
	}
	if d.duplicating && frameKind(frame) > lastHandshakeKind && d.random.Uint64()%duplicationRatio == 0 {
		write.bytes = append(append([]byte(nil), frame...), frame...)
	}
	if d.bytesPerSecond > 0 {
		pause = time.Duration(len(frame)) * time.Second / time.Duration(d.bytesPerSecond)
	}
	return write, pause, true
}

// forward forwards frames from one connection to the other. It returns once the first has ended and everything that was
// read from it has been written or discarded. If heldUntil returns a channel, frames are read, but are not written
// until the channel is closed, so that they survive the end of their sender.
func (d *ProxyDirection) forward(from, to net.Conn, heldUntil func() <-chan struct{}) {
	queue := make(chan delayedWrite, maxQueuedFrames)
	written := make(chan struct{})
	go func() {
		defer close(written)
		d.writeQueue(to, queue, heldUntil)
	}()
	var unparsed []byte
	buffer := make([]byte, readBufferSize)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			break
		}
		unparsed = d.queueFrames(append(unparsed, buffer[:n]...), queue)
		d.waitResumed()
	}
	close(queue)
	<-written
}

// queueFrames removes the complete frames from the start of the unparsed data, queues those that are not dropped, and
// returns the rest of the data.
func (d *ProxyDirection) queueFrames(unparsed []byte, queue chan<- delayedWrite) []byte {
	for len(unparsed) >= frameLengthSize {
		size := frameLengthSize + int(binary.BigEndian.Uint32(unparsed))
		if len(unparsed) < size {
			break
		}
		frame := append([]byte(nil), unparsed[:size]...)
		unparsed = unparsed[size:]
		write, pause, ok := d.applyFaults(frame)
		if ok {
			queue <- write
		}
		time.Sleep(pause)
	}
	return unparsed
}

// writeQueue performs the queued writes, each when it is due. After a write has failed, it discards the rest.
func (d *ProxyDirection) writeQueue(to net.Conn, queue <-chan delayedWrite, heldUntil func() <-chan struct{}) {
	failed := false
	for write := range queue {
		time.Sleep(time.Until(write.due))
		d.waitResumed()
		if released := heldUntil(); released != nil {
			<-released
		}
		if !failed {
			_, err := to.Write(write.bytes)
			failed = err != nil
		}
		d.countWrite(len(write.bytes), failed)
	}
}

// countWrite counts a frame as forwarded, or as dropped if it is lost because its receiver has ended.
func (d *ProxyDirection) countWrite(size int, lost bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if lost {
		d.dropped++
		return
	}
	d.forwarded++
	d.forwardedBytes += size
}
