// Package logger writes short structured sentences with a fixed prefix for each part.
package logger
