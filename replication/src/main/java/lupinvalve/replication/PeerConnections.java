package lupinvalve.replication;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Consumer;
import lupinvalve.core.EventLoop;
import lupinvalve.core.TimerQueue;
import lupinvalve.log.Log;
import lupinvalve.net.Addresses;
import lupinvalve.net.Link;
import lupinvalve.net.Net;
import lupinvalve.statemachine.ClusterBootstrap;
import lupinvalve.statemachine.MemberId;

/**
 * The connections between members, and those accepted from operators and subscribers. Each member dials every other
 * member whose address it knows; where two connections to one member exist, either may be used. On the group's thread.
 */
final class PeerConnections implements RaftReplica.MessageSender {
    private static final long MIN_REDIAL_BACKOFF_MICROS = 300_000;
    private static final long MAX_REDIAL_BACKOFF_MICROS = 3_000_000;
    /** Growth of the backoff from one redial to the next, as a fraction. */
    private static final int BACKOFF_GROWTH_NUMERATOR = 3;

    private static final int BACKOFF_GROWTH_DENOMINATOR = 2;
    /** Interval of the heartbeats that each side of a connection sends. */
    static final long HEARTBEAT_INTERVAL_MICROS = 500_000;

    private static final long SILENCE_TIMEOUT_MICROS = 2_500_000;
    private static final long HELLO_TIMEOUT_MICROS = 3_000_000;
    private static final int MAX_MEMBER_CONNECTIONS = 64;
    /** Limit on accepted connections: those of members, operators with their tools, and subscribers. */
    static final int MAX_ACCEPTED_CONNECTIONS = MAX_MEMBER_CONNECTIONS + SubscriptionServer.SUBSCRIBERS_MAX_COUNT;

    private static final int MAX_REQUESTS_IN_FLIGHT = 1000;
    private static final long MICROS_PER_MILLI = 1_000;

    /** What this member's Hello says about it on each connection. */
    record Self(String cluster, String name, String address) {}

    /** Checks that a peer's certificate is for the name in its Hello, where connections use TLS. */
    interface IdentityCheck {
        void check(Link link, String name) throws IOException;
    }

    /** Receives connection events and messages. */
    interface Listener {
        /**
         * A member has connected, or has announced a new phase of its bootstrap; {@code address} is where it listens.
         */
        void announced(ClusterBootstrap.Announcement announcement, String address);

        /** The last connection to a member has ended. */
        void disconnected(MemberId member);

        void raftMessage(byte[] message) throws IOException;

        /** @param caller the name in the caller's Hello, which passed the {@link IdentityCheck} */
        void request(String caller, WireMessages.Request request, Consumer<WireMessages.Response> channel);
    }

    private final Net net;
    private final EventLoop loop;
    private final Self self;
    private final IdentityCheck identityCheck;
    private final Listener listener;
    /** By the member's name. */
    private final Map<String, DialedMember> dialedMembers = new TreeMap<>();

    private final Set<Connection> acceptedConnections = new HashSet<>();
    private final Map<MemberId, List<Connection>> connectionsByMember = new HashMap<>();
    private ClusterBootstrap.Announcement announcement;
    private Net.Listener server;
    private boolean stopped;
    private long lastRequestId;

    PeerConnections(
            Net net,
            EventLoop loop,
            Self self,
            ClusterBootstrap.Announcement announcement,
            IdentityCheck identityCheck,
            Listener listener) {
        this.net = net;
        this.loop = loop;
        this.self = self;
        this.announcement = announcement;
        this.identityCheck = identityCheck;
        this.listener = listener;
    }

    /** Begins to accept connections. May be called from any thread, before any other method. */
    void listen() throws IOException {
        server = net.listen(Addresses.parse(self.address()), WireMessages::new, new Acceptor());
    }

    InetSocketAddress address() {
        return server.address();
    }

