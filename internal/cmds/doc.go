// Package cmds implements the command line. Each subcommand declares its usage,
// help and an example.
//
// Exit codes: 0 success, 1 failure, 2 invalid command line or settings, 3 refused
// (the request had no effect), 4 outcome not known yet (ask again with the same key).
package cmds
