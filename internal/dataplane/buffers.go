package dataplane

import (
	"bufio"
	"io"
	"sync"
	"time"
)

// stallTimeout is how long a transfer may make no progress.
const stallTimeout = 5 * time.Second

var readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, 4<<10) }}

func getReader(r io.Reader) *bufio.Reader {
	in := readers.Get().(*bufio.Reader)
	in.Reset(r)
	return in
}

func putReader(in *bufio.Reader) {
	in.Reset(nil)
	readers.Put(in)
}

var buffers = sync.Pool{New: func() any { b := make([]byte, 0, 4<<10); return &b }}

func getBuf() *[]byte { return buffers.Get().(*[]byte) }

func putBuf(b *[]byte) {
	if cap(*b) <= 2*bufferedBodyBytes {
		buffers.Put(b)
	}
}