    /**
     * Keeps a connection to a member at an address, which replaces the member's previous one. With an empty address the
     * member is no longer dialed.
     */
    void setMemberAddress(String member, String address) {
        DialedMember current = dialedMembers.get(member);
        if (stopped || member.equals(self.name()) || current != null && current.address.equals(address)) {
            return;
        }
        if (current != null) {
            current.stop();
            dialedMembers.remove(member);
        }
        if (!address.isEmpty()) {
            DialedMember next = new DialedMember(member, address);
            dialedMembers.put(member, next);
            next.dial();
        }
    }

    /** Replaces this member's announcement: sent to all connected members now, and on each later connection. */
    void announce(ClusterBootstrap.Announcement next) {
        announcement = next;
        connectionsByMember.values().forEach(connections -> connections.forEach(Connection::sendHello));
    }

    /** The members with at least one connection. */
    Set<MemberId> connected() {
        return new TreeSet<>(connectionsByMember.keySet());
    }

    @Override
    public void send(MemberId to, byte[] message) {
        List<Connection> connections = connectionsByMember.get(to);
        if (connections != null) {
            connections.get(0).link.write(WireMessages.message(WireMessages.Kind.RAFT, message));
        }
    }

    @Override
    public boolean reaches(MemberId member) {
        return connectionsByMember.containsKey(member);
    }

    /**
     * Sends a request to another member. {@code callback} always receives a response, if not the member's then one made
     * here: {@link WireMessages.Status#RETRY} at once if the member is not connected or has too many requests in
     * flight, {@link WireMessages.Status#INDETERMINATE} if the connection ends or the timeout passes.
     */
    void call(
            MemberId member,
            String name,
            List<byte[]> arguments,
            long timeoutMicros,
            Consumer<WireMessages.Response> callback) {
        List<Connection> connections = connectionsByMember.get(member);
        long id = ++lastRequestId;
        if (connections == null || connections.get(0).inFlight.size() >= MAX_REQUESTS_IN_FLIGHT) {
            callback.accept(
                    new WireMessages.Response(id, WireMessages.Status.RETRY, member.name() + " is not in reach"));
            return;
        }
        Connection connection = connections.get(0);
        connection.inFlight.put(id, callback);
        connection.link.write(new WireMessages.Request(id, name, arguments).write());
        loop.after(
                timeoutMicros,
                () -> connection.complete(indeterminate(id, "no answer from " + member.name() + " in time")));
    }

    private static WireMessages.Response indeterminate(long id, String reason) {
        return new WireMessages.Response(id, WireMessages.Status.INDETERMINATE, reason);
    }

    /** Drops all connections and stops dialing and accepting. */
    void stop() {
        stopped = true;
        if (server != null) {
            server.stop();
        }
        dialedMembers.values().forEach(DialedMember::stop);
        new ArrayList<>(acceptedConnections).forEach(Connection::drop);
    }

    /** Accepts connections from members, operators and subscribers. */
    private final class Acceptor implements Link.Events {
        private final Map<Link, Connection> connections = new HashMap<>();

        @Override
        public void opened(Link link) {
            if (stopped || acceptedConnections.size() >= MAX_ACCEPTED_CONNECTIONS) {
                link.drop();
                return;
            }
            Connection connection = new Connection(link, null);
            connections.put(link, connection);
            acceptedConnections.add(connection);
            connection.startHandshake();
        }

        @Override
        public void messages(Link link, List<byte[]> messages, long atMicros) {
            Connection connection = connections.get(link);
            if (connection != null) {
                connection.onMessages(messages);
            }
        }

        @Override
        public void malformed(Link link, String reason) {
            Connection connection = connections.get(link);
            if (connection != null) {
                connection.fail(reason);
            }
        }

        @Override
        public void closed(Link link) {
            Connection connection = connections.remove(link);
            if (connection != null) {
                connection.onClosed();
            }
        }
    }

    /** One connection, dialed or accepted. */
    private final class Connection {
        private final Link link;
        /** Null for an accepted connection. */
        private final DialedMember dialedMember;

        private final Map<Long, Consumer<WireMessages.Response>> inFlight = new HashMap<>();
        /** The member at the other end; null for an operator or a subscriber, and before the peer's Hello. */
        private MemberId member;

