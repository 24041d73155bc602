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

// clockTicks is the unit of processor time in /proc on Linux.
const clockTicks = 100

// Usage is what a process has spent.
type Usage struct {
	// Processor is user and system time.
	Processor time.Duration
	// Resident is in bytes.
	Resident int64
}

// Usage reads the processor time and memory of the process.
func (p *Process) Usage(t testing.TB) Usage {
	t.Helper()
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.ID()))
	if err != nil {
		t.Fatal(err)
	}
	// The second field may hold spaces; user and system time are the 14th and
	// 15th, resident pages the 24th.
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+2:]))
	var numbers [3]int64
	for i, field := range []string{fields[11], fields[12], fields[21]} {
		if numbers[i], err = strconv.ParseInt(field, 10, 64); err != nil {
			t.Fatal(err)
		}
	}
	return Usage{
		Processor: time.Duration(numbers[0]+numbers[1]) * time.Second / clockTicks,
		Resident:  numbers[2] * int64(os.Getpagesize()),
	}
}
