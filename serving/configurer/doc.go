// Package configurer holds the configuration: classes, services, adapters and versions, changed by compare-and-set on a revision.
package configurer
