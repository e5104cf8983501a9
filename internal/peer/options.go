package peer

import "time"

// Options bound and tune a Transport. Zero fields take their defaults.
type Options struct {
	// ListenAddress is the listener's "host:port"; default the node's Address.
	ListenAddress string
	// Secret is shared by all nodes of the site; it must not be empty unless
	// SecretSource is set.
	Secret []byte
	// SecretSource gives the secret once it is known, and nil before; handshakes
	// fail until then.
	SecretSource func() []byte
	// MaxFrameBytes bounds one message; default 8 MiB.
	MaxFrameBytes int
	// Window bounds the messages in flight per stream and direction; all
	// nodes use the same value; default 64.
	Window int
	// MaxStreams bounds the streams that each side opens on a connection;
	// default 16384.
	MaxStreams int
	// QueueFrames bounds the frames that wait for the socket; default 1024.
	QueueFrames int
	// PingInterval is the silence after which a ping is sent; default 1 s.
	PingInterval time.Duration
	// IdlePingInterval is the silence after which a connection without streams
	// is pinged; default 15 s, and never below PingInterval.
	IdlePingInterval time.Duration
	// PingTimeout is how long after a ping some frame must arrive; default 3 s.
	PingTimeout time.Duration
	// DialTimeout bounds dialling and the handshake; default 3 s.
	DialTimeout time.Duration
	// IdleTimeout closes a connection without streams; default 5 min.
	IdleTimeout time.Duration
}

const (
	defaultMaxFrameBytes    = 8 << 20
	defaultWindow           = 64
	defaultMaxStreams       = 16384
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
