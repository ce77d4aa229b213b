package peer

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"greengageline/pkg/model"
)

const codecName = "cbor"

// codec encodes gRPC messages as CBOR and validates each message after decoding.
type codec struct{}

// Name returns the content subtype under which gRPC registers the codec.
func (codec) Name() string { return codecName }

// Marshal encodes v.
func (codec) Marshal(v any) ([]byte, error) {
	data, err := cbor.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("encode %T: %w", v, err)
	}
	return data, nil
}

// Unmarshal decodes data into v and calls v's Check method if it has one.
func (codec) Unmarshal(data []byte, v any) error {
	if err := cbor.Unmarshal(data, v); err != nil {
		return fmt.Errorf("decode %T: %w", v, err)
	}
	if c, ok := v.(model.Checker); ok {
		return c.Check()
	}
	return nil
}
