// Command soak sends bookings to real processes under random kills and suspensions and checks which ones ran.
package main
