package pgsim

import (
	"encoding/binary"
	"strconv"
)

// oids of the types that matter here. Parameters and columns are declared as text.
const (
	oidInt8 = 20
	oidInt2 = 21
	oidInt4 = 23
	oidText = 25
)

// formatBinary is the code of binary parameters.
const formatBinary = 1

// fill puts the parameters in the places of the statement's values.
func (p parsed) fill(given []string) ([]string, error) {
	args := make([]string, len(p.values))
	for i, v := range p.values {
		switch {
		case v.parameter == 0:
			args[i] = v.text
		case v.parameter <= len(given):
			args[i] = given[v.parameter-1]
		default:
			return nil, badParameter
		}
	}
	return args, nil
}

// format returns the format of parameter i: none given means text, one counts for all.
func format(codes []int16, i int) int16 {
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

// decode returns a parameter as text.
func decode(raw []byte, code int16, oid uint32) (string, error) {
	if code != formatBinary {
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
		return "", badParameter
	}
	return string(raw), nil
}
