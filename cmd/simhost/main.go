// Command simhost runs instances of the scheduler for the simulator. It reads batches of events, one per line, from
// standard input and writes a reply to each, one per line, to standard output. Package simwire defines the protocol.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"

	"chutechute/internal/simwire"
	"chutechute/scheduler"
)

func main() {
	if err := serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simhost:", err)
		os.Exit(1)
	}
}

// serve replies to each batch of in, until it ends.
func serve(in io.Reader, out io.Writer) error {
	h := host{decoder: simwire.NewDecoder(), instances: map[int]*scheduler.Scheduler{}}
	lines := bufio.NewReaderSize(in, 1<<20)
	for lineNumber := 1; ; lineNumber++ {
		line, err := lines.ReadBytes('\n')
		if len(line) > 0 {
			reply, err := h.handleBatch(line)
			if err != nil {
				return fmt.Errorf("line %d: %w", lineNumber, err)
			}
			if _, err := out.Write(reply); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// host holds the running instances of the scheduler.
type host struct {
	decoder   *simwire.Decoder
	instances map[int]*scheduler.Scheduler // by the number that the simulator gives them
	reply     simwire.Reply
}

// handleBatch passes to each instance all its events of a batch in one step, in the order in which the instances first
// appear in the batch, and returns the reply. Events that precede a start or stop of their instance in the batch are
// dropped.
func (h *host) handleBatch(line []byte) ([]byte, error) {
	now, messages, err := h.decoder.Batch(line)
	if err != nil {
		return nil, err
	}
	var order []int
	events := map[int][]scheduler.Event{}
	for _, message := range messages {
		if _, seen := events[message.Instance]; !seen {
			order = append(order, message.Instance)
			events[message.Instance] = []scheduler.Event{}
		}
		switch {
		case message.Stop:
			delete(h.instances, message.Instance)
			events[message.Instance] = []scheduler.Event{}
		case message.Start != nil:
			instance, err := scheduler.New(message.Start.Config, message.Start.Seed)
			if err != nil {
				h.reply.AddFailure(message.Instance, err.Error())
				return h.reply.Line(), nil
			}
			h.instances[message.Instance] = instance
			events[message.Instance] = []scheduler.Event{}
		default:
			events[message.Instance] = append(events[message.Instance], message.Event)
		}
	}
	for _, number := range order {
		if instance := h.instances[number]; instance != nil {
			h.reply.Add(number, instance.Step(now, events[number]))
		}
	}
	return h.reply.Line(), nil
}
