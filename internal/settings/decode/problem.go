package decode

import (
	"fmt"
	"sort"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
)

type (
	// Problem is one fault of a settings file.
	Problem struct {
		File string
		// Line counts from 1.
		Line int
		// Key is the path of the setting, such as limits.maxBodySize.
		Key string
		// Found says what is wrong.
		Found string
		// Expected says what would be right; empty when Found says it all.
		Expected string
	}

	// Problems is the error for a file with at least one problem, by line.
	Problems []Problem

	// Report collects the problems of one file.
	Report struct {
		file     string
		lines    map[string]int
		problems Problems
	}
)

// Error returns the problem in one line.
func (p Problem) Error() string {
	text := fmt.Sprintf("%s:%d: ", p.File, p.Line)
	if p.Key != "" {
		text += p.Key + ": "
	}
	text += p.Found
	if p.Expected != "" {
		text += "; expected " + p.Expected
	}
	return text
}

// Error returns one line for each problem.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.Error()
	}
	return strings.Join(lines, "\n")
}

// Add reports a problem with the key; a key that the file does not have is
// placed at the line of its nearest parent.
func (r *Report) Add(key, found, expected string) {
	r.problems = append(r.problems, Problem{
		File: r.file, Line: r.line(key), Key: key, Found: found, Expected: expected,
	})
}

func (r *Report) line(key string) int {
	for {
		if line, ok := r.lines[key]; ok {
			return line
		}
		key = key[:max(0, strings.LastIndexAny(key, ".["))]
	}
}

// syntax takes over an error of the YAML library.
func (r *Report) syntax(err error) {
	var located yaml.Error
	if !errors.As(err, &located) || located.GetToken() == nil {
		r.Add("", firstLine(err.Error()), "")
		return
	}
	r.problems = append(r.problems, Problem{
		File: r.file, Line: located.GetToken().Position.Line, Found: firstLine(located.GetMessage()),
		Expected: "valid YAML or JSON",
	})
}

func (r *Report) err() error {
	if len(r.problems) == 0 {
		return nil
	}
	sort.SliceStable(r.problems, func(i, j int) bool { return r.problems[i].Line < r.problems[j].Line })
	return r.problems
}

func firstLine(text string) string {
	line, _, _ := strings.Cut(text, "\n")
	return line
}
