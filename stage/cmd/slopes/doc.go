// Command slopes measures control's cost per additional node, server, adapter, change, wake-up or booking.
package main
