package lupinvalve.net;

import java.net.InetSocketAddress;
import java.util.function.Function;
import lupinvalve.core.EventLoop;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.filterchain.IoFilterAdapter;
import org.apache.mina.core.session.DummySession;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.core.write.WriteRequest;

/**
 * Connections without sockets, for the warm-up: what a link writes is passed to a scripted peer, and the peer's answer
 * is delivered as if it had been read from a socket. Calls the link on the thread that writes to it.
 */
public final class InMemoryDialer implements Dialer {
    /** The other end of a connection. */
    public interface Peer {
        /** Handles what was written and returns the answer, which may be empty. */
        byte[] answer(byte[] written) throws Exception;
    }

    private final EventLoop loop;
    private final Function<InetSocketAddress, Peer> peers;

    /** @param peers returns the peer at an address, a new one for each connection */
    public InMemoryDialer(EventLoop loop, Function<InetSocketAddress, Peer> peers) {
        this.loop = loop;
        this.peers = peers;
    }

    @Override
    public Link dial(InetSocketAddress address, Framer framer, Link.Events events) {
        return connect(framer, events, peers.apply(address), new byte[0]);
    }

    /**
     * Connects a link to a peer; {@link Link.Events#opened} follows.
     *
     * @param greeting what the peer sends before it receives anything
     */
    public Link connect(Framer framer, Link.Events events, Peer peer, byte[] greeting) {
        Link link = new Link(loop, framer, events);
        DummySession session = new DummySession();
        session.getFilterChain().addLast("peer", new IoFilterAdapter() {
            @Override
            public void filterWrite(NextFilter nextFilter, IoSession target, WriteRequest request) throws Exception {
                IoBuffer buffer = (IoBuffer) request.getMessage();
                byte[] written = new byte[buffer.remaining()];
                buffer.get(written);
                session.increaseWrittenBytes(written.length, System.currentTimeMillis());
                deliver(link, session, peer.answer(written));
            }
        });
        link.onOpened(session);
        deliver(link, session, greeting);
        return link;
    }

    private static void deliver(Link link, IoSession session, byte[] bytes) {
        if (bytes.length > 0) {
            link.countRead(bytes.length);
            link.onReceived(session, IoBuffer.wrap(bytes));
        }
    }
}
