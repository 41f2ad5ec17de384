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
 * The connections between members, and those of operators and subscribers. Each member dials all others that it knows
 * an address of; of two connections to one, either does. On the group's thread.
 */
final class PeerConnections implements RaftReplica.MessageSender {
    private static final long REDIAL_BACKOFF_MICROS = 300_000;
    private static final long MAX_REDIAL_BACKOFF_MICROS = 3_000_000;
    /** Of one backoff to the next, as a fraction. */
    private static final int BACKOFF_NUMERATOR = 3;

    private static final int BACKOFF_DENOMINATOR = 2;
    /** How often each side of a connection shows that it lives. */
    static final long HEARTBEAT_INTERVAL_MICROS = 500_000;

    private static final long SILENCE_TIMEOUT_MICROS = 2_500_000;
    private static final long HELLO_TIMEOUT_MICROS = 3_000_000;
    private static final int MAX_MEMBER_CONNECTIONS = 64;
    /** Connections accepted at most: members, operators with their tools, and subscribers. */
    static final int MAX_ACCEPTED_CONNECTIONS = MAX_MEMBER_CONNECTIONS + SubscriptionServer.SUBSCRIBERS_MAX_COUNT;

    private static final int MAX_REQUESTS_IN_FLIGHT = 1000;
    private static final long MICROS_PER_MILLI = 1_000;

    /** What this member says of itself on each connection. */
    record Self(String cluster, String name, String address) {}

    /** Checks by its certificate, where there is one, that a connection's peer is who it says. */
    interface IdentityCheck {
        void check(Link link, String name) throws IOException;
    }

    /** Is notified of what comes. */
    interface Listener {
        /** A member is connected and says how far its bootstrap is, and where it is reached. */
        void announced(ClusterBootstrap.Announcement announcement, String address);

        /** No connection to a member is left. */
        void disconnected(MemberId member);

        void raftMessage(byte[] message) throws IOException;

        /** @param caller the name that it has shown to be its own */
        void request(String caller, WireMessages.Request request, Consumer<WireMessages.Response> channel);
    }

    private final Net net;
    private final EventLoop loop;
    private final Self self;
    private final IdentityCheck identityCheck;
    private final Listener listener;
    /** By name. */
    private final Map<String, DialedMember> dialed = new TreeMap<>();

    private final Set<Connection> accepted = new HashSet<>();
    private final Map<MemberId, List<Connection>> connected = new HashMap<>();
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

    /** Begins to accept connections; from any thread, before all else. */
    void listen() throws IOException {
        server = net.listen(Addresses.parse(self.address()), WireMessages::new, new Acceptor());
    }

    InetSocketAddress address() {
        return server.address();
    }

    /** Keeps a connection to a member at an address; another address for the same name replaces the first. */
    void setMemberAddress(String member, String address) {
        DialedMember current = dialed.get(member);
        if (stopped || member.equals(self.name()) || current != null && current.address.equals(address)) {
            return;
        }
        if (current != null) {
            current.stop();
            dialed.remove(member);
        }
        if (!address.isEmpty()) {
            DialedMember next = new DialedMember(member, address);
            dialed.put(member, next);
            next.dial();
        }
    }

    /** Announces something else of this member from now on, to all that are connected first. */
    void announce(ClusterBootstrap.Announcement next) {
        announcement = next;
        connected.values().forEach(connections -> connections.forEach(Connection::hello));
    }

    /** Which members are connected. */
    Set<MemberId> connected() {
        return new TreeSet<>(connected.keySet());
    }

    @Override
    public void send(MemberId to, byte[] message) {
        List<Connection> connections = connected.get(to);
        if (connections != null) {
            connections.get(0).link.write(WireMessages.message(WireMessages.Kind.RAFT, message));
        }
    }

    @Override
    public boolean reaches(MemberId member) {
        return connected.containsKey(member);
    }

