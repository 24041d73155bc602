package decode

import (
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/dustin/go-humanize"
)

type (
	// Size is a number of bytes. Settings files contain it with a unit, such as 64 MiB.
	Size int64
	// Rate is a number of bytes per second. Settings files contain it with a
	// unit, such as 20 Mbit/s or 2.5 MB/s.
	Rate int64
)

const (
	sizeExpected     = "a size with a unit such as 512 KiB or 64 MB"
	rateExpected     = "a rate with a unit such as 20 Mbit/s or 2.5 MB/s"
	durationExpected = "a duration with a unit such as 300ms or 10s"
	bitsPerByte      = 8
)

// ParseSize parses a size such as 64 MiB. A number without a unit is an error.
func ParseSize(text string) (Size, error) {
	trimmed := strings.TrimSpace(text)
	if trimmed == "" || !strings.HasSuffix(strings.ToUpper(trimmed), "B") {
		return 0, errors.Newf("%q has no unit of bytes", text)
	}
	bytes, err := humanize.ParseBytes(trimmed)
	if err != nil {
		return 0, errors.Newf("%q is not a size", text)
	}
	if bytes > 1<<62 {
		return 0, errors.Newf("%q is too large", text)
	}
	return Size(bytes), nil
}

// ParseRate parses a rate such as 20 Mbit/s. A number without a unit is an error.
func ParseRate(text string) (Rate, error) {
	amount, ok := strings.CutSuffix(strings.TrimSpace(text), "/s")
	if !ok {
		return 0, errors.Newf("%q has no unit of bits or bytes a second", text)
	}
	if !strings.HasSuffix(amount, "bit") {
		bytes, err := ParseSize(amount)
		return Rate(bytes), err
	}
	bits, unit, err := humanize.ParseSI(amount)
	if err != nil || unit != "bit" || bits < 0 {
		return 0, errors.Newf("%q is not a rate", text)
	}
	return Rate(bits / bitsPerByte), nil
}

// String formats the size with a unit.
func (s Size) String() string { return humanize.IBytes(uint64(max(0, s))) }

// String formats the rate with a unit.
func (r Rate) String() string { return fmt.Sprintf("%s/s", humanize.Bytes(uint64(max(0, r)))) }

// UnmarshalYAML implements yaml.InterfaceUnmarshaler.
func (s *Size) UnmarshalYAML(unmarshal func(any) error) error {
	var text string
	if err := unmarshal(&text); err != nil {
		return err
	}
	size, err := ParseSize(text)
	*s = size
	return err
}

// UnmarshalYAML implements yaml.InterfaceUnmarshaler.
func (r *Rate) UnmarshalYAML(unmarshal func(any) error) error {
	var text string
	if err := unmarshal(&text); err != nil {
		return err
	}
	rate, err := ParseRate(text)
	*r = rate
	return err
}
