package governor

import (
	"reflect"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
)

// A message that carried only one kind of content was taken for that of a replica without a leader, which ends sessions.
func TestMessageWithAnyContentIsNotEmpty(t *testing.T) {
	c := qt.New(t)
	for _, row := range []struct {
		message any
		isEmpty func(v any) bool
		// apart are the fields that are no content.
		apart []string
	}{
		{DownMessage{}, func(v any) bool { return isEmptyDown(v.(*DownMessage)) }, []string{"Welcome", "Redirect", "LeaderAge", "Compressed", "Dropped"}},
		{UpMessage{}, func(v any) bool { return isEmptyUp(v.(*UpMessage)) }, []string{"Hello", "Heartbeat", "Dropped"}},
	} {
		for i := range reflect.TypeOf(row.message).NumField() {
			name := reflect.TypeOf(row.message).Field(i).Name
			if slices.Contains(row.apart, name) {
				continue
			}
			v := reflect.New(reflect.TypeOf(row.message))
			fill(v.Elem().Field(i))
			c.Check(row.isEmpty(v.Interface()), qt.IsFalse, qt.Commentf("%T with only %s", row.message, name))
		}
		c.Check(row.isEmpty(reflect.New(reflect.TypeOf(row.message)).Interface()), qt.IsTrue)
	}
}

// fill sets a value to anything but its zero.
func fill(v reflect.Value) {
	switch v.Kind() {
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
	case reflect.Int, reflect.Int64:
		v.SetInt(1)
	case reflect.Uint64:
		v.SetUint(1)
	}
}
