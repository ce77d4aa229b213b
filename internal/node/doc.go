// Package node implements the process of an entry VM. It follows the configuration and the VM
// list, exchanges heartbeats with its peers, competes for the ownership of cells, and passes
// each caller's request to the node that can serve it. It stores nothing on disk.
package node
