package peering

import (
	"errors"
	"fmt"
	"log/slog"
	"os"

	"chutechute/fleet/replication"
	"chutechute/fleet/replication/wal"
	"chutechute/internal/config"
)

// openStore opens the write-ahead log and returns the persisted state, or nil if no folder is configured. It returns an
// error only if the folder cannot be created or belongs to another front end; any other error disables the replica.
func (p *Peering) openStore(cfg *config.Peers) (persisted *replication.PersistedState, err error) {
	if cfg.Folder == "" {
		return nil, nil
	}
	if err := os.MkdirAll(cfg.Folder, 0o700); err != nil {
		return nil, fmt.Errorf("installation: fleet.folder: %w", err)
	}
	p.store, persisted, err = wal.Open(cfg.Folder, cfg.Site+"/"+cfg.Name, randomID)
	if errors.Is(err, wal.ErrWrongOwner) {
		return nil, fmt.Errorf("installation: fleet.folder: %w", err)
	}
	if err != nil {
		p.storageFailed(err)
		return persisted, nil
	}
	if p.store.TruncatedBytes > 0 {
		slog.Warn("incomplete write at the end of the write-ahead log truncated",
			slog.Int64("bytes", p.store.TruncatedBytes))
	}
	if p.store.QuarantinedPath != "" {
		p.Host.Counters.StorageErrors++
		slog.Error("write-ahead log corrupt: folder quarantined, starting with an empty one",
			slog.String("file", p.store.QuarantinedPath))
	}
	return persisted, nil
}

// persist queues a save for the write-ahead log. Without one the save completes at once, as the replica exists in
// memory only.
func (p *Peering) persist(save replication.Save) {
	if p.storeWriter != nil {
		p.storeWriter.Enqueue(save)
		return
	}
	p.controlNode.Persisted(p.Host.TurnTime, save.Token, p.storeErr)
}

// saveCompleted passes the result of a save on to the fleet node.
func (p *Peering) saveCompleted(token uint64, err error) {
	if err != nil && p.storeErr == nil {
		p.storageFailed(err)
	}
	p.controlNode.Persisted(p.Host.TurnTime, token, err)
}

// checkReplica records the error if the replica has stopped because of one.
func (p *Peering) checkReplica() {
	if p.controlNode == nil {
		return
	}
	if err := p.controlNode.Replica().Err(); err != nil && p.storeErr == nil {
		p.storageFailed(err)
	}
}

// storageFailed records and logs the storage error that has disabled the replica.
func (p *Peering) storageFailed(err error) {
	p.storeErr = err
	p.Host.Counters.StorageErrors++
	slog.Error("storage failed: this front end no longer has a replica", slog.Any(keyError, err))
}
