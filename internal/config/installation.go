package config

import (
	"encoding/json"
	"fmt"
	"path/filepath"
	"strings"

	"github.com/go-viper/mapstructure/v2"
)

// Installation is the installation file, in which operators configure what the node configuration has no keys for. Each
// section is off unless its key "enabled" is true.
type Installation struct {
	Statement Statement `json:"statement"`
	Identity  Identity  `json:"identity"`
	TLS       TLS       `json:"tls"`
	Fleet     Fleet     `json:"fleet"`
}

// ReadInstallation reads an installation file: JSON if its name ends in .json, Jsonnet otherwise. It resolves relative
// paths against the file's folder. Unknown keys and wrong types are errors that name the key; values are not checked
// yet.
func ReadInstallation(path string) (*Installation, error) {
	text, err := evaluate(path)
	if err != nil {
		return nil, fmt.Errorf("installation: %w", err)
	}
	file, err := ParseInstallation(text)
	if err != nil {
		return nil, err
	}
	folder := filepath.Dir(path)
	file.Identity.resolvePaths(folder)
	file.TLS.resolvePaths(folder)
	file.Fleet.resolvePaths(folder)
	return file, nil
}

// ParseInstallation reads the JSON that an installation file evaluates to. Unknown keys and wrong types are errors that
// name the key; values are not checked yet.
func ParseInstallation(text []byte) (*Installation, error) {
	var tree map[string]any
	if err := json.Unmarshal(text, &tree); err != nil {
		return nil, fmt.Errorf("installation: not an object: %w", err)
	}
	file := &Installation{}
	decoder, err := mapstructure.NewDecoder(&mapstructure.DecoderConfig{
		Result:      file,
		TagName:     "json",
		ErrorUnused: true,
		MatchName:   func(key, field string) bool { return key == field }, // the default ignores case
	})
	if err != nil {
		return nil, fmt.Errorf("installation: %w", err)
	}
	if err := decoder.Decode(tree); err != nil {
		oneLine := strings.Join(strings.Fields(err.Error()), " ")
		return nil, fmt.Errorf("installation: %s", oneLine)
	}
	return file, nil
}
