package pgsim

import (
	"encoding/binary"
	"strconv"
)

// The object identifiers of the supported parameter types. Columns, and parameters without
// a declared type, are text.
const (
	oidInt8 = 20
	oidInt2 = 21
	oidInt4 = 23
	oidText = 25
)

// formatBinary is the format code of parameters in binary format.
const formatBinary = 1

// arguments returns the statement's values in order, with the given parameters inserted. It
// fails if a parameter is missing.
func (p parsedStatement) arguments(parameters []string) ([]string, error) {
	args := make([]string, len(p.values))
	for i, v := range p.values {
		switch {
		case v.parameter == 0:
			args[i] = v.text
		case v.parameter <= len(parameters):
			args[i] = parameters[v.parameter-1]
		default:
			return nil, errBadParameter
		}
	}
	return args, nil
}

// parameterFormat returns the format code of parameter i. Without codes, all parameters are
// text; a single code applies to all parameters.
func parameterFormat(codes []int16, i int) int16 {
	switch {
	case len(codes) == 0:
		return 0
	case len(codes) == 1:
		return codes[0]
	case i < len(codes):
		return codes[i]
	}
	return 0
}

// decodeParameter returns a parameter as text. It fails if a binary integer doesn't have
// the length of its type.
func decodeParameter(raw []byte, format int16, oid uint32) (string, error) {
	if format != formatBinary {
		return string(raw), nil
	}
	switch {
	case oid == oidInt8 && len(raw) == 8:
		return strconv.FormatInt(int64(binary.BigEndian.Uint64(raw)), 10), nil
	case oid == oidInt4 && len(raw) == 4:
		return strconv.FormatInt(int64(int32(binary.BigEndian.Uint32(raw))), 10), nil
	case oid == oidInt2 && len(raw) == 2:
		return strconv.FormatInt(int64(int16(binary.BigEndian.Uint16(raw))), 10), nil
	case oid == oidInt8 || oid == oidInt4 || oid == oidInt2:
		return "", errBadParameter
	}
	return string(raw), nil
}
