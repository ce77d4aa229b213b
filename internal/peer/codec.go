package peer

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
	"github.com/samber/lo"

	"greengageline/pkg/model"
)

const (
	codecName = "cbor"
	// maxElements bounds a list in a message: the longest have the 4,096 orders that a carrier has in hand. maxFields
	// bounds an object and maxLevels the nesting. They are checked before anything is decoded.
	maxElements = 8192
	maxFields   = 1024
	maxLevels   = 16
)

// decoder decodes messages within the bounds. Its options are constant and valid.
var decoder = lo.Must(cbor.DecOptions{MaxArrayElements: maxElements, MaxMapPairs: maxFields, MaxNestedLevels: maxLevels}.DecMode())

// codec encodes gRPC messages as CBOR and validates each message after decoding.
type codec struct{}

// Name returns the content subtype under which gRPC registers the codec.
func (codec) Name() string { return codecName }

// encoded is a message that has been encoded already.
type encoded []byte

// Marshal encodes v.
func (codec) Marshal(v any) ([]byte, error) {
	if data, ok := v.(encoded); ok {
		return data, nil
	}
	data, err := cbor.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("encode %T: %w", v, err)
	}
	return data, nil
}

// Unmarshal decodes data into v and calls v's Check method if it has one.
func (codec) Unmarshal(data []byte, v any) error {
	if err := decoder.Unmarshal(data, v); err != nil {
		return fmt.Errorf("decode %T: %w", v, err)
	}
	if c, ok := v.(model.Checker); ok {
		return c.Check()
	}
	return nil
}
