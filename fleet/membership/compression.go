package membership

import (
	"bytes"
	"compress/flate"
	"errors"
	"fmt"
	"io"
)

const (
	// compressionThreshold is the size, in bytes, from which compression saves more than its framing costs.
	compressionThreshold = 300
	// maxEntrySize bounds the bytes of one uncompressed entry: three names, a number, and tags.
	maxEntrySize = 3*maxNameLength + 64
)

// compressor compresses entries. It keeps its tables, which take about a megabyte.
type compressor struct{ writer *flate.Writer }

// compress returns b compressed, or b itself if that is small or compression gains nothing.
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

// reset makes the writer write to output.
func (c *compressor) reset(output io.Writer) (err error) {
	if c.writer != nil {
		c.writer.Reset(output)
		return nil
	}
	c.writer, err = flate.NewWriter(output, flate.DefaultCompression)
	return err
}

// decompressor decompresses what compressor wrote.
type decompressor struct{ reader io.ReadCloser }

// decompress returns at most limit bytes; more are an ErrTooManyEntries.
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
