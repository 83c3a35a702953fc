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

// openStore opens the write-ahead log and returns the state in it; nil where no folder is configured. After any
// error but those of the configuration the front end serves on without a replica.
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
		p.Host.Counters.StoreErrors++
		slog.Error("the record's file could not be trusted and was set aside; this is an empty disk now",
			slog.String("file", p.store.QuarantinedPath))
	}
	return persisted, nil
}

// persist queues a save of the replica's for the disk. Without a disk it is complete at once, as the replica lives in
// memory only.
func (p *Peering) persist(save replication.Save) {
	if p.storeWriter != nil {
		p.storeWriter.Enqueue(save)
		return
	}
	p.controlNode.Persisted(p.Host.TurnTime, save.Token, p.storeErr)
}

// saveCompleted handles the writer's result of a save.
func (p *Peering) saveCompleted(token uint64, err error) {
	if err != nil && p.storeErr == nil {
		p.storageFailed(err)
	}
	p.controlNode.Persisted(p.Host.TurnTime, token, err)
}

// checkReplica handles an error on which the replica has stopped.
func (p *Peering) checkReplica() {
	if p.controlNode == nil {
		return
	}
	if err := p.controlNode.Replica().Err(); err != nil && p.storeErr == nil {
		p.storageFailed(err)
	}
}

// storageFailed records and logs the error after which the disk is not used any more.
func (p *Peering) storageFailed(err error) {
	p.storeErr = err
	p.Host.Counters.StoreErrors++
	slog.Error("the record's disk failed: this front end is no copy any more", slog.Any(keyError, err))
}
