package attach

// View is all front ends of both roles, as one of them sees it.
type View struct{}

func newView() *View { return &View{} }

// List is all entries by name. It is the caller's own.
func (v *View) List() []Entry { return nil }

// Of is the entry of a name.
func (v *View) Of(name string) (Entry, bool) { return Entry{}, false }

// Len is how many entries there are.
func (v *View) Len() int { return 0 }

// Digest is over all entries: views with the same entries have the same.
func (v *View) Digest() uint64 { return 0 }

// Gone says whether a process is held for no more: its name has another, it has left, or it is heard nowhere for long.
func (v *View) Gone(incarnation uint64) bool { return false }

// Alive says whether a process is seen alive.
func (v *View) Alive(incarnation uint64) bool { return false }

// Replaced says whether the view has had a later process under that one's name.
func (v *View) Replaced(incarnation uint64) bool { return false }

// Age is how long ago the home last confirmed this view, counted from when it was asked; at a control member 0. A view that was
// never confirmed is as old as the process's clock.
func (v *View) Age(now Micros) Micros { return 0 }
