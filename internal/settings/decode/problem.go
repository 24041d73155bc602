package decode

import (
	"fmt"
	"sort"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
)

type (
	// Problem is one error in a settings file.
	Problem struct {
		File string
		// Line is the line number, from 1.
		Line int
		// Key is the path of the setting, such as limits.maxBodySize.
		Key string
		// Found describes the error.
		Found string
		// Expected describes the values that are allowed; empty if Found is sufficient.
		Expected string
	}

	// Problems is the error for an invalid file: at least one problem, sorted by line.
	Problems []Problem

	// Report collects the problems of one file.
	Report struct {
		file string
		// lines maps the keys that the file contains to their line numbers.
		lines    map[string]int
		problems Problems
	}
)

// Error returns the problem as one line of text.
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

// Add reports a problem with a key. If the file does not contain the key, the
// problem gets the line of the nearest parent that it contains.
func (r *Report) Add(key, found, expected string) {
	r.problems = append(r.problems, Problem{
		File: r.file, Line: r.line(key), Key: key, Found: found, Expected: expected,
	})
}

// line returns the line of the key, or of its nearest parent in the file.
func (r *Report) line(key string) int {
	for {
		if line, ok := r.lines[key]; ok {
			return line
		}
		key = key[:max(0, strings.LastIndexAny(key, ".["))]
	}
}

// addSyntaxError reports an error of the YAML library, with its position if it
// has one.
func (r *Report) addSyntaxError(err error) {
	var positioned yaml.Error
	if !errors.As(err, &positioned) || positioned.GetToken() == nil {
		r.Add("", firstLine(err.Error()), "")
		return
	}
	r.problems = append(r.problems, Problem{
		File: r.file, Line: positioned.GetToken().Position.Line, Found: firstLine(positioned.GetMessage()),
		Expected: "valid YAML or JSON",
	})
}

// err returns the problems sorted by line, or nil if there are none.
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
