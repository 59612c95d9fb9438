// Package logger writes JSON log lines with a prefix and rate limits per component.
package logger
