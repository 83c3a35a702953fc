package identity

import (
	"fmt"
	"path"
	"slices"
)

// matches reports whether a text matches a pattern with the syntax of path.Match, in which * matches any characters
// except a slash. An empty text matches no pattern. The pattern must have passed checkPattern.
func matches(pattern, text string) bool {
	ok, err := path.Match(pattern, text)
	return ok && err == nil && text != ""
}

// matchesAny reports whether a text matches at least one of the patterns.
func matchesAny(patterns []string, text string) bool {
	return slices.ContainsFunc(patterns, func(pattern string) bool { return matches(pattern, text) })
}

// checkPattern returns an error that begins with the key if the pattern is malformed.
func checkPattern(key, pattern string) error {
	if _, err := path.Match(pattern, ""); err != nil {
		return fmt.Errorf("%s: %q is not a valid pattern", key, pattern)
	}
	return nil
}

// checkCallerPatterns checks that there is at least one pattern and that each matches the name of a caller.
func checkCallerPatterns(patterns []string, callers map[string]bool) error {
	if len(patterns) == 0 {
		return fmt.Errorf("callers: missing")
	}
	for i, pattern := range patterns {
		key := fmt.Sprintf("callers[%d]", i)
		if err := checkPattern(key, pattern); err != nil {
			return err
		}
		if !matchesAnyName(pattern, callers) {
			return fmt.Errorf("%s: %q matches no caller", key, pattern)
		}
	}
	return nil
}

func matchesAnyName(pattern string, names map[string]bool) bool {
	for name := range names {
		if matches(pattern, name) {
			return true
		}
	}
	return false
}
