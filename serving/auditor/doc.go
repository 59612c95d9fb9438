// Package auditor keeps the audit trail: who changed what, when and from where, with the state before and after.
package auditor
