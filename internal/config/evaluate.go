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
	// evaluatorProgram is the program that evaluates Jsonnet. It stands in the folder of the front end's program.
	evaluatorProgram = "chutechute-eval"
	// maxEvaluation limits how long an evaluation may take.
	maxEvaluation = 10 * time.Second
)

// evaluate returns the JSON that a file evaluates to: a file whose name ends in .json is returned as it is, any
// other is evaluated as Jsonnet. Another program does that, so that the front end does not contain the Jsonnet
// library, which takes memory.
func evaluate(path string) ([]byte, error) {
	if filepath.Ext(path) == ".json" {
		return os.ReadFile(path)
	}
	program, err := os.Executable()
	if err != nil {
		return nil, err
	}
	program = filepath.Join(filepath.Dir(program), evaluatorProgram)
	ctx, cancel := context.WithTimeout(context.Background(), maxEvaluation)
	defer cancel()
	text, err := exec.CommandContext(ctx, program, path).Output()
	var failed *exec.ExitError
	switch {
	case errors.As(err, &failed) && len(failed.Stderr) > 0:
		return nil, errors.New(strings.TrimSpace(string(failed.Stderr)))
	case errors.Is(err, os.ErrNotExist):
		return nil, fmt.Errorf(
			"%s is not there to evaluate Jsonnet: build it beside the program, or give a .json file", program)
	}
	return text, err
}
