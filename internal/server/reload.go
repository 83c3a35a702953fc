package server

import (
	"log/slog"
	"os"
	"runtime/debug"

	"chutechute/internal/config"
)

// Reload reads the configuration and the installation file again, which may take a while, and passes the result to the
// event loop. The loop applies it or, if there is an error, logs that and keeps the former configuration. Reload may be
// called from any goroutine except the one that calls Run.
func (s *Server) Reload() {
	s.reloadMutex.Lock() // so that the later of two reloads also reads the files later
	defer s.reloadMutex.Unlock()
	cfg, err := config.Load(os.Getenv, s.installationPath)
	s.post(func() { s.finishReload(cfg, err) })
}

// finishReload applies a new configuration. If that could not be read or is invalid, the former one stays in force.
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

// checkReload validates a new configuration and applies those parts of it that can fail. It returns the configuration
// as far as a reload may change it.
func (s *Server) checkReload(cfg *config.Config) (*config.Config, error) {
	cfg, err := s.cfg.CheckReload(cfg)
	if err != nil {
		return nil, err
	}
	if err := s.applySecurity(cfg); err != nil { // it reads files, so it comes first: if it fails, nothing has changed
		return nil, err
	}
	return cfg, s.setStatementRules(cfg)
}

// applyReload applies the parts of a new configuration that cannot fail.
func (s *Server) applyReload(cfg *config.Config) {
	s.host.Counters.Reloads++
	if keys := s.cfg.RestartKeys(cfg); len(keys) > 0 {
		slog.Warn("reload: these keys take effect at the next start", slog.Any("keys", keys))
	}
	s.peering.Reload(cfg.Peers)
	discoveryAddressChanged := cfg.Discovery != s.cfg.Discovery
	s.cfg = s.cfg.Reloaded(cfg)
	s.listener.maxClients = s.maxClients()
	s.setBufferBudgets()
	s.core.SetLimits(s.cfg.Limits())
	debug.SetMemoryLimit(s.cfg.HeapLimit())
	slog.Info("configuration reloaded", slog.Any("journal", s.cfg.Discovery),
		slog.Uint64("last", s.discovery.follower.LastEvent))
	if discoveryAddressChanged {
		s.lifecycle.Reload()
		s.discovery.reconnect()
	}
}
