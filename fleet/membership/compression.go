package membership

import (
	"bytes"
	"compress/flate"
	"errors"
	"fmt"
	"io"
)

const (
	// compressionThreshold is the size, in bytes, above which compression saves more than its framing costs.
	compressionThreshold = 300
	// maxEntrySize limits the size of one uncompressed entry, in bytes: three names, plus numbers and field tags.
	maxEntrySize = 3*maxNameLength + 64
)

// compressor compresses entries. It reuses one flate.Writer, whose tables take about a megabyte.
type compressor struct{ writer *flate.Writer }

// compress returns b compressed, or b itself if b is small or compression does not make it smaller.
func (c *compressor) compress(b []byte) (output []byte, compressed bool) {
	if len(b) <= compressionThreshold {
		return b, false
	}
	var buffer bytes.Buffer
	if err := c.reset(&buffer); err != nil {
		return b, false
	}
	if _, err := c.writer.Write(b); err != nil {
		return b, false
	}
	if err := c.writer.Close(); err != nil || buffer.Len() >= len(b) {
		return b, false
	}
	return buffer.Bytes(), true
}

// reset prepares the writer to write to output.
func (c *compressor) reset(output io.Writer) (err error) {
	if c.writer != nil {
		c.writer.Reset(output)
		return nil
	}
	c.writer, err = flate.NewWriter(output, flate.DefaultCompression)
	return err
}

// decompressor decompresses the output of a compressor.
type decompressor struct{ reader io.ReadCloser }

// decompress returns b decompressed, or an error that wraps ErrTooManyEntries if that has more than limit bytes.
func (d *decompressor) decompress(b []byte, limit int) ([]byte, error) {
	input := bytes.NewReader(b)
	if d.reader == nil {
		d.reader = flate.NewReader(input)
	} else if err := d.reader.(flate.Resetter).Reset(input, nil); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	output, err := io.ReadAll(io.LimitReader(d.reader, int64(limit)+1))
	switch {
	case err != nil:
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	case len(output) > limit:
		return nil, errors.Join(ErrTooManyEntries, ErrMalformed)
	}
	return output, nil
}
