// Package setup declares the settings of a node, each with its name, unit,
// default, description and check. It reads them from flags, the environment and a
// TOML file; a setting has the same name in all three.
package setup
