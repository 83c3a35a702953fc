package identity

import (
	"fmt"
	"slices"
)

// Right allows or denies callers the queries of some classes and table groups. A query is allowed if at least one right
// allows it and none denies it.
type Right struct {
	Deny    bool
	Callers []string // patterns for callers' names
	Classes []string // empty: all
	Groups  []Range  // table groups; empty: all. A query that reads no table group counts as group 0
}

// Range is an inclusive range of table groups.
type Range struct{ From, To int }

func (r Range) contains(group int) bool { return r.From <= group && group <= r.To }

func (r *Right) check(callers map[string]bool, classes []string) error {
	if err := checkCallerPatterns(r.Callers, callers); err != nil {
		return err
	}
	for i, class := range r.Classes {
		if !slices.Contains(classes, class) {
			return fmt.Errorf("classes[%d]: unknown class %q", i, class)
		}
	}
	for i, groups := range r.Groups {
		if groups.From < 0 || groups.To < groups.From {
			return fmt.Errorf("groups[%d]: %d to %d is no range", i, groups.From, groups.To)
		}
	}
	return nil
}

// covers reports whether the right allows or denies queries of this caller, class and table group.
func (r *Right) covers(caller, class string, group int) bool {
	return matchesAny(r.Callers, caller) && r.coversClass(class) && r.coversGroup(group)
}

func (r *Right) coversClass(class string) bool {
	return len(r.Classes) == 0 || slices.Contains(r.Classes, class)
}

func (r *Right) coversGroup(group int) bool {
	if len(r.Groups) == 0 {
		return true
	}
	return slices.ContainsFunc(r.Groups, func(groups Range) bool { return groups.contains(group) })
}

// Authorize checks that a caller may send a query of a class that reads a table group, on behalf of a tenant, and
// returns the caller's tenant. An empty tenant stands for the caller's own. The error is a *Denied.
func (g *Guard) Authorize(caller Caller, tenant, class string, group int) (string, error) {
	if tenant != "" && tenant != caller.Tenant {
		g.counts.TenantMismatches++
		return "", &Denied{Reason: TenantMismatch, Caller: caller.Name, Detail: fmt.Sprintf("org %.80q", tenant)}
	}
	if !g.options.allows(caller.Name, class, group) {
		g.counts.PermissionDenied++
		detail := fmt.Sprintf("class %q, group %d", class, group)
		return "", &Denied{Reason: PermissionDenied, Caller: caller.Name, Detail: detail}
	}
	g.counts.Allowed++
	return caller.Tenant, nil
}

// allows reports whether at least one right allows the query and none denies it.
func (o *Options) allows(caller, class string, group int) bool {
	allowed := false
	for i := range o.Rights {
		right := &o.Rights[i]
		if !right.covers(caller, class, group) {
			continue
		}
		if right.Deny {
			return false
		}
		allowed = true
	}
	return allowed
}
