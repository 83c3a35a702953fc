package rest

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"chutechute/scheduler"
)

// A late copy of the response to an earlier call does not show that a DELETE has arrived. If it counted as the DELETE's
// response, the next query with the same order key would start while the canceled one may still run.
func TestStaleResponseDoesNotConfirmDelete(t *testing.T) {
	for status, ended := range map[int]bool{200: false, 202: false, 204: true, 500: true, 502: false, 503: false} {
		q := NewQuery("h", Start{ID: "1"})
		q.Cancel()
		result, hasEnded, err := q.HandleResponse(Response{Status: status, Page: -1})
		assert.Equal(t, ended, hasEnded, status)
		if ended {
			assert.NoError(t, err)
			assert.Equal(t, scheduler.Canceled, result)
		} else {
			assert.ErrorIs(t, err, ErrStaleResponse)
		}
	}
}
