package command

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/settings/decode"
)

// Environment variables that error messages refer to. The arg tags below define
// these and all others.
const (
	envObjectAPI = "MULBERRYSPOOL_OBJECT_API"
	envInstances = "MULBERRYSPOOL_INSTANCES"
	envAuthor    = "MULBERRYSPOOL_AUTHOR"
)

type (
	arguments struct {
		Entry    *roleArguments     `arg:"subcommand:entry" help:"run an entry"`
		Agent    *roleArguments     `arg:"subcommand:agent" help:"run an agent beside a backend server"`
		Tables   *tablesArguments   `arg:"subcommand:tables" help:"read and change routes and pools"`
		Weights  *weightsArguments  `arg:"subcommand:weights" help:"publish and show versions"`
		Status   *statusArguments   `arg:"subcommand:status" help:"show what every pool serves"`
		Timeline *timelineArguments `arg:"subcommand:timeline" help:"show the events of all processes"`
		Local    *localArguments    `arg:"subcommand:local" help:"run a complete system on loopback"`
		Hosted   *hostedArguments   `arg:"subcommand:hosted" help:"run a role on the users' platform"`

		ObjectAPI string        `arg:"--object-api,env:MULBERRYSPOOL_OBJECT_API" placeholder:"URL" help:"base URL of the object API"`
		Instances string        `arg:"--instances,env:MULBERRYSPOOL_INSTANCES" placeholder:"URL" help:"base URL of the instance list"`
		Settings  string        `arg:"--settings,env:MULBERRYSPOOL_SETTINGS" placeholder:"FILE" help:"operator's settings: objectAPI, instances, author"`
		Timeout   time.Duration `arg:"--timeout" default:"30s" help:"bounds the whole command"`
	}

	roleArguments struct {
		Config string `arg:"--config" placeholder:"FILE" help:"settings of the role"`
		Check  bool   `arg:"--check" help:"check the settings and exit"`
	}

	hostedArguments struct {
		Entry *hostedRole `arg:"subcommand:entry" help:"take callers' requests"`
		Agent *hostedRole `arg:"subcommand:agent" help:"bring weights to the model server on this machine"`
	}

	hostedRole struct {
		Check bool `arg:"--check" help:"check the settings and exit"`
	}

	tablesArguments struct {
		Get      *tablesGet      `arg:"subcommand:get" help:"print the stored tables"`
		Apply    *tablesApply    `arg:"subcommand:apply" help:"change the tables"`
		Validate *tablesValidate `arg:"subcommand:validate" help:"check a tables file"`
		History  *tablesHistory  `arg:"subcommand:history" help:"list changes"`
	}

	tablesGet struct {
		JSON bool `arg:"--json" help:"print JSON"`
	}

	tablesApply struct {
		File        string                 `arg:"-f,--file" placeholder:"FILE" help:"all rows as they are to be"`
		DryRun      bool                   `arg:"--dry-run" help:"print the difference and write nothing"`
		Wait        bool                   `arg:"--wait" help:"return when every live process has the revision in force"`
		WaitTimeout time.Duration          `arg:"--wait-timeout" default:"1m" help:"bounds the wait"`
		Revert      mulberryspool.Revision `arg:"--revert" placeholder:"REV" help:"permit to undo the change that made this revision; without a file, undo it"`
		Author      string                 `arg:"--author,env:MULBERRYSPOOL_AUTHOR" help:"name in the history"`
		AllowEmpty  bool                   `arg:"--allow-empty" help:"permit pools without live servers"`
		Replace     bool                   `arg:"--replace-unreadable" help:"replace a stored document that can't be read"`
	}

	tablesValidate struct {
		File string `arg:"-f,--file" placeholder:"FILE" help:"tables file"`
	}

	tablesHistory struct {
		Limit int  `arg:"--limit" default:"20" help:"number of changes"`
		JSON  bool `arg:"--json" help:"print JSON"`
	}

	weightsArguments struct {
		Publish *weightsPublish `arg:"subcommand:publish" help:"register a version permanently"`
		Show    *weightsShow    `arg:"subcommand:show" help:"show versions"`
	}

	weightsPublish struct {
		Version     string `arg:"positional,required" help:"name of the version"`
		Origin      string `arg:"--origin" placeholder:"URL" help:"base URL of the origin"`
		Path        string `arg:"--path" help:"path of the content at the origin"`
		WeightStore string `arg:"--weight-store" placeholder:"URL" help:"base URL of the weight store"`
		ChunkSize   string `arg:"--chunk-size" placeholder:"SIZE" help:"such as 4 MiB"`
	}

	weightsShow struct {
		Version string `arg:"positional" help:"name of a version; all without it"`
		JSON    bool   `arg:"--json" help:"print JSON"`
	}

	statusArguments struct {
		JSON        bool          `arg:"--json" help:"print JSON"`
		Concurrency int           `arg:"--concurrency" default:"32" help:"calls at once"`
		CallTimeout time.Duration `arg:"--call-timeout" default:"2s" help:"bounds the call to one process"`
	}

	timelineArguments struct {
		Request string `arg:"--request" placeholder:"ID"`
		Pool    string `arg:"--pool"`
		Version string `arg:"--version"`
		Change  string `arg:"--change" help:"change ID or revision"`
		Kind    string `arg:"--kind"`
		Since   string `arg:"--since" help:"a time, or a duration back from now such as 10m"`
		Format  string `arg:"--format" default:"text" help:"text, json or html"`
		Output  string `arg:"-o,--output" placeholder:"FILE" help:"write to a file"`
	}

	localArguments struct {
		Keep bool `arg:"--keep" help:"leave the system running"`
	}

	// operatorSettings is the file named by --settings.
	operatorSettings struct {
		ObjectAPI string `yaml:"objectAPI" validate:"omitempty,http_url"`
		Instances string `yaml:"instances" validate:"omitempty,http_url"`
		Author    string `yaml:"author"`
	}
)

