package state

import (
	"bytes"

	"github.com/klauspost/compress/zstd"
)

const (
	// minCompressedBytes is the size from which encodings are compressed. Most commands are
	// far smaller, and gain nothing.
	minCompressedBytes = 4 << 10
	// maxDecodedBytes bounds what a compressed command or snapshot may expand to.
	maxDecodedBytes = 512 << 20
)

// zstdMagic starts each compressed encoding. An encoding that is not compressed starts
// with a brace.
var zstdMagic = []byte{0x28, 0xb5, 0x2f, 0xfd}

// compress returns data compressed, or unchanged if it is small.
func compress(data []byte) ([]byte, error) {
	if len(data) < minCompressedBytes {
		return data, nil
	}
	// Large encodings are rare, so that the memory of an encoder is not kept.
	e, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true), zstd.WithEncoderLevel(zstd.SpeedFastest))
	if err != nil {
		return nil, err
	}
	out := e.EncodeAll(data, nil)
	return out, e.Close()
}

// decompress is the inverse of compress.
func decompress(data []byte) ([]byte, error) {
	if !bytes.HasPrefix(data, zstdMagic) {
		return data, nil
	}
	d, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(maxDecodedBytes))
	if err != nil {
		return nil, err
	}
	defer d.Close()
	return d.DecodeAll(data, nil)
}
