package identity

import (
	"fmt"
	"path"
	"slices"
)

// Right allows, or denies, callers the queries of some classes and groups. A call is allowed exactly when some right
// allows it and none denies it.
type Right struct {
	Deny    bool
	Callers []string // patterns of their names
	Classes []string // empty: all
	Groups  []Range  // of tables; empty: all. A query of no group, 0, needs a right for all or for 0
}

// Range is a range of groups, both ends included.
type Range struct{ From, To int }

func (r *Right) check(callers map[string]bool, classes []string) error {
	if len(r.Callers) == 0 {
		return fmt.Errorf("callers: missing")
	}
	for i, pattern := range r.Callers {
		held := false
		for name := range callers {
			ok, err := path.Match(pattern, name)
			if err != nil {
				return fmt.Errorf("callers[%d]: %q is no pattern", i, pattern)
			}
			held = held || ok
		}
		if !held {
			return fmt.Errorf("callers[%d]: %q is no caller's name", i, pattern)
		}
	}
	for i, class := range r.Classes {
		if !slices.Contains(classes, class) {
			return fmt.Errorf("classes[%d]: unknown class %q", i, class)
		}
	}
	for i, g := range r.Groups {
		if g.From < 0 || g.To < g.From {
			return fmt.Errorf("groups[%d]: %d to %d is no range", i, g.From, g.To)
		}
	}
	return nil
}

// covers says whether the right speaks of such a call.
func (r *Right) covers(caller, class string, group int) bool {
	return slices.ContainsFunc(r.Callers, func(p string) bool { return matches(p, caller) }) &&
		(len(r.Classes) == 0 || slices.Contains(r.Classes, class)) &&
		(len(r.Groups) == 0 || slices.ContainsFunc(r.Groups, func(g Range) bool { return g.From <= group && group <= g.To }))
}

// Authorize says whether a caller may send a query of a class that reads a group, as a call of the tenant that it claims;
// an empty claim takes the caller's own. It gives the tenant. An error is a *Denied.
func (g *Guard) Authorize(caller Caller, tenant, class string, group int) (string, error) {
	if tenant != "" && tenant != caller.Tenant {
		g.count.Foreign++
		return "", &Denied{Reason: OtherTenant, Caller: caller.Name, Detail: fmt.Sprintf("org %.80q", tenant)}
	}
	allowed := false
	for i := range g.options.Rights {
		if r := &g.options.Rights[i]; r.covers(caller.Name, class, group) {
			if r.Deny {
				allowed = false
				break
			}
			allowed = true
		}
	}
	if !allowed {
		g.count.Forbidden++
		return "", &Denied{Reason: NoRight, Caller: caller.Name, Detail: fmt.Sprintf("class %q, group %d", class, group)}
	}
	g.count.Allowed++
	return caller.Tenant, nil
}
