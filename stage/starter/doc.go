// Package starter starts an entry or a control replica from its settings.
package starter
