package peer

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"io"
	"net"
	"strconv"

	"github.com/vmihailenco/msgpack/v5"

	"buckthornpick/internal/fault"
	"buckthornpick/internal/strictmsg"
)

// The handshake alternates between the two sides:
//
//	dialler   preamble, hello with nonce
//	acceptor  preamble, hello with nonce and proof, or a refusal
//	dialler   confirmation with proof, or closes the connection
//	acceptor  confirmation, empty or with a refusal
//
// A proof is an HMAC, keyed with the shared secret, over the role and both
// hellos. It therefore cannot be replayed in another session or in the other
// direction. The preamble has the same format in all versions of the protocol.
const (
	protocolVersion   = 1
	magic             = "btpk"
	preambleBytes     = len(magic) + 2
	nonceBytes        = 16
	maxHandshakeBytes = 4 << 10
	roleDialler       = "dialler"
	roleAcceptor      = "acceptor"
)

// hello is the first handshake message of either side.
type hello struct {
	ID          string `msgpack:"i"`
	Zone        string `msgpack:"z"`
	Address     string `msgpack:"a"`
	Incarnation uint64 `msgpack:"n"`
	Nonce       []byte `msgpack:"c"`
	Window      int    `msgpack:"w"`
	// Proof and Refusal are sent by the acceptor only.
	Proof   []byte `msgpack:"p,omitempty"`
	Refusal string `msgpack:"r,omitempty"`
}

// confirmation is the second handshake message of either side: the dialler's
// proof, then the acceptor's result.
type confirmation struct {
	Proof   []byte `msgpack:"p,omitempty"`
	Refusal string `msgpack:"r,omitempty"`
}

func (h hello) node() Node { return Node{ID: h.ID, Zone: h.Zone, Address: h.Address} }

func (t *Transport) newHello() hello {
	nonce := make([]byte, nonceBytes)
	_, _ = rand.Read(nonce) // documented never to return an error
	return hello{ID: t.self.ID, Zone: t.self.Zone, Address: t.self.Address,
		Incarnation: t.incarnation, Nonce: nonce, Window: t.options.Window}
}

// dialHandshake runs the dialler's side of the handshake; to is the node that
// was dialled.
func (t *Transport) dialHandshake(nc net.Conn, to Node) (hello, error) {
	const step = "peer.handshake"
	mine := t.newHello()
	if err := writeHandshake(nc, true, mine); err != nil {
		return hello{}, fault.Wrap(err, fault.Unavailable, step, to.ID, "send hello")
	}
	var theirs hello
	if err := readHandshake(nc, true, &theirs); err != nil {
		return hello{}, fault.Wrap(err, fault.Unavailable, step, to.ID, "read hello")
	}
	switch {
	case theirs.Refusal != "":
		return hello{}, fault.New(fault.Unavailable, step, to.ID, "refused: %s", theirs.Refusal)
	case theirs.ID != to.ID:
		return hello{}, fault.New(fault.Unavailable, step, to.ID, "another node answered: %s", theirs.ID)
	case !hmac.Equal(theirs.Proof, t.proof(roleAcceptor, mine, theirs)):
		return hello{}, fault.New(fault.Unavailable, step, to.ID, "wrong secret")
	}
	if err := writeHandshake(nc, false, confirmation{Proof: t.proof(roleDialler, mine, theirs)}); err != nil {
		return hello{}, fault.Wrap(err, fault.Unavailable, step, to.ID, "send proof")
	}
	var v confirmation
	if err := readHandshake(nc, false, &v); err != nil {
		return hello{}, fault.Wrap(err, fault.Unavailable, step, to.ID, "read verdict")
	}
	if v.Refusal != "" {
		return hello{}, fault.New(fault.Unavailable, step, to.ID, "refused: %s", v.Refusal)
	}
	return theirs, nil
}

