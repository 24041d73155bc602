// Package decode reads YAML or JSON settings files strictly into Go structs. It
// reports every problem with file, line, key and the expected value; the
// problems found in one step are reported together.
//
//	bytes -> syntax tree -> comparison with the Go type (unknown keys, units)
//	      -> values over the defaults -> validator tags -> the caller's checks
package decode

import (
	"os"
	"reflect"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"

	"github.com/mulberryspool/mulberryspool"
)

// Check validates decoded values that depend on each other and reports the
// problems it finds.
type Check func(*Report)

// Options configures the steps after decoding.
type Options struct {
	// Override replaces decoded values, for example by command-line flags,
	// before they are checked; may be nil.
	Override func()
	// Checks are called after the validator tags have been checked.
	Checks []Check
}

// File reads a YAML or JSON file into the struct that into points to. Settings
// that the file does not contain keep the value that the struct already has. If
// the content is not valid, the error is a Problems value.
func File(name string, into any, options Options) error {
	data, err := os.ReadFile(name)
	if err != nil {
		return mulberryspool.AtStep(err, "read settings", "")
	}
	return Bytes(name, data, into, options)
}

// Bytes is like File for content that is already in memory. The name is used
// in problems.
func Bytes(name string, data []byte, into any, options Options) error {
	target := reflect.ValueOf(into)
	if target.Kind() != reflect.Pointer || target.Elem().Kind() != reflect.Struct {
		return errors.AssertionFailedf("decode into %T, expected a pointer to a struct", into)
	}
	report := &Report{file: name, lines: map[string]int{"": 1}}
	file, err := parser.ParseBytes(data, 0)
	if err != nil {
		report.addSyntaxError(err)
		return report.err()
	}
	if len(file.Docs) > 1 {
		report.Add("", "the file contains several YAML documents", "one document")
		return report.err()
	}
	if len(file.Docs) == 1 && file.Docs[0].Body != nil && file.Docs[0].Body.Type() != ast.CommentType {
		report.checkNode("", file.Docs[0].Body, target.Elem().Type())
		if report.err() != nil {
			return report.err()
		}
		if err := yaml.UnmarshalWithOptions(data, into, yaml.Strict()); err != nil {
			report.addSyntaxError(err)
			return report.err()
		}
	}
	if options.Override != nil {
		options.Override()
	}
	report.validate(into)
	for _, check := range options.Checks {
		check(report)
	}
	return report.err()
}
