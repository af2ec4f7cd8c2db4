// Command asterridge runs one daemon on the users' platform.
package main

import (
	"os"

	"asterridge/platform"
)

func main() { os.Exit(platform.Main(os.Args[1:])) }
