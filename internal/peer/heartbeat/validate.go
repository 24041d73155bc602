package heartbeat

import (
	"encoding/binary"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// maxNesting is more than the depth of a Message and of what later builds may add to it.
const maxNesting = 16

// validate returns an error unless the datagram is one msgpack value whose announced
// lengths fit into it. The codec allocates memory by announced lengths.
func validate(datagram []byte) error {
	// open holds the number of values that are missing of each open array or map.
	open := []int{1}
	for len(open) > 0 {
		last := len(open) - 1
		if open[last] == 0 {
			open = open[:last]
			continue
		}
		open[last]--
		size, values, err := readHeader(datagram)
		if err != nil {
			return err
		}
		datagram = datagram[size:]
		if values > len(datagram) {
			return errors.Newf("%d values are announced in the last %d bytes", values, len(datagram))
		}
		if values > 0 {
			if len(open) > maxNesting {
				return errors.Newf("nested more than %d times", maxNesting)
			}
			open = append(open, values)
		}
	}
	if len(datagram) > 0 {
		return errors.Newf("%d bytes follow the message", len(datagram))
	}
	return nil
}

// readHeader returns the size of the first value, without those that it contains, and
// their number.
func readHeader(data []byte) (size, values int, err error) {
	if len(data) == 0 {
		return 0, 0, errors.New("message is truncated")
	}
	code := data[0]
	switch {
	case msgpcode.IsFixedNum(code), code == msgpcode.Nil, code == msgpcode.True, code == msgpcode.False:
		size = 1
	case msgpcode.IsFixedMap(code):
		return 1, 2 * int(code&msgpcode.FixedMapMask), nil
	case msgpcode.IsFixedArray(code):
		return 1, int(code & msgpcode.FixedArrayMask), nil
	case msgpcode.IsFixedString(code):
		size = 1 + int(code&msgpcode.FixedStrMask)
	default:
		return readLongHeader(data)
	}
	return checkSize(data, size)
}

// readLongHeader is readHeader for values whose length, if any, follows the first byte.
func readLongHeader(data []byte) (size, values int, err error) {
	switch data[0] {
	case msgpcode.Uint8, msgpcode.Int8:
		return checkSize(data, 2)
	case msgpcode.Uint16, msgpcode.Int16:
		return checkSize(data, 3)
	case msgpcode.Uint32, msgpcode.Int32, msgpcode.Float:
		return checkSize(data, 5)
	case msgpcode.Uint64, msgpcode.Int64, msgpcode.Double:
		return checkSize(data, 9)
	}
	width := 0
	switch data[0] {
	case msgpcode.Str8, msgpcode.Bin8:
		width = 1
	case msgpcode.Str16, msgpcode.Bin16, msgpcode.Array16, msgpcode.Map16:
		width = 2
	case msgpcode.Str32, msgpcode.Bin32, msgpcode.Array32, msgpcode.Map32:
		width = 4
	default:
		return 0, 0, errors.Newf("unexpected type 0x%x", data[0])
	}
	if len(data) < 1+width {
		return 0, 0, errors.New("message is truncated")
	}
	var padded [4]byte
	copy(padded[4-width:], data[1:1+width])
	length := int(binary.BigEndian.Uint32(padded[:]))
	switch data[0] {
	case msgpcode.Array16, msgpcode.Array32:
		return 1 + width, length, nil
	case msgpcode.Map16, msgpcode.Map32:
		return 1 + width, 2 * length, nil
	}
	return checkSize(data, 1+width+length)
}

// checkSize returns the size of a value that contains no others.
func checkSize(data []byte, size int) (int, int, error) {
	if size > len(data) {
		return 0, 0, errors.Newf("a value of %d bytes is announced in the last %d", size, len(data))
	}
	return size, 0, nil
}
