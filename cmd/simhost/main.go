// Command simhost plays instances of the decision module on the simulator's
// wire: batches of events on standard input, a reply to each on standard output.
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

// serve answers batches until the input ends.
func serve(in io.Reader, out io.Writer) error {
	h := host{decoder: simwire.NewDecoder(), instances: map[int]*scheduler.Scheduler{}}
	r := bufio.NewReaderSize(in, 1<<20)
	for n := 1; ; n++ {
		line, err := r.ReadBytes('\n')
		if len(line) > 0 {
			reply, err := h.batch(line)
			if err != nil {
				return fmt.Errorf("line %d: %w", n, err)
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

type host struct {
	decoder   *simwire.Decoder
	instances map[int]*scheduler.Scheduler
	reply     simwire.Reply
}

// batch hands each instance its events at once, in the order in which the instances appear.
func (h *host) batch(line []byte) ([]byte, error) {
	now, items, err := h.decoder.Batch(line)
	if err != nil {
		return nil, err
	}
	var order []int
	events := map[int][]scheduler.Event{}
	for _, it := range items {
		if _, seen := events[it.Instance]; !seen {
			order = append(order, it.Instance)
			events[it.Instance] = []scheduler.Event{}
		}
		switch {
		case it.Stop:
			delete(h.instances, it.Instance)
			events[it.Instance] = []scheduler.Event{}
		case it.Start != nil:
			d, err := scheduler.New(it.Start.Config, it.Start.Seed)
			if err != nil {
				h.reply.AddFailure(it.Instance, err.Error())
				return h.reply.Line(), nil
			}
			h.instances[it.Instance] = d
			events[it.Instance] = []scheduler.Event{}
		default:
			events[it.Instance] = append(events[it.Instance], it.Event)
		}
	}
	for _, n := range order {
		if d := h.instances[n]; d != nil {
			h.reply.Add(n, d.Step(now, events[n]))
		}
	}
	return h.reply.Line(), nil
}
