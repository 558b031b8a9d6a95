package peers

import (
	"crypto/aes"
	"crypto/cipher"
	"crypto/hkdf"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"net/netip"

	"saltmast/internal/shared"
)

// What an envelope is for; one that was made for another purpose does not open.
const (
	forDatagram = 'd' // news of the roster, and counts
	forAsk      = 'a' // a whole state, to be answered with another
	forAnswer   = 'b'
	forKeeps    = 'k' // counts that an agent leaves behind
)

const (
	// plainMark and sealedMark begin an envelope, and are its version.
	plainMark, sealedMark = 1, 2
	// headBytes are the mark, shared.Version, the purpose and the cluster; clusterBytes of them tell the cluster.
	clusterBytes = 8
	headBytes    = 3 + clusterBytes
	saltBytes    = 16
	tagBytes     = 16
)

// refusal is why something that came is none of ours.
type refusal string

func (r refusal) Error() string { return string(r) }

const (
	errVersion refusal = "of another version"
	errCluster refusal = "of another cluster"
	errKey     refusal = "of another key, or none"
	errShape   refusal = "of no known shape"
	errTooMuch refusal = "larger than a state may be"
)

// envelope closes and opens what agents of one cluster send each other. With a key each message is sealed by AES-GCM, under a
// key of its own that HKDF draws from that of the cluster, its name and 16 random bytes: so no count of messages wears a key
// out, and none has to be remembered. An old message may come again: the roster and shared take that for a late one.
type envelope struct {
	head [headBytes]byte // but for the purpose
	key  []byte
	info string
}

func newEnvelope(cluster string, key []byte) (*envelope, error) {
	e := &envelope{key: key, info: "violetlatch peers " + cluster}
	sum := sha256.Sum256([]byte(e.info))
	e.head[0], e.head[1] = plainMark, shared.Version
	copy(e.head[3:], sum[:clusterBytes])
	if key != nil {
		if _, err := aes.NewCipher(key); err != nil {
			return nil, fmt.Errorf("peers: key: %w", err)
		}
		e.head[0] = sealedMark
	}
	return e, nil
}

// overhead is by how much a message grows.
func (e *envelope) overhead() int {
	if e.key == nil {
		return headBytes
	}
	return headBytes + saltBytes + tagBytes
}

func (e *envelope) cipher(salt []byte) cipher.AEAD {
	key, err := hkdf.Key(sha256.New, e.key, salt, e.info, len(e.key))
	if err != nil {
		panic(err) // the length is small
	}
	block, err := aes.NewCipher(key)
	if err != nil {
		panic(err) // looked at by newEnvelope
	}
	aead, err := cipher.NewGCM(block)
	if err != nil {
		panic(err)
	}
	return aead
}

// nonce is the same for all: no key is used twice.
var nonce [12]byte

// seal closes a message.
func (e *envelope) seal(purpose byte, plain []byte) []byte {
	out := make([]byte, headBytes, len(plain)+e.overhead())
	copy(out, e.head[:])
	out[2] = purpose
	if e.key == nil {
		return append(out, plain...)
	}
	out = out[:headBytes+saltBytes]
	rand.Read(out[headBytes:])
	return e.cipher(out[headBytes:]).Seal(out, nonce[:], plain, out[:headBytes])
}

// open is what was closed, and for what. It does not keep raw.
func (e *envelope) open(raw []byte) (purpose byte, plain []byte, err error) {
	if len(raw) < headBytes || raw[0] != plainMark && raw[0] != sealedMark {
		return 0, nil, errShape
	}
	head, rest := raw[:headBytes], raw[headBytes:]
	switch {
	case head[1] != shared.Version:
		return 0, nil, errVersion
	case string(head[3:]) != string(e.head[3:]):
		return 0, nil, errCluster
	case head[0] != e.head[0]:
		return 0, nil, errKey
	case e.key == nil:
		return head[2], append([]byte(nil), rest...), nil
	case len(rest) < saltBytes+tagBytes:
		return 0, nil, errShape
	}
	plain, err = e.cipher(rest[:saltBytes]).Open(nil, nonce[:], rest[saltBytes:], head)
	if err != nil {
		return 0, nil, errKey
	}
	return head[2], plain, nil
}

// datagram is what is in one: the sender's own address, since a forwarder may stand between, then a datagram of the roster or
// nothing, then a message of shared or nothing.
type datagram struct {
	from    netip.AddrPort
	roster  []byte
	message []byte
}

// aroundBytes is more than a datagram takes around its two parts.
const aroundBytes = 1 + 18 + 2

func (d datagram) append(b []byte) []byte {
	from, err := d.from.MarshalBinary()
	if err != nil {
		panic(err)
	}
	b = append(append(b, byte(len(from))), from...)
	b = binary.BigEndian.AppendUint16(b, uint16(len(d.roster)))
	return append(append(b, d.roster...), d.message...)
}

func readDatagram(raw []byte) (d datagram, err error) {
	if len(raw) < 1 || len(raw) < 1+int(raw[0])+2 {
		return d, errShape
	}
	at := 1 + int(raw[0])
	if d.from.UnmarshalBinary(raw[1:at]) != nil || !d.from.IsValid() || d.from.Addr().Zone() != "" || d.from.Port() == 0 {
		return d, errShape
	}
	size := int(binary.BigEndian.Uint16(raw[at:]))
	if raw = raw[at+2:]; size > len(raw) {
		return d, errShape
	}
	d.roster, d.message = raw[:size], raw[size:]
	return d, nil
}
