package manifest

import (
	"fmt"
	"math/bits"

	"github.com/klauspost/compress/zstd"
)

// deltaDictionary is the zstd dictionary id under which both ends of a delta
// know the base body.
const deltaDictionary = 1

// minDeltaWindow is the smallest zstd window of a delta in bytes.
const minDeltaWindow = 64 << 10

// MakeDelta returns target as a zstd frame with base as its dictionary. Both
// are canonical bodies; base may be empty.
func MakeDelta(base, target []byte) []byte {
	options := []zstd.EOption{
		zstd.WithEncoderConcurrency(1),
		zstd.WithEncoderCRC(false),
		zstd.WithLowerEncoderMem(true),
		zstd.WithWindowSize(deltaWindow(len(base) + len(target))),
	}
	if len(base) > 0 {
		options = append(options, zstd.WithEncoderDictRaw(deltaDictionary, base))
	}
	encoder, err := zstd.NewWriter(nil, options...)
	if err != nil {
		// Only options out of range give an error.
		panic(fmt.Sprintf("manifest: delta encoder: %v", err))
	}
	defer encoder.Close()
	return encoder.EncodeAll(target, nil)
}

// ApplyDelta returns the target that MakeDelta was given with the same base.
// With another base it returns an error or a wrong body: the caller compares
// the digest of the result. A result of more than MaxSourceSize bytes is an
// error.
func ApplyDelta(base, delta []byte) ([]byte, error) {
	options := []zstd.DOption{
		zstd.WithDecoderConcurrency(1),
		zstd.WithDecoderLowmem(true),
		zstd.WithDecoderMaxMemory(MaxSourceSize),
		zstd.WithDecoderMaxWindow(uint64(deltaWindow(2 * MaxSourceSize))),
	}
	if len(base) > 0 {
		options = append(options, zstd.WithDecoderDictRaw(deltaDictionary, base))
	}
	decoder, err := zstd.NewReader(nil, options...)
	if err != nil {
		return nil, fmt.Errorf("apply delta: %w", err)
	}
	defer decoder.Close()
	target, err := decoder.DecodeAll(delta, nil)
	if err != nil {
		return nil, fmt.Errorf("apply delta: %w", err)
	}
	return target, nil
}

// deltaWindow returns the power of two that holds n bytes.
func deltaWindow(n int) int {
	return max(minDeltaWindow, 1<<bits.Len(uint(n)))
}
