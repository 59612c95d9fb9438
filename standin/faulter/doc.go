// Package faulter injects faults into stand-in servers: crashes, slowness, silent connections, failed loads, wrong answers.
package faulter
