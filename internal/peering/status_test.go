package peering

import (
	"encoding/json"
	"fmt"
	"reflect"
	"testing"

	"github.com/stretchr/testify/require"

	"chutechute/fleet/budget"
	"chutechute/internal/golden"
)

// fillFields sets every field of a value, recursively and in field order, to a nonzero value.
func fillFields(v reflect.Value, n *int) {
	*n++
	switch v.Kind() {
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fillFields(v.Elem(), n)
	case reflect.Struct:
		for i := range v.NumField() {
			fillFields(v.Field(i), n)
		}
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		fillFields(v.Index(0), n)
	case reflect.Map:
		v.Set(reflect.MakeMap(v.Type()))
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		fillFields(key, n)
		fillFields(value, n)
		v.SetMapIndex(key, value)
	case reflect.String:
		v.SetString(fmt.Sprint("text ", *n))
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Float64:
		v.SetFloat(float64(*n) + 0.5)
	case reflect.Int, reflect.Int64:
		v.SetInt(int64(*n))
	case reflect.Uint64, reflect.Uint32:
		v.SetUint(uint64(*n))
	}
}

// The JSON keys of the status pages and their order do not change. Each page is compared with all fields set and with
// none.
func TestStatusPagesKeepTheirForm(t *testing.T) {
	var lines []string
	for _, page := range []any{&Status{}, &ReplicatedRecords{}, &budget.LeaseStatus{}, &budget.Status{}, &budget.Plan{}} {
		empty, err := json.Marshal(page)
		require.NoError(t, err)
		n := 0
		fillFields(reflect.ValueOf(page).Elem(), &n)
		whole, err := json.Marshal(page)
		require.NoError(t, err)
		lines = append(lines, string(empty), string(whole))
	}
	golden.Lines(t, "testdata/pages.txt", lines)
}
