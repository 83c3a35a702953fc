package identity

import (
	"fmt"
	"slices"
)

// Right allows, or denies, callers the queries of some classes and groups. A call is allowed exactly when some right
// allows it and none denies it.
type Right struct {
	Deny    bool
	Callers []string // patterns of callers' names
	Classes []string // empty: all
	Groups  []Range  // of tables; empty: all. A query that reads no group is of group 0
}

// Range is a range of groups, both ends included.
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

// covers reports whether the right is for such a call, be it to allow or to deny it.
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

// Authorize checks that a caller may send a query of a class that reads a group of tables, as a call of the tenant that
// it claims, and returns the caller's tenant. An empty claim stands for the caller's own. The error is a *Denied.
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

// allows reports whether some right allows such a call and none denies it.
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
