package lupinvalve.net;

import java.net.InetSocketAddress;

/** What connects to db nodes: sockets, or their stand-ins in memory. */
public interface Dialer {
    /** Starts to connect; {@link Link.Events#opened} or {@link Link.Events#closed} tells how that went. */
    Link dial(InetSocketAddress address, Framer framer, Link.Events events);
}