        private String peerName = "";
        private boolean helloReceived;
        private boolean closed;
        private boolean fromSubscriber;
        private TimerQueue.Timer silenceTimer;
        private TimerQueue.Timer heartbeatTimer;

        Connection(Link link, DialedMember dialedMember) {
            this.link = link;
            this.dialedMember = dialedMember;
        }

        void startHandshake() {
            // The accepting side sends its Hello first: MINA's TLS filter holds back data that arrives together with
            // the last message of the TLS handshake until more data arrives.
            if (dialedMember == null) {
                sendHello();
            }
            silenceTimer = loop.after(
                    HELLO_TIMEOUT_MICROS,
                    () -> fail("no Hello within " + HELLO_TIMEOUT_MICROS / MICROS_PER_MILLI + " ms"));
            scheduleHeartbeat();
        }

        void sendHello() {
            link.write(new WireMessages.Hello(self.cluster(), self.name(), self.address(), announcement).write());
        }

        private void scheduleHeartbeat() {
            heartbeatTimer = loop.after(HEARTBEAT_INTERVAL_MICROS, () -> {
                // A subscriber needs none: it receives a response to each of its polls.
                if (!fromSubscriber) {
                    link.write(WireMessages.message(WireMessages.Kind.HEARTBEAT, new byte[0]));
                }
                scheduleHeartbeat();
            });
        }

        void onMessages(List<byte[]> messages) {
            loop.cancel(silenceTimer);
            silenceTimer = loop.after(
                    SILENCE_TIMEOUT_MICROS,
                    () -> fail("no heartbeat within " + SILENCE_TIMEOUT_MICROS / MICROS_PER_MILLI + " ms"));
            try {
                for (byte[] message : messages) {
                    if (!closed) {
                        onMessage(WireMessages.kind(message), WireMessages.body(message));
                    }
                }
            } catch (IOException e) {
                fail(e.getMessage());
            }
        }

        private void onMessage(WireMessages.Kind kind, byte[] body) throws IOException {
            if (!helloReceived && kind != WireMessages.Kind.HELLO) {
                throw new HandshakeException("received a message of kind " + kind + " before the Hello");
            }
            switch (kind) {
                case HELLO -> onHello(WireMessages.Hello.read(body));
                case RAFT -> {
                    if (member == null) {
                        throw new HandshakeException(peerName + " sent a Raft message but is not a member");
                    }
                    listener.raftMessage(body);
                }
                case REQUEST -> onRequest(WireMessages.Request.read(body));
                case RESPONSE -> complete(WireMessages.Response.read(body));
                case HEARTBEAT -> {
                    // Each message restarts the silence timer; a heartbeat has no other effect.
                }
            }
        }

        private void onRequest(WireMessages.Request request) {
            fromSubscriber |= request.name().equals(SubscriptionServer.CALL);
            listener.request(peerName, request, response -> {
                if (!closed) {
                    link.write(response.write());
                }
            });
        }

        private void onHello(WireMessages.Hello hello) throws IOException {
            checkHello(hello);
            identityCheck.check(link, hello.name());
            if (dialedMember != null && !helloReceived) {
                sendHello();
            }
            helloReceived = true;
            peerName = hello.name();
            if (hello.announcement() == null) {
                return;
            }
            MemberId announced = hello.announcement().member();
            if (member != null && !member.equals(announced)) {
                throw new HandshakeException(hello.name() + " changed its disk id from " + member.diskId() + " to "
                        + announced.diskId() + " on one connection");
            }
            if (member == null) {
                onConnected(announced);
            }
            listener.announced(hello.announcement(), hello.address());
        }

