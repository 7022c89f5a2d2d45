package hop

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"
)

// maxConfigBytes bounds the configuration that DecompressConfig returns.
const maxConfigBytes = 16 << 20

// CompressConfig compresses a configuration with gzip for transfer to other
// daemons. Routes resemble each other, so the result is much smaller.
func CompressConfig(source []byte) ([]byte, error) {
	var compressed bytes.Buffer
	writer := gzip.NewWriter(&compressed)
	if _, err := writer.Write(source); err != nil {
		return nil, fmt.Errorf("compress configuration: %w", err)
	}
	if err := writer.Close(); err != nil {
		return nil, fmt.Errorf("compress configuration: %w", err)
	}
	return compressed.Bytes(), nil
}

// DecompressConfig decompresses the result of CompressConfig. It fails if
// compressed is not a complete gzip stream or its content exceeds 16 MiB.
func DecompressConfig(compressed []byte) ([]byte, error) {
	reader, err := gzip.NewReader(bytes.NewReader(compressed))
	if err != nil {
		return nil, fmt.Errorf("decompress configuration: %w", err)
	}
	source, err := io.ReadAll(io.LimitReader(reader, maxConfigBytes+1))
	if err != nil {
		return nil, fmt.Errorf("decompress configuration: %w", err)
	}
	if len(source) > maxConfigBytes {
		return nil, fmt.Errorf("decompress configuration: content exceeds %d bytes", maxConfigBytes)
	}
	return source, nil
}