// acceptHandshake runs the acceptor's side of the handshake.
func (t *Transport) acceptHandshake(nc net.Conn) (hello, error) {
	const step = "peer.accept"
	from := nc.RemoteAddr().String()
	var theirs hello
	if err := readHandshake(nc, true, &theirs); err != nil {
		_ = writeHandshake(nc, true, hello{Refusal: err.Error()})
		return hello{}, fault.Wrap(err, fault.Protocol, step, from, "read hello")
	}
	mine := t.newHello()
	if theirs.Window != mine.Window {
		mine.Refusal = "window is " + strconv.Itoa(mine.Window) + " here and " + strconv.Itoa(theirs.Window) + " there"
	}
	if theirs.ID == "" || theirs.ID == t.self.ID {
		mine.Refusal = "node ID " + strconv.Quote(theirs.ID) + " is empty or taken"
	}
	if mine.Refusal != "" {
		_ = writeHandshake(nc, true, hello{Refusal: mine.Refusal})
		return hello{}, fault.New(fault.Protocol, step, theirs.ID, "%s", mine.Refusal)
	}
	mine.Proof = t.proof(roleAcceptor, theirs, mine)
	if err := writeHandshake(nc, true, mine); err != nil {
		return hello{}, fault.Wrap(err, fault.Unavailable, step, theirs.ID, "send hello")
	}
	var v confirmation
	if err := readHandshake(nc, false, &v); err != nil {
		return hello{}, fault.Wrap(err, fault.Unavailable, step, theirs.ID, "read proof")
	}
	if !hmac.Equal(v.Proof, t.proof(roleDialler, theirs, mine)) {
		_ = writeHandshake(nc, false, confirmation{Refusal: "wrong secret"})
		return hello{}, fault.New(fault.Protocol, step, theirs.ID, "wrong secret")
	}
	if err := writeHandshake(nc, false, confirmation{}); err != nil {
		return hello{}, fault.Wrap(err, fault.Unavailable, step, theirs.ID, "send verdict")
	}
	return theirs, nil
}

func (t *Transport) proof(role string, dialler, acceptor hello) []byte {
	dialler.Proof, acceptor.Proof = nil, nil
	mac := hmac.New(sha256.New, t.sharedSecret())
	enc := msgpack.NewEncoder(mac)
	_ = enc.Encode([]any{role, protocolVersion, &dialler, &acceptor}) // writes to a hash never fail
	return mac.Sum(nil)
}

func writeHandshake(w io.Writer, preamble bool, msg any) error {
	body, err := msgpack.Marshal(msg)
	if err != nil {
		return err
	}
	var out []byte
	if preamble {
		out = append(out, magic...)
		out = binary.BigEndian.AppendUint16(out, protocolVersion)
	}
	out = binary.BigEndian.AppendUint16(out, uint16(len(body)))
	_, err = w.Write(append(out, body...))
	return err
}

func readHandshake(r io.Reader, preamble bool, into any) error {
	var version uint16 = protocolVersion
	if preamble {
		var err error
		if version, err = readPreamble(r); err != nil {
			return err
		}
	}
	var size [2]byte
	if _, err := io.ReadFull(r, size[:]); err != nil {
		return err
	}
	n := int(binary.BigEndian.Uint16(size[:]))
	if n > maxHandshakeBytes {
		return fault.New(fault.Protocol, "peer.handshake", "", "handshake message of %d bytes", n)
	}
	body := make([]byte, n)
	if _, err := io.ReadFull(r, body); err != nil {
		return err
	}
	// The version is checked only after the message has been read, so that the
	// other side has finished writing and can read the refusal.
	if version != protocolVersion {
		return fault.New(fault.Protocol, "peer.handshake", "", "protocol version %d here and %d there", protocolVersion, version)
	}
	return strictmsg.Unmarshal(body, into)
}

func readPreamble(r io.Reader) (version uint16, err error) {
	var p [preambleBytes]byte
	if _, err := io.ReadFull(r, p[:]); err != nil {
		return 0, err
	}
	if string(p[:len(magic)]) != magic {
		return 0, fault.New(fault.Protocol, "peer.handshake", "", "not the inner protocol")
	}
	return binary.BigEndian.Uint16(p[len(magic):]), nil
}
