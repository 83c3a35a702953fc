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
	// evaluatorProgram is the program that evaluates Jsonnet. It is in the same folder as the front end's program.
	evaluatorProgram = "chutechute-eval"
	// evaluationTimeout limits the duration of an evaluation.
	evaluationTimeout = 10 * time.Second
)

// evaluate returns the JSON that a file evaluates to: the content of a file whose name ends in .json, or the result of
// evaluating any other file as Jsonnet. A separate program does the evaluation, so that the Jsonnet library takes no
// memory in the front end.
func evaluate(path string) ([]byte, error) {
	if filepath.Ext(path) == ".json" {
		return os.ReadFile(path)
	}
	program, err := os.Executable()
	if err != nil {
		return nil, err
	}
	program = filepath.Join(filepath.Dir(program), evaluatorProgram)
	ctx, cancel := context.WithTimeout(context.Background(), evaluationTimeout)
	defer cancel()
	text, err := exec.CommandContext(ctx, program, path).Output()
	var failed *exec.ExitError
	switch {
	case errors.As(err, &failed) && len(failed.Stderr) > 0:
		return nil, errors.New(strings.TrimSpace(string(failed.Stderr)))
	case errors.Is(err, os.ErrNotExist):
		return nil, fmt.Errorf(
			"%s, which evaluates Jsonnet, does not exist: build it in the folder of this program, or use a .json file",
			program)
	}
	return text, err
}
