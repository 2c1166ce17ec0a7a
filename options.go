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

// An Option overrides a default of a Daemon.
type Option func(*options)

// options holds everything that an Option can override.
type options struct {
	log          *slog.Logger
	store        *platform.Store
	incarnation  uint32
	grantTiming  grant.Timing
	hostTiming   host.Timing
	hotKeyWindow time.Duration
	services     []kernel.Service
}

// defaultHotKeyWindow is the default length of a window in which requests per key
// are counted. A key gets a shard of its own after it was hot in two consecutive
// windows.
const defaultHotKeyWindow = 10 * time.Second

// defaultOptions returns the defaults for the given settings.
func defaultOptions(s settings.Settings) options {
	var level slog.Level
	_ = level.UnmarshalText([]byte(s.LogLevel))
	return options{
		log:          slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level})),
		store:        platform.NewStore(s.PlatformAddress),
		incarnation:  rand.Uint32() | 1,
		grantTiming:  grant.DefaultTiming(),
		hostTiming:   host.DefaultTiming(),
		hotKeyWindow: defaultHotKeyWindow,
	}
}

// WithLogger sets the logger.
func WithLogger(log *slog.Logger) Option {
	return func(o *options) { o.log = log }
}

// WithStore sets the client of the platform's object API.
func WithStore(store *platform.Store) Option {
	return func(o *options) { o.store = store }
}

// WithGrantTiming sets the timing of grants. It must be the same on all daemons.
func WithGrantTiming(t grant.Timing) Option {
	return func(o *options) { o.grantTiming = t }
}

// WithHostTiming sets the timing of membership.
func WithHostTiming(t host.Timing) Option {
	return func(o *options) { o.hostTiming = t }
}

// WithHotKeyWindow sets the length of a window in which requests per key are
// counted to detect hot keys.
func WithHotKeyWindow(d time.Duration) Option {
	return func(o *options) { o.hotKeyWindow = d }
}

// WithService registers an additional service with the kernel.
func WithService(s kernel.Service) Option {
	return func(o *options) { o.services = append(o.services, s) }
}
