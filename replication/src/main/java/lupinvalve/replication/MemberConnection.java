package lupinvalve.replication;

import java.io.IOException;
import java.util.List;
import java.util.function.Consumer;
import lupinvalve.core.EventLoop;
import lupinvalve.core.TimerQueue;
import lupinvalve.net.Addresses;
import lupinvalve.net.Link;
import lupinvalve.net.Net;

/** A subscriber's connection to one member, with at most one request in flight. Confined to the event loop's thread. */
final class MemberConnection implements Link.Events {
    /** Size of the length field before each message on the wire. */
    private static final int LENGTH_FIELD_BYTES = 4;

    /** Notified on the event loop's thread. */
    interface Listener {
        /** The handshake is complete: requests may be sent. */
        void onReady(MemberConnection connection);

        /** The connection has failed or was closed by the member; this is the last notification. */
        void onClosed(MemberConnection connection, String reason);

        /** Bytes were sent or received. */
        void onTraffic(long sentBytes, long receivedBytes);
    }

    /** The two ends of a connection, and whether it uses TLS. */
    record Route(String cluster, String subscriber, String member, String address, boolean hasTls) {}

    private final EventLoop loop;
    private final Route route;
    private final Listener listener;
    private Link link;
    private boolean ready;
    private boolean closed;
    private long lastRequestId;
    /** Receives the response to the request in flight; null if there is none. */
    private Consumer<WireMessages.Response> responseHandler;

    private TimerQueue.Timer timeout;

    MemberConnection(EventLoop loop, Route route, Listener listener) {
        this.loop = loop;
        this.route = route;
        this.listener = listener;
    }

    String member() {
        return route.member();
    }

    boolean isReady() {
        return ready && !closed;
    }

    boolean hasRequestInFlight() {
        return responseHandler != null;
    }

    /** Connects; the connection fails if it is not up, with the handshake done, within the timeout. */
    void connect(Net net, long timeoutMicros) {
        link = net.dial(Addresses.parse(route.address()), new WireMessages(), this);
        timeout = loop.after(timeoutMicros, () -> fail("no connection or no Hello within the timeout"));
    }

    /** Sends a request; the connection fails if there is no response within the timeout. */
    void send(byte[] request, long timeoutMicros, Consumer<WireMessages.Response> handler) {
        responseHandler = handler;
        write(new WireMessages.Request(++lastRequestId, SubscriptionServer.CALL, List.of(request)).write());
        timeout = loop.after(timeoutMicros, () -> fail("no response within the timeout"));
    }

    private void write(byte[] message) {
        listener.onTraffic(message.length, 0);
        link.write(message);
    }

    /** Closes without notifying the listener. */
    void close() {
        if (!closed) {
            closed = true;
            loop.cancel(timeout);
            link.drop();
        }
    }

    private void fail(String reason) {
        if (!closed) {
            close();
            listener.onClosed(this, reason);
        }
    }

    @Override
    public void opened(Link opened) {
        // The accepting side, here the member, sends its Hello first.
    }

    @Override
    public void messages(Link from, List<byte[]> messages, long atMicros) {
        try {
            for (byte[] message : messages) {
                listener.onTraffic(0, LENGTH_FIELD_BYTES + message.length);
                if (!closed) {
                    onMessage(WireMessages.kind(message), WireMessages.body(message));
                }
            }
        } catch (IOException e) {
            fail(e.getMessage());
        }
    }

    private void onMessage(WireMessages.Kind kind, byte[] body) throws IOException {
        if (kind == WireMessages.Kind.HELLO) {
            onHandshake(WireMessages.Hello.read(body));
        } else if (!ready) {
            throw new IOException("received a message before the Hello");
        } else if (kind == WireMessages.Kind.RESPONSE) {
            onResponse(WireMessages.Response.read(body));
        }
    }

    private void onResponse(WireMessages.Response response) {
        if (responseHandler == null || response.id() != lastRequestId) {
            return;
        }
        loop.cancel(timeout);
        Consumer<WireMessages.Response> handler = responseHandler;
        responseHandler = null;
        handler.accept(response);
    }

    private void onHandshake(WireMessages.Hello hello) throws IOException {
        if (ready) {
            return;
        }
        boolean expected = hello.cluster().equals(route.cluster())
                && hello.name().equals(route.member())
                && hello.announcement() != null;
        if (!expected) {
            throw new IOException("the peer at " + route.address() + " is " + hello.name() + " of cluster "
                    + hello.cluster() + ", expected member " + route.member() + " of cluster " + route.cluster());
        }
        if (route.hasTls()) {
            Tls.check(link, route.member());
        }
        loop.cancel(timeout);
        ready = true;
        write(new WireMessages.Hello(route.cluster(), route.subscriber(), "", null).write());
        listener.onReady(this);
    }

    @Override
    public void malformed(Link from, String reason) {
        fail(reason);
    }

    @Override
    public void closed(Link from) {
        fail("the connection was closed");
    }
}
