package sched

import (
	"unsafe"

	"greengageline/pkg/model"
)

const (
	// jobBytes is the memory of a job beside its steps and tasks: the entries in the maps of its owner.
	jobBytes = 1 << 10
	// encodedFactor times the length of a job's encoded form is what its texts and its encoded form take while it is read.
	encodedFactor = 2
	// placedBytes is the memory of a task's run: its checkpoint, and its part of the encoded record.
	placedBytes = 128
	batchBytes  = int64(unsafe.Sizeof(Batch{}))
	taskBytes   = int64(unsafe.Sizeof(Task{})) + placedBytes
	stepBytes   = int64(unsafe.Sizeof(model.Step{}))
)

// StateBytes returns about how much memory a valid job takes at its owner, where encoded is the length of its encoded
// form.
func StateBytes(w *model.Work, encoded int) int64 {
	n := jobBytes + encodedFactor*int64(encoded) + int64(len(w.Steps))*stepBytes
	times := int64(w.Times())
	for i := range w.Steps {
		n += times * (batchBytes + int64(w.Steps[i].Tasks)*taskBytes)
	}
	return n
}
