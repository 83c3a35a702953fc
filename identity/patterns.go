package identity

import (
	"fmt"
	"path"
	"slices"
)

// matches reports whether a text matches a pattern, in which * stands for anything but a slash. An empty text matches
// nothing. The pattern has passed checkPattern.
func matches(pattern, text string) bool {
	ok, err := path.Match(pattern, text)
	return ok && err == nil && text != ""
}

// matchesAny reports whether a text matches one of the patterns.
func matchesAny(patterns []string, text string) bool {
	return slices.ContainsFunc(patterns, func(pattern string) bool { return matches(pattern, text) })
}

// checkPattern returns an error that begins with the key of an invalid pattern.
func checkPattern(key, pattern string) error {
	if _, err := path.Match(pattern, ""); err != nil {
		return fmt.Errorf("%s: %q is no pattern", key, pattern)
	}
	return nil
}

// checkCallerPatterns checks that there are patterns, and that each matches the name of a caller.
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
			return fmt.Errorf("%s: %q is no caller's name", key, pattern)
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
