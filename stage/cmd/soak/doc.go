// Command soak books through a deployment of real processes under random kills and freezes and checks what ran.
package main
