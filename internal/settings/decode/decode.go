// Package decode reads settings files strictly and reports every problem with
// file, line, key and what was expected.
//
//	bytes -> syntax tree -> walk beside the Go type (unknown keys, units)
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

// Check looks at decoded values that depend on each other and reports what is
// wrong with them.
type Check func(*Report)

// Options says what is done after the values are decoded.
type Options struct {
	// Amend changes values before they are checked, such as with command-line
	// flags; nil for nothing.
	Amend func()
	// Checks run after the validator tags.
	Checks []Check
}

// File reads a YAML or JSON file into the struct that into points to, over the
// defaults that it holds. The error is a Problems value when the content is wrong.
func File(name string, into any, options Options) error {
	data, err := os.ReadFile(name)
	if err != nil {
		return mulberryspool.AtStep(err, "read settings", "")
	}
	return Bytes(name, data, into, options)
}

// Bytes does what File does for content that has been read already.
func Bytes(name string, data []byte, into any, options Options) error {
	target := reflect.ValueOf(into)
	if target.Kind() != reflect.Pointer || target.Elem().Kind() != reflect.Struct {
		return errors.AssertionFailedf("decode into %T, expected a pointer to a struct", into)
	}
	report := &Report{file: name, lines: map[string]int{"": 1}}
	file, err := parser.ParseBytes(data, 0)
	if err != nil {
		report.syntax(err)
		return report.err()
	}
	if len(file.Docs) > 1 {
		report.Add("", "the file holds several documents", "one document")
		return report.err()
	}
	if len(file.Docs) == 1 && file.Docs[0].Body != nil && file.Docs[0].Body.Type() != ast.CommentType {
		report.walk("", file.Docs[0].Body, target.Elem().Type())
		if report.err() != nil {
			return report.err()
		}
		if err := yaml.UnmarshalWithOptions(data, into, yaml.Strict()); err != nil {
			report.syntax(err)
			return report.err()
		}
	}
	if options.Amend != nil {
		options.Amend()
	}
	report.validate(into)
	for _, check := range options.Checks {
		check(report)
	}
	return report.err()
}
