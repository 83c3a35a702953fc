package membership

import (
	"bytes"
	"compress/flate"
	"errors"
	"fmt"
	"io"
)

const (
	// compressionThreshold is the size from which packing saves more than its frame costs.
	compressionThreshold = 300
	// maxEntrySize bounds what one entry takes unpacked: three names, a number, and tags.
	maxEntrySize = 3*maxNameLength + 64
)

// compressor compresses; it keeps its tables, which take about a megabyte.
type compressor struct{ writer *flate.Writer }

// compress gives b compressed, or b itself where that is small or gains nothing.
func (p *compressor) compress(b []byte) (out []byte, packed bool) {
	if len(b) <= compressionThreshold {
		return b, false
	}
	var buffer bytes.Buffer
	if p.writer == nil {
		writer, err := flate.NewWriter(&buffer, flate.DefaultCompression)
		if err != nil {
			return b, false
		}
		p.writer = writer
	} else {
		p.writer.Reset(&buffer)
	}
	if _, err := p.writer.Write(b); err != nil {
		return b, false
	}
	if err := p.writer.Close(); err != nil || buffer.Len() >= len(b) {
		return b, false
	}
	return buffer.Bytes(), true
}

// decompressor reads what packer wrote.
type decompressor struct{ reader io.ReadCloser }

// decompress gives at most most bytes; more are an error.
func (u *decompressor) decompress(b []byte, most int) ([]byte, error) {
	source := bytes.NewReader(b)
	if u.reader == nil {
		u.reader = flate.NewReader(source)
	} else if err := u.reader.(flate.Resetter).Reset(source, nil); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	out, err := io.ReadAll(io.LimitReader(u.reader, int64(most)+1))
	switch {
	case err != nil:
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	case len(out) > most:
		return nil, errors.Join(ErrTooManyEntries, ErrMalformed)
	}
	return out, nil
}
