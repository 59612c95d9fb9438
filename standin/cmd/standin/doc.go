// Command standin runs one stand-in backend server: a model engine or an order service.
package main
