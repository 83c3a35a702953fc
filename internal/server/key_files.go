package server

import (
	"chutechute/identity"
	"chutechute/internal/config"
	"chutechute/internal/keyfiles"
)

// runOnLoop has the loop run a task, now or later.
type runOnLoop func(task func())

// applySecurity puts the identity and TLS sections of a configuration into force, and the files that they name, which
// are watched from then on. With an error nothing changes.
func (s *Server) applySecurity(cfg *config.Config) error {
	started := false
	generation := s.keyWatchGeneration + 1 // in force once nothing can fail any more: until then the former watch goes on
	later := func(task func()) {
		s.post(func() {
			if s.keyWatchGeneration == generation { // what a former watch has read may be older than what is in force
				task()
			}
		})
	}
	files, forceTLS, err := s.prepareTLS(cfg, later, &started)
	if err != nil {
		return err
	}
	var firstLoads []func() // come into force once all files could be read
	apply := func(task func()) {
		if started {
			later(task)
		} else {
			firstLoads = append(firstLoads, task)
		}
	}
	if cfg.Callers != nil {
		files = append(files, s.identityFiles(cfg.Identity(), apply)...)
	}
	if err := keyfiles.Load(files); err != nil {
		return err
	}
	if err := s.core.ConfigureIdentity(cfg.Callers); err != nil {
		return err
	}
	s.keyWatchGeneration = generation
	forceTLS()
	for _, task := range firstLoads {
		task()
	}
	s.stopKeyWatch()
	started = true
	if len(files) > 0 {
		s.keyWatch = keyfiles.Start(files, cfg.Identity().WatchInterval())
	}
	return nil
}

// identityFiles returns the files of the identity section; what puts their content into force is handed to apply.
func (s *Server) identityFiles(section *config.Identity, apply runOnLoop) (files []*keyfiles.File) {
	for _, issuer := range section.Issuers {
		files = append(files, &keyfiles.File{Path: issuer.Keys, Load: func(path string) error {
			keys, err := keyfiles.Keys(path)
			if err == nil {
				apply(func() { s.setKeys(issuer.Name, keys) })
			}
			return err
		}})
	}
	if section.Revoked != "" {
		files = append(files, &keyfiles.File{Path: section.Revoked, Load: func(path string) error {
			revoked, err := keyfiles.Revoked(path)
			if err == nil {
				apply(func() { s.setRevoked(revoked) })
			}
			return err
		}})
	}
	return files
}

// stopKeyWatch stops the watch of the key files, where there is one.
func (s *Server) stopKeyWatch() {
	if s.keyWatch != nil {
		s.keyWatch.Stop()
		s.keyWatch = nil
	}
}

// setKeys puts an issuer's keys into force. It may come just after identity was turned off.
func (s *Server) setKeys(issuer string, keys []identity.Key) {
	if guard := s.core.Guard(); guard != nil {
		guard.SetKeys(issuer, keys)
	}
}

// setRevoked puts the list of what is revoked into force. It may come just after identity was turned off.
func (s *Server) setRevoked(revoked identity.Revocations) {
	if guard := s.core.Guard(); guard != nil {
		guard.SetRevocations(revoked)
	}
}
