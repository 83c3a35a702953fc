package fleet

import (
	"chutechute/fleet/heartbeat"
	"chutechute/fleet/transport"
	"chutechute/internal/proto"
)

// A way may fail in one direction alone. Who is heard and says in its heartbeats that it does not hear this front end is told
// by way of another that it does hear; and who is not heard itself, but elsewhere, is told both directly and by way of one who
// hears it. One hop, small messages only. A message that comes twice does no harm, so nothing rests on this being right.

// relayed is a message on its way through a third front end.
type relayed struct {
	To          string
	From        string
	Incarnation uint64
	Kind        transport.Kind
	Body        []byte
}

func (r *relayed) encode() []byte {
	b := make([]byte, 0, len(r.Body)+64)
	b = proto.String(b, 1, r.To)
	b = proto.String(b, 2, r.From)
	b = proto.Uint(b, 3, r.Incarnation)
	b = proto.Uint(b, 4, uint64(r.Kind))
	return proto.Message(b, 5, r.Body)
}

func decodeRelayed(b []byte) (r relayed, err error) {
	err = proto.Each(b, func(f proto.Field) error {
		switch f.Number {
		case 1:
			r.To = f.Text()
		case 2:
			r.From = f.Text()
		case 3:
			r.Incarnation = f.Uint
		case 4:
			r.Kind = transport.Kind(f.Uint)
		case 5:
			r.Body = f.Copy()
		}
		return nil
	})
	return r, err
}

// tell sends a message, by way of another where the direct way is known to fail.
func (n *Node) tell(to string, kind transport.Kind, bulk bool, body []byte) {
	n.actions = append(n.actions, Send{To: to, Kind: kind, Bulk: bulk, Body: body})
	if via := n.detour(to); via != "" && !bulk && len(body) < transport.MaxFrameBody {
		n.Relayed++
		r := relayed{to, n.cfg.Name, n.cfg.Incarnation, kind, body}
		n.actions = append(n.actions, Send{To: via, Kind: transport.Relay, Body: r.encode()})
	}
}

// hears says whether a heartbeat tells that its sender has heard that process of late.
func (n *Node) hears(s *status, name string, incarnation uint64) bool {
	for _, r := range s.Reports {
		if r.Name == name {
			return r.Incarnation == incarnation && r.Age < n.cfg.Heartbeat.SuspectAfter
		}
	}
	return false
}

// detour is the front end by way of which another is to be told; empty where the direct way serves.
func (n *Node) detour(to string) (via string) {
	m, s := n.members.Lookup(to), n.others[to]
	if m == nil || s == nil || s.Incarnation != m.Incarnation {
		return ""
	}
	switch {
	case m.State == heartbeat.Alive && !n.hears(s, n.cfg.Name, n.cfg.Incarnation):
		for _, o := range n.members.Peers() {
			if o == m || o.Incarnation == 0 || !n.hears(s, o.Name, o.Incarnation) {
				continue
			}
			if via == "" || o.State == heartbeat.Alive && n.members.Lookup(via).State != heartbeat.Alive {
				via = o.Name
			}
		}
	case m.State == heartbeat.IndirectlyAlive:
		for _, o := range n.members.Peers() {
			if os := n.others[o.Name]; o != m && o.State == heartbeat.Alive && os != nil && n.hears(os, to, m.Incarnation) {
				return o.Name
			}
		}
	}
	return via
}

// relay takes a message that came through another, or hands one on.
func (n *Node) relay(l Link, body []byte) error {
	r, err := decodeRelayed(body)
	switch {
	case err != nil:
		return err
	case r.Kind == transport.Relay || r.Kind == transport.ControlHeartbeat || n.members.Lookup(r.From) == nil:
		return nil
	case r.To == n.cfg.Name:
		return n.Receive(n.now, Link{From: r.From, Incarnation: r.Incarnation}, r.Kind, r.Body)
	case r.From == l.From && n.members.Lookup(r.To) != nil:
		n.actions = append(n.actions, Send{To: r.To, Kind: transport.Relay, Body: body})
	}
	return nil
}
