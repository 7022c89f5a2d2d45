package hop

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"
)

// maxSource is the largest configuration in bytes that Unpack returns.
const maxSource = 16 << 20

// Pack compresses a configuration for the way to other daemons. Routes resemble
// each other, so that little is left.
func Pack(source []byte) ([]byte, error) {
	var packed bytes.Buffer
	writer := gzip.NewWriter(&packed)
	if _, err := writer.Write(source); err != nil {
		return nil, fmt.Errorf("pack configuration: %w", err)
	}
	if err := writer.Close(); err != nil {
		return nil, fmt.Errorf("pack configuration: %w", err)
	}
	return packed.Bytes(), nil
}

// Unpack returns what Pack was given.
func Unpack(packed []byte) ([]byte, error) {
	reader, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, fmt.Errorf("unpack configuration: %w", err)
	}
	source, err := io.ReadAll(io.LimitReader(reader, maxSource+1))
	if err != nil {
		return nil, fmt.Errorf("unpack configuration: %w", err)
	}
	if len(source) > maxSource {
		return nil, fmt.Errorf("unpack configuration: more than %d bytes", maxSource)
	}
	return source, nil
}
