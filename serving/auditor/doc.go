// Package auditor holds the audit trail: operator, time, address and the objects before and after each change.
package auditor
