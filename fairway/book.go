package fairway

import "sync/atomic"

// ActiveConfig holds the configuration in force. It is safe for concurrent use.
type ActiveConfig struct {
	current atomic.Pointer[Config]
}

// NewActiveConfig returns a book without a configuration.
func NewActiveConfig() *ActiveConfig {
	return &ActiveConfig{}
}

// Current returns the configuration in force, or nil while none is known.
func (b *ActiveConfig) Current() *Config {
	return b.current.Load()
}

// SetIfNewer puts c in force unless the book has the same or a newer version. It
// reports whether c is now in force.
func (b *ActiveConfig) SetIfNewer(c *Config) bool {
	for {
		old := b.current.Load()
		if old != nil && old.Version >= c.Version {
			return false
		}
		if b.current.CompareAndSwap(old, c) {
			return true
		}
	}
}
