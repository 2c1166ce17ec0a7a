package redwingtally

import (
	"log/slog"
	"math/rand/v2"
	"os"
	"time"

	"github.com/redwingtally/redwingtally/grant"
	"github.com/redwingtally/redwingtally/host"
	"github.com/redwingtally/redwingtally/kernel"
	"github.com/redwingtally/redwingtally/platform"
	"github.com/redwingtally/redwingtally/settings"
)

// An Option changes a default of a Daemon.
type Option func(*options)

type options struct {
	log         *slog.Logger
	store       *platform.Store
	incarnation uint32
	grantTiming grant.Timing
	hostTiming  host.Timing
	hotWindow   time.Duration
	services    []kernel.Service
}

// defaultHotWindow is the time over which the traffic of keys is counted; a key
// moves after two hot windows.
const defaultHotWindow = 10 * time.Second

func defaultOptions(s settings.Settings) options {
	var level slog.Level
	_ = level.UnmarshalText([]byte(s.LogLevel))
	return options{
		log:         slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level})),
		store:       platform.NewStore(s.PlatformAddress),
		incarnation: rand.Uint32() | 1,
		grantTiming: grant.DefaultTiming(),
		hostTiming:  host.DefaultTiming(),
		hotWindow:   defaultHotWindow,
	}
}

// WithLogger sets the logger.
func WithLogger(log *slog.Logger) Option {
	return func(o *options) { o.log = log }
}

// WithStore sets the platform's object API.
func WithStore(store *platform.Store) Option {
	return func(o *options) { o.store = store }
}

// WithGrantTiming sets the periods of ownership; all daemons need the same.
func WithGrantTiming(t grant.Timing) Option {
	return func(o *options) { o.grantTiming = t }
}

// WithHostTiming sets the periods of membership.
func WithHostTiming(t host.Timing) Option {
	return func(o *options) { o.hostTiming = t }
}

// WithHotWindow sets the time over which the traffic of keys is counted.
func WithHotWindow(d time.Duration) Option {
	return func(o *options) { o.hotWindow = d }
}

// WithService registers a further service with the kernel.
func WithService(s kernel.Service) Option {
	return func(o *options) { o.services = append(o.services, s) }
}
