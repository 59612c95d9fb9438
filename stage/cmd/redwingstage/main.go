package main

import (
	"os"

	"redwingstage.org/stage/operator"
)

func main() {
	env := operator.Env{In: os.Stdin, Out: os.Stdout, Err: os.Stderr}
	os.Exit(int(operator.Run(env, os.Args[1:])))
}
