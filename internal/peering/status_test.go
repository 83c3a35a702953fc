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

// fillFields sets each field of a value, however deep, to a value other than zero, in the order of the fields.
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

// The JSON that commands print of a running front end keeps its names and their order, with every field set and
// with none.
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
