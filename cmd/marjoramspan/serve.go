package main

import (
	"context"
	"errors"
	"os"
	"runtime/debug"

	klog "github.com/go-kratos/kratos/v2/log"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"marjoramspan/msclock"
	"marjoramspan/msentry"
	"marjoramspan/mssetting"
)

type serveCmd struct {
	Settings string `required:"" type:"existingfile" short:"s" help:"The settings file (INI)."`
}

// Run runs the daemon. An entry that was excluded from the view joins anew.
func (c *serveCmd) Run(ctx context.Context) error {
	set, err := mssetting.Load(c.Settings)
	if err != nil {
		return err
	}
	log, err := newLogger(set.LogOutput.Level)
	if err != nil {
		return err
	}
	defer func() { _ = log.Sync() }()
	klog.SetLogger(kratosLog{log: log})
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(memoryLimit)
	for {
		e := &msentry.Entry{
			Settings: set,
			Clock:    msclock.System{},
			Log:      log.With(zap.String("entry", set.Entry.Name)),
			Seed:     uint64(os.Getpid()),
		}
		err := e.Run(ctx)
		if !errors.Is(err, msentry.ErrExcluded) || ctx.Err() != nil {
			return err
		}
	}
}

const (
	// gcPercent lets the heap grow to four times what is live between collections,
	// and memoryLimit, in bytes, bounds that growth.
	gcPercent   = 300
	memoryLimit = 200 << 20
)

func newLogger(level string) (*zap.Logger, error) {
	l, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, err
	}
	cfg := zap.NewProductionConfig()
	cfg.Level = zap.NewAtomicLevelAt(l)
	cfg.Sampling = nil
	cfg.OutputPaths = []string{"stdout"}
	cfg.EncoderConfig.TimeKey = "time"
	cfg.EncoderConfig.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	return cfg.Build()
}

type settingsCmd struct {
	Check settingsCheckCmd `cmd:"" help:"Check a settings file."`
	Show  settingsShowCmd  `cmd:"" help:"Show the settings in force, defaults included."`
}

type settingsCheckCmd struct {
	File string `arg:"" type:"existingfile" help:"The settings file."`
}

// Run checks the file.
func (c *settingsCheckCmd) Run() error {
	_, err := mssetting.Load(c.File)
	return err
}

type settingsShowCmd struct {
	File string `arg:"" type:"existingfile" help:"The settings file."`
}

// Run prints the settings in force.
func (c *settingsShowCmd) Run() error {
	set, err := mssetting.Load(c.File)
	if err != nil {
		return err
	}
	return mssetting.Format(os.Stdout, set)
}
