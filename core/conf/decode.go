package conf

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strconv"
	"strings"
)

// decode stores a value that readTree returned in into, and adds a fault for every
// field that is unknown or has the wrong type. Unlike encoding/json it continues after
// a fault and matches field names case-sensitively.
func decode(place string, value any, into reflect.Value, faults *FaultsError) {
	if into.Kind() == reflect.Pointer {
		into.Set(reflect.New(into.Type().Elem()))
		into = into.Elem()
	}
	switch into.Kind() {
	case reflect.Struct:
		decodeStruct(place, value, into, faults)
	case reflect.Map:
		decodeMap(place, value, into, faults)
	case reflect.Slice:
		decodeSlice(place, value, into, faults)
	case reflect.String:
		decodeAs(place, value, "text", faults, into.SetString)
	case reflect.Bool:
		decodeAs(place, value, "true or false", faults, into.SetBool)
	default:
		decodeNumber(place, value, into, faults)
	}
}

// decodeAs passes the value to store if its Go type is T, and otherwise adds a fault.
func decodeAs[T any](place string, value any, want string, faults *FaultsError, store func(T)) {
	typed, ok := value.(T)
	if !ok {
		faults.add(place, "want %s, not %s", want, typeName(value))
		return
	}
	store(typed)
}

// decodeStruct stores the fields of an object in the struct fields with these JSON
// names.
func decodeStruct(place string, value any, into reflect.Value, faults *FaultsError) {
	decodeAs(place, value, "an object", faults, func(fields object) {
		known := fieldIndexes(into.Type())
		for _, f := range fields {
			index, ok := known[f.name]
			if !ok {
				faults.add(join(place, f.name), "unknown field")
				continue
			}
			decode(join(place, f.name), f.value, into.Field(index), faults)
		}
	})
}

// fieldIndexes maps the JSON names of a struct's fields to their indexes.
func fieldIndexes(t reflect.Type) map[string]int {
	indexes := make(map[string]int, t.NumField())
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		indexes[name] = i
	}
	return indexes
}

// decodeMap stores the fields of an object as the entries of a map.
func decodeMap(place string, value any, into reflect.Value, faults *FaultsError) {
	decodeAs(place, value, "an object", faults, func(fields object) {
		into.Set(reflect.MakeMapWithSize(into.Type(), len(fields)))
		for _, f := range fields {
			entry := reflect.New(into.Type().Elem()).Elem()
			decode(join(place, f.name), f.value, entry, faults)
			into.SetMapIndex(reflect.ValueOf(f.name), entry)
		}
	})
}

// decodeSlice stores the elements of an array.
func decodeSlice(place string, value any, into reflect.Value, faults *FaultsError) {
	decodeAs(place, value, "an array", faults, func(elements []any) {
		into.Set(reflect.MakeSlice(into.Type(), len(elements), len(elements)))
		for i, e := range elements {
			decode(element(place, i), e, into.Index(i), faults)
		}
	})
}

// decodeNumber stores a number if the type of into can represent it.
func decodeNumber(place string, value any, into reflect.Value, faults *FaultsError) {
	decodeAs(place, value, "a number", faults, func(number json.Number) {
		if err := setNumber(number.String(), into); err != nil {
			faults.add(place, "%v", err)
		}
	})
}

// setNumber parses a number as the kind of into and stores it there.
func setNumber(text string, into reflect.Value) error {
	switch into.Kind() {
	case reflect.Float64:
		number, err := strconv.ParseFloat(text, 64)
		if err != nil {
			return fmt.Errorf("number %s is out of range", text)
		}
		into.SetFloat(number)
	case reflect.Uint64:
		number, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			return fmt.Errorf("want a whole number that is not negative, not %s", text)
		}
		into.SetUint(number)
	default:
		number, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return fmt.Errorf("want a whole number, not %s", text)
		}
		into.SetInt(number)
	}
	return nil
}

// typeName returns the name of a value's JSON type for messages.
func typeName(value any) string {
	switch value.(type) {
	case object:
		return "an object"
	case []any:
		return "an array"
	case string:
		return "text"
	case json.Number:
		return "a number"
	case bool:
		return "true or false"
	}
	return "null"
}
