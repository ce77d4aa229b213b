// Package cmds is the command line: a file for each subcommand, with its usage,
// help and example. Exit codes: 0 done, 1 failed, 2 wrong use, 3 refused (did
// not run), 4 not known yet (ask again with the same key).
package cmds
