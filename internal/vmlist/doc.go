// Package vmlist is the client of the platform's list of target VMs. The list lags
// behind the VMs. Callers therefore trust a missing entry or one marked as leaving,
// but an entry that looks live does not revive a VM that is known to be leaving.
package vmlist
