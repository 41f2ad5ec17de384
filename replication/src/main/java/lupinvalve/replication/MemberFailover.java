package lupinvalve.replication;

import java.util.concurrent.atomic.AtomicLong;
import lupinvalve.config.OperatorConfig;
import lupinvalve.core.EventLoop;
import lupinvalve.net.Net;
import lupinvalve.subscription.MemberSelector;
import lupinvalve.subscription.WatchResponse;

/**
 * Keeps a subscriber connected to one member at a time: fails over to the next member after a failure, and returns to
 * the preferred member once that is up. Confined to the event loop's thread, except for the counters at the end.
 */
final class MemberFailover {
    /** Notified on the event loop's thread. */
    interface Listener {
        /** The handshake on the current connection is complete: requests may be sent. */
        void onReady();

        /** Logs a line unless the last one was the same. */
        void logOnce(String line);
    }

    private final OperatorConfig.Store config;
    private final EventLoop loop;
    private final Net net;
    private final MemberSelector selector;
    private final Listener listener;
    private final MemberConnection.Listener connectionListener = new ConnectionListener();
    private final AtomicLong sentBytes = new AtomicLong();
    private final AtomicLong receivedBytes = new AtomicLong();
    private final AtomicLong failoverCount = new AtomicLong();
    private MemberConnection current;
    /**
     * A connection attempt to the preferred member, while the current connection stays in use; null if there is none.
     */
    private MemberConnection candidate;

    private boolean closed;

    MemberFailover(OperatorConfig.Store config, EventLoop loop, Net net, long seed, Listener listener) {
        this.config = config;
        this.loop = loop;
        this.net = net;
        this.listener = listener;
        selector = new MemberSelector(config.name(), config.members().keySet(), seed);
    }

    /** Connects to the current member after a delay. */
    void connect(long delayMicros) {
        loop.after(delayMicros, () -> {
            if (!closed) {
                current = connectTo(selector.currentMember());
            }
        });
    }

    private MemberConnection connectTo(String member) {
        MemberConnection.Route route = new MemberConnection.Route(
                config.cluster(), config.name(), member, config.members().get(member), config.tls() != null);
        MemberConnection connection = new MemberConnection(loop, route, connectionListener);
        connection.connect(net, selector.handshakeTimeoutMicros());
        return connection;
    }

    private final class ConnectionListener implements MemberConnection.Listener {
        @Override
        public void onReady(MemberConnection connection) {
            if (connection == candidate) {
                selector.onPreferredAttempted(true, LeaseHolder.monotonicMicros());
                current.close();
                current = candidate;
                candidate = null;
                failoverCount.incrementAndGet();
            }
            listener.logOnce("watches the configuration at member " + connection.member());
            listener.onReady();
        }

        @Override
        public void onClosed(MemberConnection connection, String reason) {
            if (connection == candidate) {
                candidate = null;
                selector.onPreferredAttempted(false, LeaseHolder.monotonicMicros());
            } else {
                failOver(connection.member() + ": " + reason);
            }
        }

        @Override
        public void onTraffic(long sent, long received) {
            sentBytes.addAndGet(sent);
            receivedBytes.addAndGet(received);
        }
    }

    /** Closes the current connection and connects to the next member, after the selector's backoff. */
    void failOver(String reason) {
        if (closed) {
            return;
        }
        listener.logOnce("can't watch the configuration at member " + reason + "; connecting to the next member");
        current.close();
        failoverCount.incrementAndGet();
        connect(selector.failOver(LeaseHolder.monotonicMicros()));
    }

    /** Records a response; fails over if the member denies leases for too long, or its own lease is about to end. */
    void onResponse(WatchResponse response, boolean leaseWanted) {
        boolean granted = response.leaseMicros() > 0;
        if (granted && response.leaseMicros() < MemberSelector.LEASE_MIN_MICROS) {
            failOver(current.member() + ": its own lease is about to end");
        } else if (leaseWanted
                && response.leaseMicros() == 0
                && selector.onLeaseDenied(LeaseHolder.monotonicMicros())) {
            failOver(current.member() + ": it grants no leases: " + response.leaseDenial());
        } else {
            selector.onSuccess();
            if (!leaseWanted || granted) {
                selector.onLeaseGranted();
            }
        }
    }

    /** Starts a connection attempt to the preferred member if one is due. */
    void retryPreferred() {
        if (isReady() && candidate == null && selector.isPreferredDue(LeaseHolder.monotonicMicros())) {
            candidate = connectTo(selector.preferredMember());
        }
    }

    /** See {@link MemberSelector#responseTimeoutMicros}. */
    long responseTimeoutMicros(boolean extended) {
        return selector.responseTimeoutMicros(extended);
    }

    /** The connection to the current member; null before the first one. */
    MemberConnection current() {
        return current;
    }

    /** Whether the current connection's handshake is complete. */
    boolean isReady() {
        return current != null && current.isReady();
    }

    /** Whether a response is awaited on the current connection. */
    boolean hasRequestInFlight() {
        return current != null && current.hasRequestInFlight();
    }

    /** Closes the connections and opens no more. */
    void close() {
        closed = true;
        if (current != null) {
            current.close();
        }
        if (candidate != null) {
            candidate.close();
        }
    }

    /** Bytes sent since the start, without TLS overhead; like the counters below, safe for all threads. */
    long sentBytes() {
        return sentBytes.get();
    }

    long receivedBytes() {
        return receivedBytes.get();
    }

    long failoverCount() {
        return failoverCount.get();
    }
}