// readSettings reads the settings file for values that are set neither by
// arguments nor by the environment.
func (a *arguments) readSettings() error {
	if a.Settings == "" {
		return nil
	}
	var file operatorSettings
	if err := decode.File(a.Settings, &file, decode.Options{}); err != nil {
		return badInput(err)
	}
	a.ObjectAPI = firstNonEmpty(a.ObjectAPI, file.ObjectAPI)
	a.Instances = firstNonEmpty(a.Instances, file.Instances)
	if a.Tables != nil && a.Tables.Apply != nil {
		a.Tables.Apply.Author = firstNonEmpty(a.Tables.Apply.Author, file.Author)
	}
	return nil
}

// badInput adds the exit code for unreadable or invalid settings and tables
// files.
func badInput(err error) error {
	return withCode(ExitBadInput, err)
}

// options checks the arguments and converts them.
func (w *weightsPublish) options() (PublishOptions, error) {
	if err := errors.CombineErrors(require("--origin", w.Origin), require("--path", w.Path)); err != nil {
		return PublishOptions{}, err
	}
	options := PublishOptions{Version: w.Version, Origin: w.Origin, Path: w.Path, WeightStore: w.WeightStore}
	if w.ChunkSize == "" {
		return options, nil
	}
	size, err := decode.ParseSize(w.ChunkSize)
	if err != nil {
		return PublishOptions{}, withCode(ExitBadInput, errors.Wrap(err, "--chunk-size"))
	}
	options.ChunkSize = int64(size)
	return options, nil
}

// require returns an error if an argument is missing. It replaces the check by
// go-arg, whose message gives the placeholder instead of the argument's name.
func require(name, value string) error {
	if value == "" {
		return withCode(ExitBadInput, errors.Newf("%s is required", name))
	}
	return nil
}

// firstNonEmpty returns the first value that is not empty, if any.
func firstNonEmpty(values ...string) string {
	for _, v := range values {
		if v != "" {
			return v
		}
	}
	return ""
}
