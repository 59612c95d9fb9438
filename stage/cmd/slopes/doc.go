// Command slopes measures what one more node, server, adapter, change, wake-up or booking costs control.
package main
