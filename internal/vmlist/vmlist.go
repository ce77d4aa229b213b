package vmlist

import (
	"context"
	"errors"
	"fmt"

	"greengageline/internal/wire"
	"greengageline/pkg/model"
)

// ErrDown means that the VM list could not be read.
var ErrDown = errors.New("vm list unavailable")

// List is a client of the VM list; set Wire before use.
type List struct {
	Wire *wire.Client
}

type listReply struct {
	VMs []model.VM `json:"vms"`
}

// Read returns the VMs that pass VM.Check and the ids of those that do not. Its error
// wraps ErrDown.
func (l *List) Read(ctx context.Context) (vms []model.VM, invalid []string, err error) {
	var r listReply
	if err := l.Wire.Get(ctx, "/vms", &r); err != nil {
		return nil, nil, fmt.Errorf("read vm list: %w: %w", ErrDown, err)
	}
	for _, vm := range r.VMs {
		if vm.Check() != nil {
			invalid = append(invalid, vm.ID)
			continue
		}
		vms = append(vms, vm)
	}
	return vms, invalid, nil
}
