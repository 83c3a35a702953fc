package procstat

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"chutechute/internal/scale"
)

// ResultsVariable is the environment variable with the path of the folder for results. If it is not set, results are
// not written.
const ResultsVariable = "CHUTECHUTE_RESULTS"

// NewResult returns a result, without any series yet, with today's date and the description of this machine.
func NewResult(name string, notes ...string) *scale.Result {
	return &scale.Result{
		Name:    name,
		Mode:    scale.ModeMeasure,
		Date:    time.Now().UTC().Format(time.DateOnly),
		Machine: scale.DescribeMachine(),
		Notes:   notes,
	}
}

// SaveResult writes a result as NAME.json into the folder for results; it does nothing if that folder is not set. It
// adds the load average of the last minute to the notes, because processor times differ by up to a factor of two if
// other work uses all cores.
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

// loadAverage returns the machine's load average over the last minute, as the kernel formats it.
func loadAverage() (load string, ok bool) {
	text, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "", false
	}
	_, err = fmt.Sscan(string(text), &load)
	return load, err == nil
}
