package config

import "path/filepath"

// resolvePaths joins relative paths to a folder, in place. Empty paths stay empty.
func resolvePaths(folder string, paths ...*string) {
	for _, path := range paths {
		if *path != "" && !filepath.IsAbs(*path) {
			*path = filepath.Join(folder, *path)
		}
	}
}

// pointers returns a pointer to each string of a list.
func pointers(list []string) (elements []*string) {
	for i := range list {
		elements = append(elements, &list[i])
	}
	return elements
}