        private void checkHello(WireMessages.Hello hello) throws IOException {
            if (!hello.cluster().equals(self.cluster())) {
                throw new HandshakeException(
                        hello.name() + " belongs to cluster " + hello.cluster() + ", expected " + self.cluster());
            }
            ClusterBootstrap.Announcement announced = hello.announcement();
            if (announced != null
                    && (!announced.member().name().equals(hello.name())
                            || hello.name().equals(self.name()))) {
                throw new HandshakeException("the Hello of " + hello.name() + " announces member "
                        + announced.member().name() + "; both names must be equal, and differ from this member's, "
                        + self.name());
            }
            if (dialedMember != null && !hello.name().equals(dialedMember.name)) {
                throw new HandshakeException("the peer at " + dialedMember.address + " is " + hello.name()
                        + ", expected " + dialedMember.name);
            }
        }

        private void onConnected(MemberId announced) {
            member = announced;
            boolean first = !connectionsByMember.containsKey(announced);
            connectionsByMember
                    .computeIfAbsent(announced, key -> new ArrayList<>(2))
                    .add(this);
            if (dialedMember != null) {
                dialedMember.backoffMicros = MIN_REDIAL_BACKOFF_MICROS;
            }
            if (first) {
                Log.info("store: member %s connected", announced);
            }
        }

        private void complete(WireMessages.Response response) {
            Consumer<WireMessages.Response> callback = inFlight.remove(response.id());
            if (callback != null) {
                callback.accept(response);
            }
        }

        /** Drops the connection because the peer or the network has failed, or the peer has violated the protocol. */
        void fail(String reason) {
            if (!closed) {
                Log.warn("store: connection with %s dropped: %s", peer(), reason);
                drop();
            }
        }

        private String peer() {
            if (member != null) {
                return member.toString();
            }
            return dialedMember != null ? dialedMember.name + " at " + dialedMember.address : "an unknown peer";
        }

        void drop() {
            link.drop();
            onClosed();
        }

        void onClosed() {
            if (closed) {
                return;
            }
            closed = true;
            loop.cancel(silenceTimer);
            loop.cancel(heartbeatTimer);
            acceptedConnections.remove(this);
            List<Connection> connections = member == null ? null : connectionsByMember.get(member);
            if (connections != null && connections.remove(this) && connections.isEmpty()) {
                connectionsByMember.remove(member);
                Log.info("store: member %s disconnected", member);
                listener.disconnected(member);
            }
            new ArrayList<>(inFlight.keySet()).forEach(id -> complete(indeterminate(id, "the connection broke")));
            if (dialedMember != null) {
                dialedMember.redial();
            }
        }
    }

    /** A member that this one dials, and redials with backoff after the connection has ended. */
    private final class DialedMember implements Link.Events {
        private final String name;
        private final String address;
        private long backoffMicros = MIN_REDIAL_BACKOFF_MICROS;
        private Connection connection;
        /** True once another address has replaced this one, or this member stops. */
        private boolean abandoned;

        DialedMember(String name, String address) {
            this.name = name;
            this.address = address;
        }

        void dial() {
            if (abandoned || stopped) {
                return;
            }
            InetSocketAddress socketAddress = Addresses.parse(address);
            connection = new Connection(net.dial(socketAddress, new WireMessages(), this), this);
            connection.silenceTimer = loop.after(
                    HELLO_TIMEOUT_MICROS,
                    () -> connection.fail("not connected within " + HELLO_TIMEOUT_MICROS / MICROS_PER_MILLI + " ms"));
        }

        void redial() {
            if (!abandoned && !stopped) {
                loop.after(backoffMicros, this::dial);
                backoffMicros = Math.min(
                        MAX_REDIAL_BACKOFF_MICROS,
                        backoffMicros * BACKOFF_GROWTH_NUMERATOR / BACKOFF_GROWTH_DENOMINATOR);
            }
        }

        void stop() {
            abandoned = true;
            if (connection != null && !connection.closed) {
                connection.drop();
            }
        }

        @Override
        public void opened(Link link) {
            loop.cancel(connection.silenceTimer);
            connection.startHandshake();
        }

        @Override
        public void messages(Link link, List<byte[]> messages, long atMicros) {
            connection.onMessages(messages);
        }

        @Override
        public void malformed(Link link, String reason) {
            connection.fail(reason);
        }

        @Override
        public void closed(Link link) {
            connection.onClosed();
        }
    }
}
