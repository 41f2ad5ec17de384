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
 * Connections without sockets, for a rehearsal: what a link writes is handed to a scripted peer, and what that answers
 * comes in as if it had been read.
 */
public final class InMemoryDialer implements Dialer {
    /** The other end of a connection. */
    public interface Peer {
        /** Takes what was written and gives what comes back, which may be nothing. */
        byte[] answer(byte[] written) throws Exception;
    }

    private final EventLoop loop;
    private final Function<InetSocketAddress, Peer> peers;

    /** @param peers gives the peer at an address, a new one for each connection */
    public InMemoryDialer(EventLoop loop, Function<InetSocketAddress, Peer> peers) {
        this.loop = loop;
        this.peers = peers;
    }

    @Override
    public Link dial(InetSocketAddress address, Framer framer, Link.Events events) {
        return connect(framer, events, peers.apply(address), new byte[0]);
    }

    /** @param first what the peer says before it is spoken to */
    public Link connect(Framer framer, Link.Events events, Peer peer, byte[] first) {
        Link link = new Link(loop, framer, events);
        DummySession session = new DummySession();
        session.getFilterChain().addLast("peer", new IoFilterAdapter() {
            @Override
            public void filterWrite(NextFilter next, IoSession from, WriteRequest request) throws Exception {
                IoBuffer buffer = (IoBuffer) request.getMessage();
                byte[] written = new byte[buffer.remaining()];
                buffer.get(written);
                session.increaseWrittenBytes(written.length, System.currentTimeMillis());
                arrive(link, session, peer.answer(written));
            }
        });
        link.opened(session);
        arrive(link, session, first);
        return link;
    }

    private static void arrive(Link link, IoSession session, byte[] bytes) {
        if (bytes.length > 0) {
            link.arrived(bytes.length);
            link.received(session, IoBuffer.wrap(bytes));
        }
    }
}
