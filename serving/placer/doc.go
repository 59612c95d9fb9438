// Package placer tracks one backend server's adapter slots: which adapters are loaded, pinned or evictable.
package placer
