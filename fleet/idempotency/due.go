package idempotency

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"chutechute/fleet/replication"
	"chutechute/internal/monotime"
)

const (
	// maxDueCommands bounds the commands of one call of DueCommands.
	maxDueCommands = 256
	// maxTransferOffers bounds the transfers that one call of DueCommands offers, so that a lost front end with many
	// started requests overloads neither engines nor the log.
	maxTransferOffers = 64
	// transferOfferInterval is how long a new owner may take to poll before it is notified again.
	transferOfferInterval = monotime.Second
	// clockDriftDivisor bounds how much faster one machine's clock may run than another's: one part in so many.
	clockDriftDivisor = 100
	// expiryMargin is added to the time after which a request expires.
	expiryMargin = monotime.Second / 2
)

// DueCommands returns the encoded commands that are due by this machine's clock, at most maxDueCommands: requests that
// expired, outcomes to evict, and started requests whose owner is unreachable. The leader proposes them.
func (r *Registry) DueCommands(now monotime.Micros, processes replication.FailureDetector) (commands [][]byte) {
	offers := 0
	for _, rec := range r.ordered {
		if len(commands) >= maxDueCommands {
			break
		}
		command := r.dueCommand(rec, now, processes, offers < maxTransferOffers)
		if command == nil {
			continue
		}
		if command.Op == OfferTransfer {
			offers++
		}
		commands = append(commands, command.Encode())
	}
	return commands
}

// dueCommand returns the command that is due for a record, or nil.
func (r *Registry) dueCommand(
	rec *record, now monotime.Micros, processes replication.FailureDetector, mayOffer bool,
) *Command {
	switch {
	case rec.phase.Finished():
		if now-rec.changedAt >= r.options.Retention {
			return rec.leaderCommand(Evict)
		}
	case rec.phase == Started:
		if now-rec.registeredAt >= rec.lifetime()+replication.AbandonTimeout {
			return rec.leaderCommand(Expire)
		}
		if mayOffer {
			return rec.dueTransfer(now, processes)
		}
	case rec.phase == Waiting:
		if now-rec.registeredAt >= rec.lifetime() || r.isOrphaned(rec, now, processes) {
			return rec.leaderCommand(Expire)
		}
	}
	return nil
}

// leaderCommand returns a command of the leader, which counts only if the record does not change before it.
func (rec *record) leaderCommand(op Op) *Command {
	return &Command{Op: op, IdempotencyKey: rec.idempotencyKey, ChangedIndex: rec.changedIndex}
}

// lifetime returns how long after its registration the owner may start and poll for attempts of the request: the
// client's timeout, with the maximal clock drift and a margin.
func (rec *record) lifetime() monotime.Micros {
	ttl := monotime.Micros(rec.ttl)
	return ttl + ttl/clockDriftDivisor + expiryMargin
}

// dueTransfer returns the offer that a started request needs, or nil: to another front end if its owner is unreachable,
// or once more to an owner that started none of its attempts, as the notification may have been lost.
func (rec *record) dueTransfer(now monotime.Micros, processes replication.FailureDetector) *Command {
	newOwner := rec.owner
	if processes.Unreachable(rec.owner) {
		newOwner = successor(rec.idempotencyKey, processes.Live())
		if newOwner == rec.owner {
			return nil
		}
	} else if rec.lastAttempt().owner == rec.owner || now-rec.changedAt < transferOfferInterval {
		return nil
	}
	command := rec.leaderCommand(OfferTransfer)
	command.NewOwner = uint64(newOwner)
	return command
}

// isOrphaned reports whether the owner of an unstarted request has been presumed dead for the orphan timeout.
func (r *Registry) isOrphaned(rec *record, now monotime.Micros, processes replication.FailureDetector) bool {
	if !processes.PresumedDead(rec.owner) {
		rec.ownerMissedAt = 0
		return false
	}
	if rec.ownerMissedAt == 0 {
		rec.ownerMissedAt = now
	}
	return now-rec.ownerMissedAt >= r.options.OrphanTimeout
}

// successor returns the process that takes over a request, by rendezvous hashing of the request and the live
// processes, so that no process gets all requests of a lost one. Without live processes it is 0.
func successor(idempotencyKey string, live []replication.Incarnation) (best replication.Incarnation) {
	var bestHash uint64
	for _, process := range live {
		hash := xxhash.Sum64(binary.LittleEndian.AppendUint64([]byte(idempotencyKey), uint64(process)))
		if best == 0 || hash > bestHash {
			best, bestHash = process, hash
		}
	}
	return best
}
