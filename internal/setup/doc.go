// Package setup declares the settings of a node once, each with its name,
// unit, default, meaning and check, and reads them from a TOML file, the
// environment and flags of the same names.
package setup
