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

// NewResult returns the result of a measurement, as of today and of this machine, still without its figures.
func NewResult(name string, notes ...string) *scale.Result {
	return &scale.Result{
		Name:    name,
		Mode:    scale.ModeMeasure,
		Date:    time.Now().UTC().Format(time.DateOnly),
		Machine: scale.Machine(),
		Notes:   notes,
	}
}

// SaveResult writes a result as NAME.json into the folder for results, and does nothing where none is set. The load of
// the machine, over the minute before, goes to its notes: processor times differ by as much as two times where other
// work takes all cores. An error says that the file could not be written.
func SaveResult(result *scale.Result) error {
	folder := os.Getenv(ResultsVariable)
	if folder == "" {
		return nil
	}
	if load, ok := loadAverage(); ok {
		note := "Other work ran on the machine meanwhile; load average at the end " + load + "."
		result.Notes = append(result.Notes, note)
	}
	return scale.Write(filepath.Join(folder, result.Name+".json"), result)
}

// loadAverage returns the machine's load average over the last minute, as the system prints it.
func loadAverage() (load string, ok bool) {
	text, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "", false
	}
	_, err = fmt.Sscan(string(text), &load)
	return load, err == nil
}