    /** Sends a request to another member; there is a response within the time in any case. */
    void call(
            MemberId member,
            String name,
            List<byte[]> arguments,
            long timeoutMicros,
            Consumer<WireMessages.Response> then) {
        List<Connection> connections = connected.get(member);
        long id = ++lastRequestId;
        if (connections == null || connections.get(0).inFlight.size() >= MAX_REQUESTS_IN_FLIGHT) {
            then.accept(new WireMessages.Response(id, WireMessages.Status.RETRY, member.name() + " is not in reach"));
            return;
        }
        Connection connection = connections.get(0);
        connection.inFlight.put(id, then);
        connection.link.write(new WireMessages.Request(id, name, arguments).write());
        loop.after(
                timeoutMicros,
                () -> connection.complete(indeterminate(id, "no answer from " + member.name() + " in time")));
    }

    private static WireMessages.Response indeterminate(long id, String reason) {
        return new WireMessages.Response(id, WireMessages.Status.INDETERMINATE, reason);
    }

    /** Drops all connections and dials no more. */
    void stop() {
        stopped = true;
        if (server != null) {
            server.stop();
        }
        dialed.values().forEach(DialedMember::stop);
        new ArrayList<>(accepted).forEach(Connection::drop);
    }

    /** Takes connections of others. */
    private final class Acceptor implements Link.Events {
        private final Map<Link, Connection> connections = new HashMap<>();

        @Override
        public void opened(Link link) {
            if (stopped || accepted.size() >= MAX_ACCEPTED_CONNECTIONS) {
                link.drop();
                return;
            }
            Connection connection = new Connection(link, null);
            connections.put(link, connection);
            accepted.add(connection);
            connection.begin();
        }

        @Override
        public void messages(Link link, List<byte[]> messages, long atMicros) {
            Connection connection = connections.get(link);
            if (connection != null) {
                connection.onMessages(messages);
            }
        }

