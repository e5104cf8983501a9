package peer

import "time"

// Options configures a Transport. Zero fields take their defaults.
type Options struct {
	// ListenAddress is the "host:port" to listen on; default the node's Address.
	ListenAddress string
	// Secret authenticates the nodes of the site, which all share it; it must
	// not be empty unless SecretSource is set.
	Secret []byte
	// SecretSource returns the secret, or nil while it is not known; handshakes
	// fail until then. It is used if Secret is empty.
	SecretSource func() []byte
	// MaxFrameBytes is the maximum size of one encoded message; default 8 MiB.
	MaxFrameBytes int
	// Window is the maximum number of messages in flight per stream and
	// direction; default 64. It must be the same on all nodes. It also limits the
	// notifications to one peer that wait for a dial.
	Window int
	// MaxStreams is the maximum number of concurrent streams that each side
	// opens on a connection; default 16384.
	MaxStreams int
	// MaxHandshakes is the maximum number of accepted connections that are not
	// authenticated yet; default 256. A further one takes the place of one that has had
	// time enough, or is closed.
	MaxHandshakes int
	// QueueFrames is the capacity of the send queue of a connection, in frames;
	// default 1024.
	QueueFrames int
	// PingInterval is the time without a received frame after which a ping is
	// sent; default 1 s.
	PingInterval time.Duration
	// IdlePingInterval replaces PingInterval on a connection without streams;
	// default 15 s, and never less than PingInterval.
	IdlePingInterval time.Duration
	// PingTimeout is the time after a ping within which a frame must arrive;
	// default 3 s.
	PingTimeout time.Duration
	// DialTimeout bounds dialling and the handshake, each on its own; default
	// 3 s.
	DialTimeout time.Duration
	// IdleTimeout is the time after which a connection without streams is
	// closed; default 5 min.
	IdleTimeout time.Duration
}

const (
	defaultMaxFrameBytes    = 8 << 20
	defaultWindow           = 64
	defaultMaxStreams       = 16384
	defaultMaxHandshakes    = 256
	defaultQueueFrames      = 1024
	defaultPingInterval     = time.Second
	defaultIdlePingInterval = 15 * time.Second
	defaultPingTimeout      = 3 * time.Second
	defaultDialTimeout      = 3 * time.Second
	defaultIdleTimeout      = 5 * time.Minute
)

func (o Options) withDefaults() Options {
	setDefault(&o.MaxFrameBytes, defaultMaxFrameBytes)
	setDefault(&o.Window, defaultWindow)
	setDefault(&o.MaxStreams, defaultMaxStreams)
	setDefault(&o.MaxHandshakes, defaultMaxHandshakes)
	setDefault(&o.QueueFrames, defaultQueueFrames)
	setDefault(&o.PingInterval, defaultPingInterval)
	setDefault(&o.IdlePingInterval, defaultIdlePingInterval)
	o.IdlePingInterval = max(o.IdlePingInterval, o.PingInterval)
	setDefault(&o.PingTimeout, defaultPingTimeout)
	setDefault(&o.DialTimeout, defaultDialTimeout)
	setDefault(&o.IdleTimeout, defaultIdleTimeout)
	return o
}

func setDefault[T int | time.Duration](v *T, d T) {
	if *v <= 0 {
		*v = d
	}
}
