package procstat

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"chutechute/internal/scale"
)

// ResultsVariable is the environment variable that names the folder for results; without it nothing is written.
const ResultsVariable = "CHUTECHUTE_RESULTS"

// NewResult begins a result of a measurement.
func NewResult(name string, notes ...string) *scale.Result {
	return &scale.Result{Name: name, Mode: scale.ModeMeasure, Date: time.Now().UTC().Format(time.DateOnly), Machine: scale.Machine(),
		Notes: notes}
}

// SaveResult writes a result into the folder for results as NAME.json, where one is set. The load of the machine, over the minute before,
// goes to its notes: processor times differ by as much as two times where other work takes all cores.
func SaveResult(result *scale.Result) error {
	folder := os.Getenv(ResultsVariable)
	if folder == "" {
		return nil
	}
	if text, err := os.ReadFile("/proc/loadavg"); err == nil {
		var minute string
		if _, err := fmt.Sscan(string(text), &minute); err == nil {
			result.Notes = append(result.Notes, "Other work ran on the machine meanwhile; load average at the end "+minute+".")
		}
	}
	return scale.Write(filepath.Join(folder, result.Name+".json"), result)
}