        @Override
        public void malformed(Link link, String why) {
            Connection connection = connections.get(link);
            if (connection != null) {
                connection.fail(why);
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

    /** One connection, from either side. */
    private final class Connection {
        private final Link link;
        /** Null for one that was accepted. */
        private final DialedMember dialedMember;

        private final Map<Long, Consumer<WireMessages.Response>> inFlight = new HashMap<>();
        /** The member at the other end; null for an operator or a subscriber, and before its greeting. */
        private MemberId member;

        private String caller = "";
        private boolean greeted;
        private boolean closed;
        private boolean subscriber;
        private TimerQueue.Timer silence;
        private TimerQueue.Timer heartbeat;

        Connection(Link link, DialedMember dialedMember) {
            this.link = link;
            this.dialedMember = dialedMember;
        }

        void begin() {
            // Who was dialled speaks first: MINA's filter holds back what comes together with a handshake's last
            // message until something else comes.
            if (dialedMember == null) {
                hello();
            }
            silence = loop.after(
                    HELLO_TIMEOUT_MICROS,
                    () -> fail("no greeting within " + HELLO_TIMEOUT_MICROS / MICROS_PER_MILLI + " ms"));
            scheduleHeartbeat();
        }

        void hello() {
            link.write(new WireMessages.Hello(self.cluster(), self.name(), self.address(), announcement).write());
        }

        private void scheduleHeartbeat() {
            heartbeat = loop.after(HEARTBEAT_INTERVAL_MICROS, () -> {
                // A subscriber gets a response each time that it polls.
                if (!subscriber) {
                    link.write(WireMessages.message(WireMessages.Kind.HEARTBEAT, new byte[0]));
                }
                scheduleHeartbeat();
            });
        }

        void onMessages(List<byte[]> messages) {
            loop.cancel(silence);
            silence = loop.after(
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
            if (!greeted && kind != WireMessages.Kind.HELLO) {
                throw new HandshakeException("no greeting");
            }
            switch (kind) {
                case HELLO -> onHello(WireMessages.Hello.read(body));
                case RAFT -> {
                    if (member == null) {
                        throw new HandshakeException("an operator has no part in the group");
                    }
                    listener.raftMessage(body);
                }
                case REQUEST -> onRequest(WireMessages.Request.read(body));
                case RESPONSE -> complete(WireMessages.Response.read(body));
                case HEARTBEAT -> {
                    // That it came is all.
                }
            }
        }

        private void onRequest(WireMessages.Request request) {
            subscriber |= request.name().equals(SubscriptionServer.CALL);
            listener.request(caller, request, response -> {
                if (!closed) {
                    link.write(response.write());
                }
            });
        }

        private void onHello(WireMessages.Hello hello) throws IOException {
            checkHello(hello);
            identityCheck.check(link, hello.name());
            if (dialedMember != null && !greeted) {
                hello();
            }
            greeted = true;
            caller = hello.name();
            if (hello.announcement() == null) {
                return;
            }
            MemberId announced = hello.announcement().member();
            if (member != null && !member.equals(announced)) {
                throw new HandshakeException(hello.name() + " has changed its disk");
            }
            if (member == null) {
                onConnected(announced);
            }
            listener.announced(hello.announcement(), hello.address());
        }

        private void checkHello(WireMessages.Hello hello) throws IOException {
            if (!hello.cluster().equals(self.cluster())) {
                throw new HandshakeException(hello.name() + " is of the cluster " + hello.cluster());
            }
            ClusterBootstrap.Announcement announced = hello.announcement();
            if (announced != null
                    && (!announced.member().name().equals(hello.name())
                            || hello.name().equals(self.name()))) {
                throw new HandshakeException(hello.name() + " is not its own name, or this member's");
            }
            if (dialedMember != null && !hello.name().equals(dialedMember.name)) {
                throw new HandshakeException(
                        "at " + dialedMember.address + " is " + hello.name() + ", not " + dialedMember.name);
            }
        }

        private void onConnected(MemberId announced) {
            member = announced;
            boolean first = !connected.containsKey(announced);
            connected.computeIfAbsent(announced, key -> new ArrayList<>(2)).add(this);
            if (dialedMember != null) {
                dialedMember.backoffMicros = REDIAL_BACKOFF_MICROS;
            }
            if (first) {
                Log.info("store: member %s connected", announced);
            }
        }

        private void complete(WireMessages.Response response) {
            Consumer<WireMessages.Response> then = inFlight.remove(response.id());
            if (then != null) {
                then.accept(response);
            }
        }

        /** Ends the connection as the other side, or the way to it, does not do as it should. */
        void fail(String reason) {
            if (!closed) {
                Log.warn("store: connection with %s ended: %s", peer(), reason);
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
            loop.cancel(silence);
            loop.cancel(heartbeat);
            accepted.remove(this);
            List<Connection> connections = member == null ? null : connected.get(member);
            if (connections != null && connections.remove(this) && connections.isEmpty()) {
                connected.remove(member);
                Log.info("store: member %s disconnected", member);
                listener.disconnected(member);
            }
            new ArrayList<>(inFlight.keySet()).forEach(id -> complete(indeterminate(id, "the connection broke")));
            if (dialedMember != null) {
                dialedMember.redial();
            }
        }
    }

    /** A member that this one dials, again with backoff where the connection ends. */
    private final class DialedMember implements Link.Events {
        private final String name;
        private final String address;
        private long backoffMicros = REDIAL_BACKOFF_MICROS;
        private Connection connection;
        /** Another address has replaced this one, or this member stops. */
        private boolean abandoned;

        DialedMember(String name, String address) {
            this.name = name;
            this.address = address;
        }

        void dial() {
            if (abandoned || stopped) {
                return;
            }
            InetSocketAddress to = Addresses.parse(address);
            connection = new Connection(net.dial(to, new WireMessages(), this), this);
            connection.silence = loop.after(
                    HELLO_TIMEOUT_MICROS,
                    () -> connection.fail("not connected within " + HELLO_TIMEOUT_MICROS / MICROS_PER_MILLI + " ms"));
        }

        void redial() {
            if (!abandoned && !stopped) {
                loop.after(backoffMicros, this::dial);
                backoffMicros =
                        Math.min(MAX_REDIAL_BACKOFF_MICROS, backoffMicros * BACKOFF_NUMERATOR / BACKOFF_DENOMINATOR);
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
            loop.cancel(connection.silence);
            connection.begin();
        }

        @Override
        public void messages(Link link, List<byte[]> messages, long atMicros) {
            connection.onMessages(messages);
        }

        @Override
        public void malformed(Link link, String why) {
            connection.fail(why);
        }

        @Override
        public void closed(Link link) {
            connection.onClosed();
        }
    }
}
