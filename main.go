// Command greengageline schedules multi-accelerator jobs under workspace
// guarantees.
package main

import (
	"context"
	"os"

	"greengageline/internal/cmds"
)

func main() {
	os.Exit(cmds.Main(context.Background(), os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}
