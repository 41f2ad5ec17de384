package lupinvalve.replication;

import java.util.concurrent.atomic.AtomicLong;
import lupinvalve.config.OperatorConfig;
import lupinvalve.core.EventLoop;
import lupinvalve.net.Net;
import lupinvalve.subscription.MemberSelector;
import lupinvalve.subscription.WatchResponse;

/**
 * Keeps a subscriber connected: to one member at a time, to the next one after a failure, and back to the preferred
 * member once that is up. Only the loop's thread uses it, except for the sums.
 */
final class MemberFailover {
    /** Is notified on the loop's thread. */
    interface Listener {
        /** Requests may be sent on the current connection. */
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
    /** An attempt to return to the preferred member, beside the current connection. */
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
            listener.logOnce("follows " + connection.member());
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

    /** Leaves the current member for the next one. */
    void failOver(String reason) {
        if (closed) {
            return;
        }
        listener.logOnce("can't follow " + reason);
        current.close();
        failoverCount.incrementAndGet();
        connect(selector.failOver(LeaseHolder.monotonicMicros()));
    }

    /** Takes note of a good response, or leaves a member whose leases are denied or about to end. */
    void judge(WatchResponse response, boolean leaseWanted) {
        boolean granted = response.leaseMicros() > 0;
        if (granted && response.leaseMicros() < MemberSelector.LEASE_MIN_MICROS) {
            failOver(current.member() + ": it is losing its own lease");
        } else if (leaseWanted
                && response.leaseMicros() == 0
                && selector.onLeaseDenied(LeaseHolder.monotonicMicros())) {
            failOver(current.member() + ": it grants no lease: " + response.leaseDenial());
        } else {
            selector.onSuccess();
            if (!leaseWanted || granted) {
                selector.onLeaseGranted();
            }
        }
    }

    /** Tries the preferred member again if that is due. */
    void retryPreferred() {
        if (isReady() && candidate == null && selector.isPreferredDue(LeaseHolder.monotonicMicros())) {
            candidate = connectTo(selector.preferredMember());
        }
    }

    /** See {@link MemberSelector#responseTimeoutMicros}. */
    long responseTimeoutMicros(boolean patient) {
        return selector.responseTimeoutMicros(patient);
    }

    /** The connection to the current member; null before the first. */
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

    /** Closes the connections; none follows. */
    void close() {
        closed = true;
        if (current != null) {
            current.close();
        }
        if (candidate != null) {
            candidate.close();
        }
    }

    /** Sum since the start; safe for all threads, like the others. */
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
