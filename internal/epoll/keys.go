package epoll

import (
	"sync"

	"chutechute/identity"
	"chutechute/internal/config"
	"chutechute/internal/keyfiles"
)

// posts are what other goroutines hand to the loop, which runs them in its next turn.
type posts struct {
	mu   sync.Mutex
	list []func()
}

// post hands work to the loop. It may be called from any goroutine.
func (s *Server) post(work func()) {
	s.posts.mu.Lock()
	s.posts.list = append(s.posts.list, work)
	s.posts.mu.Unlock()
	s.wake.send(wakePosted)
}

// take runs what was posted.
func (s *Server) takePosts() {
	s.posts.mu.Lock()
	list := s.posts.list
	s.posts.list = nil
	s.posts.mu.Unlock()
	for _, work := range list {
		work()
	}
}

// identified puts the identity section into force: its rights at once and its files, which are watched from then on. With
// an error nothing changes.
func (s *Server) identified(cfg *config.Config) error {
	if cfg.Callers == nil {
		s.unwatch()
		return s.core.IdentifyCallers(nil)
	}
	section := cfg.Identity()
	// All files are read before anything is in force: the first load of each is not handed over but kept here.
	keys := map[string][]identity.Key{}
	var revoked identity.Revoked
	started := false
	s.watches++
	watch := s.watches
	later := func(work func()) { // what an earlier watch has read may be older than what is in force
		s.post(func() {
			if s.watches == watch {
				work()
			}
		})
	}
	var files []*keyfiles.File
	for _, one := range section.Issuers {
		files = append(files, &keyfiles.File{Path: one.Keys, Load: func(path string) error {
			set, err := keyfiles.Keys(path)
			if err != nil {
				return err
			}
			if started {
				later(func() { s.keysChanged(one.Name, set) })
			} else {
				keys[one.Name] = set
			}
			return nil
		}})
	}
	if section.Revoked != "" {
		files = append(files, &keyfiles.File{Path: section.Revoked, Load: func(path string) error {
			list, err := keyfiles.Revoked(path)
			if err != nil {
				return err
			}
			if started {
				later(func() { s.revoked(list) })
			} else {
				revoked = list
			}
			return nil
		}})
	}
	if err := keyfiles.Load(files); err != nil {
		return err
	}
	if err := s.core.IdentifyCallers(cfg.Callers); err != nil {
		return err
	}
	for issuer, set := range keys {
		s.keysChanged(issuer, set)
	}
	s.revoked(revoked)
	s.unwatch()
	started = true
	s.watch = keyfiles.Start(files, section.Every())
	return nil
}

func (s *Server) unwatch() {
	if s.watch != nil {
		s.watch.Stop()
		s.watch = nil
	}
}

// keysChanged and revoked may come just after identity was turned off.
func (s *Server) keysChanged(issuer string, keys []identity.Key) {
	if g := s.core.Guard(); g != nil {
		g.SetKeys(issuer, keys)
	}
}

func (s *Server) revoked(list identity.Revoked) {
	if g := s.core.Guard(); g != nil {
		g.Revoke(list)
	}
}
