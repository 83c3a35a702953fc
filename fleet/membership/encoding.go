package membership

import (
	"errors"
	"fmt"

	"chutechute/internal/fieldcodec"
	"chutechute/internal/monotime"
)

const (
	// maxNameLength bounds names and zones, in bytes.
	maxNameLength = 128
	// maxWireTime bounds times in messages, so that sums of them do not overflow. Times of before the sender's clock
	// began are negative.
	maxWireTime monotime.Micros = 1 << 60
	// maxHeartbeatTime bounds a heartbeat's time of sending.
	maxHeartbeatTime monotime.Micros = 1 << 62
	// nestedCapacity is the bytes that suffice for most encoded changes and table entries.
	nestedCapacity = 96
)

// isValidName reports whether a front end may have the name.
func isValidName(name string) bool { return name != "" && len(name) <= maxNameLength }

// decodingError makes the codec's error of malformed bytes an ErrMalformed; other errors are this package's already.
func decodingError(err error) error {
	if errors.Is(err, fieldcodec.ErrMalformed) {
		return fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return err
}
