// Package soaker books through a deployment of real processes while it kills and freezes them, and checks the ledgers.
package soaker
