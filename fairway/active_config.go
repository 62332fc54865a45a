package fairway

import "sync/atomic"

// ActiveConfig holds the configuration in force. It is safe for concurrent use.
type ActiveConfig struct {
	current atomic.Pointer[Config]
}

// NewActiveConfig returns an ActiveConfig without a configuration.
func NewActiveConfig() *ActiveConfig {
	return &ActiveConfig{}
}

// Current returns the configuration in force, or nil if none has been set.
func (a *ActiveConfig) Current() *Config {
	return a.current.Load()
}

// SetIfNewer puts config in force unless the current version is the same or
// newer. It reports whether config was put in force.
func (a *ActiveConfig) SetIfNewer(config *Config) bool {
	for {
		current := a.current.Load()
		if current != nil && current.Version >= config.Version {
			return false
		}
		if a.current.CompareAndSwap(current, config) {
			return true
		}
	}
}
