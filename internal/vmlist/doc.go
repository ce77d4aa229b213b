// Package vmlist is the adapter of the platform's list of target VMs. The list
// lags: an absent or leaving entry is believed, an entry that looks live is not
// enough to revive a VM that is known to be leaving.
package vmlist
