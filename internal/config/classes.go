package config

import (
	"slices"

	"chutechute/internal/monotime"
	"chutechute/internal/settings"
	"chutechute/scheduler"
	"chutechute/statement"
	"chutechute/statement/classify"
)

// Initial estimates of a class's statements, until some were measured.
const (
	// initialObjectiveShare is the part of a class's latency objective that a statement's run time is estimated at.
	initialObjectiveShare = 0.25
	// initialMBPerThread is the estimated memory of a statement for each of its threads.
	initialMBPerThread = 16
	// initialRunTimeMS is the estimated run time if the latency objective is unknown.
	initialRunTimeMS = 100
)

// Classes returns the classes of the site's settings as package statement takes them.
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

// RuleClasses returns the classes that the section itself names, for checks without the site's settings. A class loads
// if some rule gives it to a verb that writes.
func (s *Statement) RuleClasses() (list []statement.Class) {
	for _, rule := range s.Rules {
		list = addClass(list, rule.Class, slices.ContainsFunc(rule.Verbs, classify.AlwaysWrites))
	}
	if s.UnparsedClass != "" {
		list = addClass(list, s.UnparsedClass, false)
	}
	return list
}

// addClass adds a class to a list if it is not there, and notes whether it loads.
func addClass(list []statement.Class, name string, loads bool) []statement.Class {
	i := slices.IndexFunc(list, func(class statement.Class) bool { return class.Name == name })
	if i < 0 {
		i = len(list)
		list = append(list, statement.Class{
			Class:           classify.Class{Name: name, Threads: 1},
			AssumedCostMS:   initialRunTimeMS,
			AssumedMemoryMB: initialMBPerThread,
		})
	}
	list[i].LocksTables = list[i].LocksTables || loads
	return list
}
