package config

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"
)

const (
	evaluator    = "chutechute-eval" // beside the program
	evaluateMost = 10 * time.Second
)

// evaluate gives what a file comes to as JSON: one that ends in .json as it is, any other as Jsonnet. That is left to a
// program of its own, so that its library costs only who uses it.
func evaluate(path string) ([]byte, error) {
	if filepath.Ext(path) == ".json" {
		return os.ReadFile(path)
	}
	program, err := os.Executable()
	if err != nil {
		return nil, err
	}
	program = filepath.Join(filepath.Dir(program), evaluator)
	ctx, cancel := context.WithTimeout(context.Background(), evaluateMost)
	defer cancel()
	text, err := exec.CommandContext(ctx, program, path).Output()
	var failed *exec.ExitError
	switch {
	case errors.As(err, &failed) && len(failed.Stderr) > 0:
		return nil, errors.New(strings.TrimSpace(string(failed.Stderr)))
	case errors.Is(err, os.ErrNotExist):
		return nil, fmt.Errorf("%s is not there to evaluate Jsonnet: build it beside the program, or give a .json file", program)
	}
	return text, err
}
