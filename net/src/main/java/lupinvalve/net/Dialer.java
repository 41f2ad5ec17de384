package lupinvalve.net;

import java.net.InetSocketAddress;

/** Connects to db nodes, over sockets or in memory. */
public interface Dialer {
    /**
     * Starts to connect and returns at once; {@link Link.Events#opened} or {@link Link.Events#closed} follows on the
     * core thread.
     */
    Link dial(InetSocketAddress address, Framer framer, Link.Events events);
}
