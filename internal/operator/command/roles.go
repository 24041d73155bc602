package command

import (
	"context"
	"fmt"

	"github.com/cockroachdb/errors"

	agentsettings "github.com/mulberryspool/mulberryspool/internal/settings/agent"
	entrysettings "github.com/mulberryspool/mulberryspool/internal/settings/entry"
	hostedsettings "github.com/mulberryspool/mulberryspool/internal/settings/hosted"
)

func (p *Program) entry(ctx context.Context, a *arguments) error {
	if err := require("--config", a.Entry.Config); err != nil {
		return err
	}
	settings, err := entrysettings.Load(a.Entry.Config, func(s *entrysettings.Settings) {
		s.ObjectAPI.URL = firstNonEmpty(a.ObjectAPI, s.ObjectAPI.URL)
		s.InstanceList.URL = firstNonEmpty(a.Instances, s.InstanceList.URL)
	})
	if err != nil {
		return badInput(err)
	}
	if a.Entry.Check {
		return p.printSettingsValid(a.Entry.Config)
	}
	if p.Runners.Entry == nil {
		return errors.New("this build has no entry role")
	}
	return p.Runners.Entry(ctx, settings, p.Err)
}

func (p *Program) agent(ctx context.Context, a *arguments) error {
	if err := require("--config", a.Agent.Config); err != nil {
		return err
	}
	settings, err := agentsettings.Load(a.Agent.Config, func(s *agentsettings.Settings) {
		s.ObjectAPI.URL = firstNonEmpty(a.ObjectAPI, s.ObjectAPI.URL)
		s.InstanceList.URL = firstNonEmpty(a.Instances, s.InstanceList.URL)
	})
	if err != nil {
		return badInput(err)
	}
	if a.Agent.Check {
		return p.printSettingsValid(a.Agent.Config)
	}
	if p.Runners.Agent == nil {
		return errors.New("this build has no agent role")
	}
	return p.Runners.Agent(ctx, settings, p.Err)
}

func (p *Program) hosted(ctx context.Context, a *arguments) error {
	run, role := p.Runners.HostedEntry, a.Hosted.Entry
	if a.Hosted.Agent != nil {
		run, role = p.Runners.HostedAgent, a.Hosted.Agent
	}
	if role == nil {
		return withCode(ExitBadInput, errors.New("hosted needs the subcommand entry or agent"))
	}
	if err := require("--settings", a.Settings); err != nil {
		return err
	}
	settings, err := hostedsettings.Load(a.Settings)
	if err != nil {
		return badInput(err)
	}
	if role.Check {
		return p.printSettingsValid(a.Settings)
	}
	if run == nil {
		return errors.New("this build has no hosted roles")
	}
	return run(ctx, a.Settings, settings, p.Out)
}

func (p *Program) printSettingsValid(file string) error {
	_, err := fmt.Fprintf(p.Out, "%s: settings are valid\n", file)
	return err
}

func (p *Program) local(ctx context.Context, a *localArguments) error {
	if p.Runners.Local == nil {
		return errors.New("this build has no local system")
	}
	return p.Runners.Local(ctx, LocalOptions{Keep: a.Keep}, p.Out)
}

func (p *Program) weights(ctx context.Context, a *arguments) error {
	store, err := p.objectStore(a)
	if err != nil {
		return err
	}
	switch {
	case a.Weights.Publish != nil && p.Runners.PublishWeights != nil:
		options, err := a.Weights.Publish.options()
		if err != nil {
			return err
		}
		return p.Runners.PublishWeights(ctx, store, options, p.Out)
	case a.Weights.Show != nil && p.Runners.ShowWeights != nil:
		return p.Runners.ShowWeights(ctx, store, ShowOptions{Version: a.Weights.Show.Version, JSON: a.Weights.Show.JSON}, p.Out)
	case a.Weights.Publish == nil && a.Weights.Show == nil:
		return withCode(ExitBadInput, errors.New("weights needs the subcommand publish or show"))
	}
	return errors.New("this build has no weights commands")
}
