package config

import (
	"slices"

	"chutechute/internal/monotime"
	"chutechute/internal/settings"
	"chutechute/scheduler"
	"chutechute/statement"
	"chutechute/statement/classify"
)

// Initial estimates for the statements of a class, which are used until there are measurements.
const (
	// initialObjectiveShare is the estimated run time of a statement as a share of the latency objective of its class.
	initialObjectiveShare = 0.25
	// initialMBPerThread is the estimated memory of a statement per thread.
	initialMBPerThread = 16
	// initialRunTimeMS is the estimated run time of a statement whose latency objective is unknown.
	initialRunTimeMS = 100
)

// Classes converts the classes of the site's settings to the type of package statement.
func Classes(site *settings.Settings) (list []statement.Class) {
	for i := range site.Classes {
		list = append(list, statementClass(&site.Classes[i]))
	}
	return list
}

// statementClass converts a class of the site's settings.
func statementClass(class *scheduler.Class) statement.Class {
	threads := float64(class.Threads)
	objectiveMS := float64(class.LatencyObjective) / float64(monotime.Millisecond)
	return statement.Class{
		Class:           classify.Class{Name: class.Name, LocksTables: class.LocksTableGroup, Threads: class.Threads},
		Keyed:           class.Effect == scheduler.IdempotentByKey && class.DedupeScope == scheduler.ScopeAll,
		AssumedCostMS:   initialObjectiveShare * objectiveMS * threads,
		AssumedMemoryMB: initialMBPerThread * threads,
	}
}

// RuleClasses returns the classes that the section itself names, for checks without the site's settings. A class locks
// tables if a rule assigns it to a verb that always writes.
func (s *Statement) RuleClasses() (list []statement.Class) {
	for _, rule := range s.Rules {
		list = addClass(list, rule.Class, slices.ContainsFunc(rule.Verbs, classify.AlwaysWrites))
	}
	if s.UnparsedClass != "" {
		list = addClass(list, s.UnparsedClass, false)
	}
	return list
}

// addClass adds a class to the list unless it is there already, and marks it if it locks tables.
func addClass(list []statement.Class, name string, locksTables bool) []statement.Class {
	i := slices.IndexFunc(list, func(class statement.Class) bool { return class.Name == name })
	if i < 0 {
		i = len(list)
		list = append(list, statement.Class{
			Class:           classify.Class{Name: name, Threads: 1},
			AssumedCostMS:   initialRunTimeMS,
			AssumedMemoryMB: initialMBPerThread,
		})
	}
	list[i].LocksTables = list[i].LocksTables || locksTables
	return list
}
