// Package golden compares the output of tests with golden files under testdata. A golden file is created once and never
// overwritten, because other processes, disks and operators already depend on the format that it records.
package golden

import (
	"bufio"
	"bytes"
	"encoding/hex"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// createVariable is the environment variable that lets a missing file be created; an existing one is never replaced.
const createVariable = "CHUTECHUTE_GOLDEN_CREATE"

// Message is an encoded message, with its name in the file and a function that decodes such a message and encodes it
// again.
type Message struct {
	Name    string
	Encoded []byte
	Recode  func([]byte) ([]byte, error)
}

// Messages requires that the messages have the bytes that the file records, and that Recode returns those bytes
// unchanged; a nil Recode is not called. The file has one message per line: its name and its bytes in hexadecimal.
func Messages(t testing.TB, path string, messages []Message) {
	t.Helper()
	var lines []string
	for _, m := range messages {
		lines = append(lines, m.Name+" "+hex.EncodeToString(m.Encoded))
	}
	recorded := recordedLines(t, path, lines)
	require.Len(t, recorded, len(messages), "messages in %s", path)
	for i, m := range messages {
		name, digits, _ := strings.Cut(recorded[i], " ")
		require.Equal(t, m.Name, name, "line %d of %s", i+1, path)
		require.Equal(t, digits, hex.EncodeToString(m.Encoded), "bytes of %s", name)
		if m.Recode == nil {
			continue
		}
		recordedBytes, err := hex.DecodeString(digits)
		require.NoError(t, err, name)
		recoded, err := m.Recode(recordedBytes)
		require.NoError(t, err, name)
		require.Equal(t, digits, hex.EncodeToString(recoded), "%s, decoded and encoded again", name)
	}
}

// Lines requires that the lines are equal to those of the file.
func Lines(t testing.TB, path string, lines []string) {
	t.Helper()
	require.Equal(t, recordedLines(t, path, lines), lines, "%s", path)
}

// Entry requires that the file records a value under a name. The file has one entry per line: its name and its value.
func Entry(t testing.TB, path, name, value string) {
	t.Helper()
	if os.Getenv(createVariable) != "" {
		appendMissing(t, path, name, value)
	}
	for _, line := range readLines(t, path) {
		if key, recorded, ok := strings.Cut(line, " "); ok && key == name {
			require.Equal(t, recorded, value, "%s in %s", name, path)
			return
		}
	}
	require.Failf(t, "not recorded", "%s in %s", name, path)
}

func recordedLines(t testing.TB, path string, lines []string) []string {
	t.Helper()
	if _, err := os.Stat(path); os.IsNotExist(err) && os.Getenv(createVariable) != "" {
		require.NoError(t, os.MkdirAll(filepath.Dir(path), 0o755))
		require.NoError(t, os.WriteFile(path, []byte(strings.Join(lines, "\n")+"\n"), 0o644))
	}
	return readLines(t, path)
}

func appendMissing(t testing.TB, path, name, value string) {
	t.Helper()
	require.NoError(t, os.MkdirAll(filepath.Dir(path), 0o755))
	old, err := os.ReadFile(path)
	if err != nil && !os.IsNotExist(err) {
		require.NoError(t, err)
	}
	if bytes.HasPrefix(old, []byte(name+" ")) || bytes.Contains(old, []byte("\n"+name+" ")) {
		return
	}
	require.NoError(t, os.WriteFile(path, fmt.Appendf(old, "%s %s\n", name, value), 0o644))
}

func readLines(t testing.TB, path string) (lines []string) {
	t.Helper()
	text, err := os.ReadFile(path)
	require.NoError(t, err, "a golden file is created once, with %s set", createVariable)
	scanner := bufio.NewScanner(bytes.NewReader(text))
	scanner.Buffer(nil, len(text)+1)
	for scanner.Scan() {
		lines = append(lines, scanner.Text())
	}
	require.NoError(t, scanner.Err())
	return lines
}
