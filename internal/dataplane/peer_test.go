package dataplane

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"reflect"
	"strings"
	"testing"

	"saltmast/internal/errcode"
	"saltmast/internal/idempotency"
)

// A message is read back as it was written, or rejected if it is truncated; a body ends without an error only if it is
// complete.
func TestPeerFraming(t *testing.T) {
	want := peerRequest{Kind: runRequest, Instance: "i", Service: "s", Method: "POST", Target: "/x", Header: []Field{{Name: "A", Value: strings.Repeat("b", 9000)}},
		Length: unknownLength, RemainingMs: 9, Key: "k", Claim: idempotency.ID{Incarnation: 1, N: 2, Addr: "h:1"}}
	var out bytes.Buffer
	out.Write(appendMessage(nil, &want, nil))
	head := out.Len()
	w := &chunkWriter{w: &out}
	body := bytes.Repeat([]byte("0123456789"), 5000)
	for i := 0; i < len(body); i += 7000 {
		if err := w.write(body[i:min(len(body), i+7000)]); err != nil {
			t.Fatal(err)
		}
	}
	broken := append(bytes.Clone(out.Bytes()), 0xff, 0xff, 0xff, 0xff)
	w.end(true)
	whole := out.Bytes()
	read := func(raw []byte) (peerRequest, []byte, error) {
		in := bufio.NewReaderSize(bytes.NewReader(raw), 4<<10)
		var a peerRequest
		if err := readMessage(in, &a); err != nil {
			return peerRequest{}, nil, err
		}
		got, err := io.ReadAll(&chunkReader{in: in})
		return a, got, err
	}
	if a, got, err := read(whole); err != nil || !reflect.DeepEqual(a, want) || !bytes.Equal(got, body) {
		t.Errorf("%+v, %d bytes, %v", a, len(got), err)
	}
	if _, got, err := read(broken); !errors.Is(err, errBodyBroken) || !bytes.Equal(got, body) {
		t.Errorf("an aborted body: %d bytes, %v", len(got), err)
	}
	for cut := 0; cut < len(whole); cut += 1 + cut/97 {
		if _, _, err := read(whole[:cut]); err == nil {
			t.Errorf("truncated at %d of %d (head %d): taken for complete", cut, len(whole), head)
		}
	}
	if _, _, err := read([]byte{0xff, 0, 0, 0, 1, 2, 3}); errcode.Of(err) != errcode.Malformed {
		t.Errorf("a head above the limit: %v", err)
	}
}

func FuzzHop(f *testing.F) {
	f.Add(append(appendMessage(nil, &peerRequest{Method: "GET", Target: "/", Length: unknownLength}, nil), 0, 0, 0, 1, 'x', 0, 0, 0, 0))
	f.Add(append(appendMessage(nil, &peerResponse{Status: 200, Length: 2}, []byte("ab")), 1))
	f.Add([]byte{0, 0, 0, 1, 0xa0, 0, 0x20, 0, 0})
	f.Fuzz(func(t *testing.T, raw []byte) {
		in := bufio.NewReader(bytes.NewReader(raw))
		var a peerRequest
		if readMessage(in, &a) == nil {
			p := &chunkReader{in: in}
			if n, err := io.Copy(io.Discard, p); n > int64(len(raw)) || err == nil && p.err != io.EOF {
				t.Fatalf("%d bytes of %d, %v", n, len(raw), p.err)
			}
		}
		in = bufio.NewReader(bytes.NewReader(raw))
		var h peerResponse
		if readMessage(in, &h) == nil && h.Length <= bufferedBodyBytes {
			if ans, err := readPeerBody(in, h, func(bool) {}); err == nil && ans.Stream == nil && int64(len(ans.Body)) != ans.Length {
				t.Fatalf("%d bytes of %d", len(ans.Body), ans.Length)
			}
		}
	})
}
