package server

import (
	"chutechute/identity"
	"chutechute/internal/config"
	"chutechute/internal/keyfiles"
)

// post hands work to the loop. It may be called from any goroutine.
func (s *Server) post(work func()) {
	s.tasks.Add(work)
	s.waker.send(wakePosted)
}

// applySecurity puts the identity and TLS sections into force, and their files, which are watched from then on. With an error
// nothing changes.
func (s *Server) applySecurity(cfg *config.Config) error {
	started := false
	watch := s.keyWatchGeneration + 1 // in force once nothing can fail any more: until then the earlier watch goes on
	later := func(work func()) {      // what an earlier watch has read may be older than what is in force
		s.post(func() {
			if s.keyWatchGeneration == watch {
				work()
			}
		})
	}
	files, force, err := s.prepareTLS(cfg, later, &started)
	if err != nil {
		return err
	}
	var first []func() // what the files hold now comes into force once all of them could be read
	now := func(work func()) {
		if started {
			later(work)
		} else {
			first = append(first, work)
		}
	}
	if cfg.Callers != nil {
		files = append(files, s.identityFiles(cfg.Identity(), now)...)
	}
	if err := keyfiles.Load(files); err != nil {
		return err
	}
	if err := s.core.IdentifyCallers(cfg.Callers); err != nil {
		return err
	}
	s.keyWatchGeneration = watch
	force()
	for _, work := range first {
		work()
	}
	s.stopKeyWatch()
	started = true
	if len(files) > 0 {
		s.keyWatch = keyfiles.Start(files, cfg.Identity().Every())
	}
	return nil
}

// identityFiles are the files of the identity section; what they hold is handed to now.
func (s *Server) identityFiles(section *config.Identity, now func(func())) (files []*keyfiles.File) {
	for _, one := range section.Issuers {
		files = append(files, &keyfiles.File{Path: one.Keys, Load: func(path string) error {
			set, err := keyfiles.Keys(path)
			if err == nil {
				now(func() { s.setKeys(one.Name, set) })
			}
			return err
		}})
	}
	if section.Revoked != "" {
		files = append(files, &keyfiles.File{Path: section.Revoked, Load: func(path string) error {
			list, err := keyfiles.Revoked(path)
			if err == nil {
				now(func() { s.setRevoked(list) })
			}
			return err
		}})
	}
	return files
}

func (s *Server) stopKeyWatch() {
	if s.keyWatch != nil {
		s.keyWatch.Stop()
		s.keyWatch = nil
	}
}

// setKeys and revoked may come just after identity was turned off.
func (s *Server) setKeys(issuer string, keys []identity.Key) {
	if g := s.core.Guard(); g != nil {
		g.SetKeys(issuer, keys)
	}
}

func (s *Server) setRevoked(list identity.Revoked) {
	if g := s.core.Guard(); g != nil {
		g.Revoke(list)
	}
}
