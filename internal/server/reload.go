package server

import (
	"log/slog"
	"os"
	"runtime/debug"

	"chutechute/internal/config"
)

// Reload reads the configuration and the installation file again, which may take a while, and hands them to the loop,
// which puts them into force or, with an error, logs it and keeps the old ones. It may be called from any goroutine but
// that of Run.
func (s *Server) Reload() {
	s.reloadMutex.Lock() // of two reloads, the later reads later
	defer s.reloadMutex.Unlock()
	cfg, err := config.Load(os.Getenv, s.installationPath)
	s.post(func() { s.finishReload(cfg, err) })
}

// finishReload puts a new configuration into force, or keeps the old one where the new one could not be read.
func (s *Server) finishReload(cfg *config.Config, err error) {
	if err == nil {
		cfg, err = s.checkReload(cfg)
	}
	if err != nil {
		s.host.Counters.RejectedReloads++
		slog.Error("reload: the old configuration stays in force", slog.Any("error", err))
		return
	}
	s.applyReload(cfg)
}

// checkReload applies those parts of a new configuration that can fail, and returns it as far as it may change at a
// reload.
func (s *Server) checkReload(cfg *config.Config) (*config.Config, error) {
	cfg, err := s.cfg.CheckReload(cfg)
	if err != nil {
		return nil, err
	}
	if err := s.applySecurity(cfg); err != nil { // it reads files, so it comes first: with an error nothing changes
		return nil, err
	}
	return cfg, s.setStatementRules(cfg)
}

// applyReload applies the rest of a new configuration, which can't fail.
func (s *Server) applyReload(cfg *config.Config) {
	s.host.Counters.Reloads++
	if keys := s.cfg.RestartKeys(cfg); len(keys) > 0 {
		slog.Warn("reload: these keys take effect at the next start", slog.Any("keys", keys))
	}
	s.peering.Reload(cfg.Peers)
	discoveryMoved := cfg.Discovery != s.cfg.Discovery
	s.cfg = s.cfg.Reloaded(cfg)
	s.listener.maxClients = s.maxClients()
	s.setBufferBudgets()
	s.core.SetLimits(s.cfg.Limits())
	debug.SetMemoryLimit(s.cfg.HeapLimit())
	slog.Info("reloaded", slog.Any("journal", s.cfg.Discovery), slog.Uint64("last", s.discovery.follower.LastEvent))
	if discoveryMoved {
		s.lifecycle.Reload()
		s.discovery.reconnect()
	}
}
