package membership

import (
	"errors"
	"fmt"

	"chutechute/internal/fieldcodec"
	"chutechute/internal/monotime"
)

const (
	// maxNameLength limits the length of names and zones, in bytes.
	maxNameLength = 128
	// maxWireTime limits the magnitude of times in messages, so that sums of them do not overflow. Times before the
	// start of the sender's clock are negative.
	maxWireTime monotime.Micros = 1 << 60
	// maxHeartbeatTime limits the send time of a heartbeat.
	maxHeartbeatTime monotime.Micros = 1 << 62
	// nestedCapacity is a buffer size that most encoded changes and table entries fit into, in bytes.
	nestedCapacity = 96
)

// isValidName reports whether a name is not empty and not too long.
func isValidName(name string) bool { return name != "" && len(name) <= maxNameLength }

// decodingError wraps fieldcodec.ErrMalformed in this package's ErrMalformed. Other errors are returned as they are.
func decodingError(err error) error {
	if errors.Is(err, fieldcodec.ErrMalformed) {
		return fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return err
}
