package main

import (
	"context"
	"encoding/json"
	"flag"
	"io/fs"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/google/subcommands"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/chervilwell/chervilwell/catalogue"
	"github.com/chervilwell/chervilwell/document"
	"github.com/chervilwell/chervilwell/internal/standin"
	"github.com/chervilwell/chervilwell/origin"
)

// platformCommand serves a stand-in for the platform. It publishes the given files and republishes them when they change.
type platformCommand struct {
	log       zerolog.Logger
	listen    string
	catalogue string
	instances string
	values    string
	reload    time.Duration
	cfg       standin.PlatformConfig
}

func (*platformCommand) Name() string     { return "platform" }
func (*platformCommand) Synopsis() string { return "serve a stand-in for the configuration service" }

func (*platformCommand) Usage() string {
	return "platform [-listen ADDRESS] [-catalogue FILE] [-instances FILE] [-values DIR]\n" +
		"The files are reloaded when they change. POST " + standin.FaultsPath + " switches outage and stale answers.\n"
}

func (c *platformCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.listen, "listen", "127.0.0.1:8500", "address to listen on")
	f.StringVar(&c.catalogue, "catalogue", "", "catalogue to publish, JSON with comments")
	f.StringVar(&c.instances, "instances", "", "instances to list, a JSON array")
	f.StringVar(&c.values, "values", "", "directory whose files are published as values, keyed by their path below it")
	f.DurationVar(&c.reload, "reload", time.Second, "interval between checks of the files for changes")
	f.Float64Var(&c.cfg.ReadsPerSecond, "reads-per-second", 2000, "read budget over all readers; 0 for no limit")
	f.DurationVar(&c.cfg.Delay, "delay", 3*time.Millisecond, "delay of each call")
	f.DurationVar(&c.cfg.InstanceLag, "instance-lag", 5*time.Second, "time until a change of the instances appears in the lists")
}

func (c *platformCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() > 0 || c.reload <= 0 {
		return subcommands.ExitUsageError
	}
	pub := &publisher{command: c, platform: standin.NewPlatform(c.cfg), modTimes: map[string]time.Time{}, listed: map[string]origin.Instance{}}
	if err := pub.publish(); err != nil {
		return exitStatus(err)
	}
	go pub.run(ctx)
	mux := http.NewServeMux()
	mux.Handle("/v1/", pub.platform.Handler())
	mux.HandleFunc("POST "+standin.FaultsPath, pub.platform.ServeFaults)
	return exitStatus(serve(ctx, c.listen, mux, c.log))
}

// publisher publishes the files of the command and republishes those that change.
type publisher struct {
	command  *platformCommand
	platform *standin.Platform
	modTimes map[string]time.Time       // modification time of each file when it was last read
	listed   map[string]origin.Instance // published instances by name
}

// run checks the files for changes until ctx is done. On an error it logs the error, and the published state stays.
func (p *publisher) run(ctx context.Context) {
	ticker := time.NewTicker(p.command.reload)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if err := p.publish(); err != nil {
				p.command.log.Error().Err(err).Msg("files not published")
			}
		}
	}
}

// publish publishes all files that have changed since the previous call.
func (p *publisher) publish() error {
	if err := p.publishValues(); err != nil {
		return err
	}
	if err := p.publishCatalogue(); err != nil {
		return err
	}
	return p.publishInstances()
}

// readChanged returns the content of a file, or nil if file is empty or has not changed since it was last read.
func (p *publisher) readChanged(file string) ([]byte, error) {
	if file == "" {
		return nil, nil
	}
	info, err := os.Stat(file)
	if err != nil {
		return nil, errors.Wrap(err, "can't read a file; check the path given by the flag")
	}
	if info.ModTime().Equal(p.modTimes[file]) {
		return nil, nil
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "can't read a file; check the path given by the flag")
	}
	p.modTimes[file] = info.ModTime()
	return data, nil
}

func (p *publisher) publishCatalogue() error {
	data, err := p.readChanged(p.command.catalogue)
	if err != nil || data == nil {
		return err
	}
	c, err := catalogue.Parse(p.command.catalogue, data)
	if err != nil {
		return err
	}
	version, err := p.platform.PublishCatalogue(c)
	p.logCatalogue(version, err)
	return err
}

func (p *publisher) logCatalogue(version document.Version, err error) {
	if err == nil {
		p.command.log.Info().Uint64("revision", version.Revision).Stringer("digest", version.Digest).Msg("catalogue published")
	}
}

// publishInstances publishes the instances of the file and removes those that are no longer in it.
func (p *publisher) publishInstances() error {
	data, err := p.readChanged(p.command.instances)
	if err != nil || data == nil {
		return err
	}
	var list []origin.Instance
	if err := json.Unmarshal(data, &list); err != nil {
		return errors.Wrapf(err, "%s is not an array of instances", p.command.instances)
	}
	next := map[string]origin.Instance{}
	for _, inst := range list {
		next[inst.Name] = inst
	}
	for name, inst := range p.listed {
		if _, ok := next[name]; !ok {
			p.platform.RemoveInstance(inst.FailureDomain, name)
		}
	}
	p.platform.PutInstance(list...)
	p.listed = next
	p.command.log.Info().Int("instances", len(list)).Msg("instances published")
	return nil
}

// publishValues publishes the changed files of the directory as values, the manifest last.
func (p *publisher) publishValues() error {
	dir := p.command.values
	if dir == "" {
		return nil
	}
	var keys []string
	err := filepath.WalkDir(dir, func(path string, entry fs.DirEntry, err error) error {
		if err == nil && entry.Type().IsRegular() {
			key, relErr := filepath.Rel(dir, path)
			keys = append(keys, filepath.ToSlash(key))
			return relErr
		}
		return err
	})
	if err != nil {
		return errors.Wrap(err, "can't read the directory of values; check the path given by -values")
	}
	slices.SortFunc(keys, func(a, b string) int {
		return publishOrder(a) - publishOrder(b)
	})
	for _, key := range keys {
		data, err := p.readChanged(filepath.Join(dir, filepath.FromSlash(key)))
		if err != nil {
			return err
		}
		if data == nil {
			continue
		}
		if err := p.platform.Put(key, data); err != nil {
			return err
		}
	}
	return nil
}

// publishOrder returns the sort order of a key: 1 for the manifest and 0 for others, so that chunks are published first.
func publishOrder(key string) int {
	if key == origin.ManifestKey {
		return 1
	}
	return 0
}
