package replication

import (
	"encoding/binary"
	"fmt"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"chutechute/internal/monotime"
)

// replicatedState is the state that all replicas agree on: the state machines, the members, and a checksum over all
// responses so far, which reveals replicas that diverge.
type replicatedState struct {
	stateMachines   map[uint32]StateMachine // by ID
	inOrder         []StateMachine          // in the order of Config.StateMachines
	members         map[uint64]Member
	index           uint64               // of the last applied entry
	checksum        uint64               // after the last applied entry
	recentChecksums [128]checksumAtIndex // of the last entries; not a part of the state
	notify          func(Incarnation, string)
}

type checksumAtIndex struct{ index, checksum uint64 }

func newReplicatedState(stateMachines []StateMachine, notify func(to Incarnation, topic string)) *replicatedState {
	s := &replicatedState{
		stateMachines: map[uint32]StateMachine{},
		inOrder:       stateMachines,
		members:       map[uint64]Member{},
		notify:        notify,
	}
	for _, stateMachine := range stateMachines {
		s.stateMachines[stateMachine.ID()] = stateMachine
	}
	return s
}

// supports reports whether this build supports the state machine and the version of a command.
func (s *replicatedState) supports(c Command) bool {
	stateMachine := s.stateMachines[c.StateMachineID]
	return stateMachine != nil && c.Version <= stateMachine.Version()
}

// apply applies a committed entry and returns its command and the response to it.
func (s *replicatedState) apply(index uint64, data []byte, now monotime.Micros) (Command, Response) {
	command, err := DecodeCommand(data)
	response := Response{Sequence: command.Sequence, Result: Unsupported}
	if err == nil && s.supports(command) {
		response.Result = Committed
		context := ApplyContext{Index: index, Now: now, Notify: s.notify}
		response.Body = s.stateMachines[command.StateMachineID].Apply(context, command.Proposer, command.Body)
	}
	s.advance(index, response.Body)
	return command, response
}

// advance moves to the index of an applied entry and adds the response to the checksum.
func (s *replicatedState) advance(index uint64, response []byte) {
	b := binary.LittleEndian.AppendUint64(make([]byte, 0, 16+len(response)), s.checksum)
	b = binary.LittleEndian.AppendUint64(b, index)
	s.index, s.checksum = index, xxhash.Sum64(append(b, response...))
	s.recentChecksums[index%uint64(len(s.recentChecksums))] = checksumAtIndex{index, s.checksum}
}

// diverges reports whether another replica's checksum at an index differs from this one's. It returns false if this
// one's is no longer stored.
func (s *replicatedState) diverges(index, checksum uint64) bool {
	recent := s.recentChecksums[index%uint64(len(s.recentChecksums))]
	return index != 0 && recent.index == index && recent.checksum != checksum
}

// member returns a replica's ID, name and zone, or only the ID if the others are unknown.
func (s *replicatedState) member(id uint64) Member {
	if member, ok := s.members[id]; ok {
		return member
	}
	return Member{ID: id}
}

// snapshot returns the encoding of the whole state.
func (s *replicatedState) snapshot() []byte {
	snapshot := stateSnapshot{index: s.index, checksum: s.checksum}
	for _, stateMachine := range s.inOrder {
		snapshot.parts = append(snapshot.parts, snapshotPart{
			stateMachineID: uint64(stateMachine.ID()),
			version:        uint64(stateMachine.Version()),
			state:          stateMachine.AppendSnapshot(nil),
		})
	}
	for _, id := range slices.Sorted(maps.Keys(s.members)) {
		snapshot.members = append(snapshot.members, s.members[id])
	}
	return snapshot.encode()
}

// restore replaces the state by that of an encoded snapshot, or by the empty state if b is empty.
func (s *replicatedState) restore(b []byte, now monotime.Micros) error {
	snapshot, err := decodeStateSnapshot(b)
	s.index, s.checksum = snapshot.index, snapshot.checksum
	clear(s.members)
	if err != nil {
		return err
	}
	states, err := s.statesOf(snapshot.parts)
	if err != nil {
		return err
	}
	for _, member := range snapshot.members {
		s.members[member.ID] = member
	}
	for _, stateMachine := range s.inOrder {
		if err := stateMachine.Restore(states[stateMachine.ID()], now); err != nil {
			return err
		}
	}
	return nil
}

// statesOf returns the encoded states in a snapshot by state machine ID. It fails unless this build supports them all.
func (s *replicatedState) statesOf(parts []snapshotPart) (map[uint32][]byte, error) {
	states := map[uint32][]byte{}
	for _, part := range parts {
		id := uint32(part.stateMachineID)
		stateMachine := s.stateMachines[id]
		if stateMachine == nil || part.version > uint64(stateMachine.Version()) {
			return nil, fmt.Errorf(
				"replication: snapshot contains state machine %d, version %d, which this build does not support",
				part.stateMachineID, part.version)
		}
		states[id] = part.state
	}
	return states, nil
}
