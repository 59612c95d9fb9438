// Package faulter injects faults into stand-in servers: crashes, slowdown, silent connections, failed loads, wrong answers.
package faulter
