// Package config stores the operators' configuration, a folder of small TOML
// files, in the platform's table. It merges the files in the order of their
// names into an immutable Plan and checks the result.
//
// Each accepted change is one table transaction that increments the generation
// in the head row. A reader never goes back to an earlier generation.
package config
