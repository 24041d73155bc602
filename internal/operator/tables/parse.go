package tables

import (
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/settings/decode"
)

// File is the tables file that an operator edits. Durations are written with a
// unit.
type File struct {
	// Base is the revision that the file was derived from; 0 if unknown.
	Base   mulberryspool.Revision `yaml:"base,omitempty"`
	Routes []mulberryspool.Route  `yaml:"routes" validate:"dive"`
	Pools  []mulberryspool.Pool   `yaml:"pools" validate:"dive"`
}

// ReadFile reads and validates a tables file in YAML or JSON. The error gives
// file, line, key and the expected value.
func ReadFile(name string) (File, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return File{}, mulberryspool.AtStep(err, "read tables", "")
	}
	return Parse(name, data)
}

// Parse reads and validates tables in YAML or JSON. The name stands for the
// file in error messages.
func Parse(name string, data []byte) (File, error) {
	var f File
	err := decode.Bytes(name, data, &f, decode.Options{Checks: []decode.Check{f.check}})
	return f, err
}

func (f *File) check(report *decode.Report) {
	for _, problem := range findProblems(f.Tables()) {
		report.Add(problem.path, problem.Reason, "")
	}
}

// Tables returns the rows of the file, without a history of changes.
func (f File) Tables() mulberryspool.Tables {
	return mulberryspool.Tables{Routes: f.Routes, Pools: f.Pools}
}

// Format returns the rows at a revision as YAML that Parse accepts.
func Format(t mulberryspool.Tables, revision mulberryspool.Revision) ([]byte, error) {
	return format(t, revision)
}

// FormatJSON returns the rows at a revision as JSON that Parse accepts.
func FormatJSON(t mulberryspool.Tables, revision mulberryspool.Revision) ([]byte, error) {
	return format(t, revision, yaml.JSON())
}

func format(t mulberryspool.Tables, revision mulberryspool.Revision, options ...yaml.EncodeOption) ([]byte, error) {
	t = Canonical(t)
	options = append(options, yaml.CustomMarshaler(func(d time.Duration) ([]byte, error) {
		return []byte(`"` + d.String() + `"`), nil
	}))
	content, err := yaml.MarshalWithOptions(File{Base: revision, Routes: t.Routes, Pools: t.Pools}, options...)
	return content, errors.Wrap(err, "format tables")
}
