// Package node is one entry VM's process: it follows the configuration and the
// VM list, exchanges heartbeats with its peers, keeps cells, and passes each
// caller's request to the node that can serve it. It keeps nothing on disk.
package node
