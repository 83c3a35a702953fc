package server

import (
	"chutechute/identity"
	"chutechute/internal/config"
	"chutechute/internal/keyfiles"
)

// runOnLoop runs a task on the event loop, at once or later.
type runOnLoop func(task func())

// applySecurity applies the identity and TLS sections of a configuration and the files that they name. It watches these
// files from then on. If it returns an error, nothing has changed.
func (s *Server) applySecurity(cfg *config.Config) error {
	started := false
	generation := s.keyWatchGeneration + 1 // stored once nothing can fail; until then the former watch stays active
	postIfCurrent := func(task func()) {
		s.post(func() {
			if s.keyWatchGeneration == generation { // what a former watch has read may be older than what is in force
				task()
			}
		})
	}
	files, activateTLS, err := s.prepareTLS(cfg, postIfCurrent, &started)
	if err != nil {
		return err
	}
	var initialLoads []func() // run once all files have been read
	apply := func(task func()) {
		if started {
			postIfCurrent(task)
		} else {
			initialLoads = append(initialLoads, task)
		}
	}
	if cfg.Callers != nil {
		files = append(files, s.identityFiles(cfg.Identity(), apply)...)
	}
	if err := keyfiles.LoadAll(files); err != nil {
		return err
	}
	if err := s.core.ConfigureIdentity(cfg.Callers); err != nil {
		return err
	}
	s.keyWatchGeneration = generation
	activateTLS()
	for _, task := range initialLoads {
		task()
	}
	s.stopKeyWatch()
	started = true
	if len(files) > 0 {
		s.keyWatch = keyfiles.StartWatcher(files, cfg.Identity().WatchInterval())
	}
	return nil
}

// identityFiles returns the files of the identity section. The function apply is called with the tasks that put their
// content into force.
func (s *Server) identityFiles(section *config.Identity, apply runOnLoop) (files []*keyfiles.File) {
	for _, issuer := range section.Issuers {
		files = append(files, &keyfiles.File{Path: issuer.Keys, Load: func(path string) error {
			keys, err := keyfiles.ReadPublicKeys(path)
			if err == nil {
				apply(func() { s.setKeys(issuer.Name, keys) })
			}
			return err
		}})
	}
	if section.Revoked != "" {
		files = append(files, &keyfiles.File{Path: section.Revoked, Load: func(path string) error {
			revoked, err := keyfiles.ReadRevocations(path)
			if err == nil {
				apply(func() { s.setRevoked(revoked) })
			}
			return err
		}})
	}
	return files
}

// stopKeyWatch stops the watch of the key files, if there is one.
func (s *Server) stopKeyWatch() {
	if s.keyWatch != nil {
		s.keyWatch.Stop()
		s.keyWatch = nil
	}
}

// setKeys puts an issuer's keys into force. It may be called just after identity was disabled.
func (s *Server) setKeys(issuer string, keys []identity.Key) {
	if guard := s.core.Guard(); guard != nil {
		guard.SetKeys(issuer, keys)
	}
}

// setRevoked puts the revocation list into force. It may be called just after identity was disabled.
func (s *Server) setRevoked(revoked identity.Revocations) {
	if guard := s.core.Guard(); guard != nil {
		guard.SetRevocations(revoked)
	}
}
