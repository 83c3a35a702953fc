package rest

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"chutechute/scheduler"
)

// A late copy of the answer to an earlier call is no word that a DELETE has arrived: the next of its key would start too soon.
func TestDeleteIsNotEndedByACopy(t *testing.T) {
	for status, ended := range map[int]bool{200: false, 202: false, 204: true, 500: true} {
		q := NewQuery("h", Start{ID: "1"})
		q.Cancel()
		result, over, err := q.HandleResponse(Response{Status: status, Page: -1})
		assert.Equal(t, ended, over, status)
		if ended {
			assert.NoError(t, err)
			assert.Equal(t, scheduler.Canceled, result)
		} else {
			assert.ErrorIs(t, err, ErrStaleResponse)
		}
	}
}
