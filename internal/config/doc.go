// Package config holds the operators' folder of small TOML files: it merges
// them in the order of their names into an immutable Plan, checks the whole,
// and keeps generations in the platform's table.
//
// A generation is one transaction on the head row; a reader goes only forward.
package config
