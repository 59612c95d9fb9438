// Command soak sends bookings to real processes under random kills and freezes and checks which ones ran.
package main
