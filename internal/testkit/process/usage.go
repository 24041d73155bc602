package process

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"
)

// clockTicksPerSecond converts the clock ticks in which /proc reports CPU time
// on Linux.
const clockTicksPerSecond = 100

// Usage is what a process uses.
type Usage struct {
	// CPUTime is the sum of user and system time.
	CPUTime time.Duration
	// ResidentBytes is the resident set size in bytes.
	ResidentBytes int64
	// Descriptors is the number of open files and sockets.
	Descriptors int
}

// Usage reads the CPU time, memory and descriptors of the process from /proc.
func (p *Process) Usage(t testing.TB) Usage {
	t.Helper()
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.ID()))
	if err != nil {
		t.Fatal(err)
	}
	// The second field may contain spaces, so fields are counted from its closing
	// parenthesis. User and system time are the 14th and 15th field of proc(5),
	// the number of resident pages is the 24th.
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+2:]))
	var numbers [3]int64
	for i, field := range []string{fields[11], fields[12], fields[21]} {
		if numbers[i], err = strconv.ParseInt(field, 10, 64); err != nil {
			t.Fatal(err)
		}
	}
	open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.ID()))
	if err != nil {
		t.Fatal(err)
	}
	return Usage{
		Descriptors:   len(open),
		CPUTime:       time.Duration(numbers[0]+numbers[1]) * time.Second / clockTicksPerSecond,
		ResidentBytes: numbers[2] * int64(os.Getpagesize()),
	}
}
