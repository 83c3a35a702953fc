package idempotency

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"chutechute/fleet/replication"
	"chutechute/internal/monotime"
)

const (
	// maxDueCommands bounds the commands that one call of DueCommands returns.
	maxDueCommands = 256
	// maxTransferOffers bounds the OfferTransfer commands of one call of DueCommands, so that the loss of a front end
	// with many started requests overloads neither the engines nor the log.
	maxTransferOffers = 64
	// transferOfferInterval is the interval at which a new owner is notified again, until an attempt of its own is
	// authorized.
	transferOfferInterval = monotime.Second
	// clockDriftDivisor is the inverse of the largest relative drift between the clocks of two machines.
	clockDriftDivisor = 100
	// expiryMargin is a safety margin on the time after which a request expires.
	expiryMargin = monotime.Second / 2
)

// DueCommands returns the encoded commands that are due by this machine's clock, at most maxDueCommands of them. They
// expire requests, evict outcomes, and transfer started requests whose owner is unreachable. The leader proposes them.
func (r *Registry) DueCommands(now monotime.Micros, detector replication.FailureDetector) (commands [][]byte) {
	offers := 0
	for _, rec := range r.ordered {
		if len(commands) >= maxDueCommands {
			break
		}
		command := r.dueCommand(rec, now, detector, offers < maxTransferOffers)
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

// dueCommand returns the command that is due for a record, or nil. It offers a transfer only if mayOffer is set.
func (r *Registry) dueCommand(
	rec *record, now monotime.Micros, detector replication.FailureDetector, mayOffer bool,
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
			return rec.dueTransfer(now, detector)
		}
	case rec.phase == Waiting:
		if now-rec.registeredAt >= rec.lifetime() || r.isOrphaned(rec, now, detector) {
			return rec.leaderCommand(Expire)
		}
	}
	return nil
}

// leaderCommand returns a command of the leader, which has no effect if the record changes before it is applied.
func (rec *record) leaderCommand(op Op) *Command {
	return &Command{Op: op, IdempotencyKey: rec.idempotencyKey, ChangedIndex: rec.changedIndex}
}

// lifetime returns how long after the registration the owner may start attempts of the request and poll for them, as
// measured by another machine: the client's timeout plus the maximum clock drift and a margin.
func (rec *record) lifetime() monotime.Micros {
	timeout := monotime.Micros(rec.clientTimeout)
	return timeout + timeout/clockDriftDivisor + expiryMargin
}

// dueTransfer returns the OfferTransfer that is due for a started request, or nil. The request is offered to another
// front end if its owner is unreachable, and again to a new owner of which no attempt was authorized yet, as the
// notification may have been lost.
func (rec *record) dueTransfer(now monotime.Micros, detector replication.FailureDetector) *Command {
	newOwner := rec.owner
	if detector.Unreachable(rec.owner) {
		newOwner = successor(rec.idempotencyKey, detector.Live())
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

// isOrphaned reports whether the owner of an unstarted request has been presumed dead for at least the orphan timeout.
func (r *Registry) isOrphaned(rec *record, now monotime.Micros, detector replication.FailureDetector) bool {
	if !detector.PresumedDead(rec.owner) {
		rec.ownerPresumedDeadSince = 0
		return false
	}
	if rec.ownerPresumedDeadSince == 0 {
		rec.ownerPresumedDeadSince = now
	}
	return now-rec.ownerPresumedDeadSince >= r.options.OrphanTimeout
}

// successor returns the incarnation that is to take over a request, or 0 if none is live. It is chosen by rendezvous
// hashing over the live ones, so that the requests of a lost front end are spread over the others.
func successor(idempotencyKey string, live []replication.Incarnation) (best replication.Incarnation) {
	var bestHash uint64
	for _, incarnation := range live {
		hash := xxhash.Sum64(binary.LittleEndian.AppendUint64([]byte(idempotencyKey), uint64(incarnation)))
		if best == 0 || hash > bestHash {
			best, bestHash = incarnation, hash
		}
	}
	return best
}
