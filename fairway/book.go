package fairway

import "sync/atomic"

// Book holds the configuration in force. It is safe for concurrent use.
type Book struct {
	current atomic.Pointer[Config]
}

// NewBook returns a book without a configuration.
func NewBook() *Book {
	return &Book{}
}

// Current returns the configuration in force, or nil while none is known.
func (b *Book) Current() *Config {
	return b.current.Load()
}

// Offer puts c in force unless the book has the same or a newer version. It
// reports whether c is now in force.
func (b *Book) Offer(c *Config) bool {
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
