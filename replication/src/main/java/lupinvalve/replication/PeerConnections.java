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
import lupinvalve.core.EventLoop;
import lupinvalve.core.TimerQueue;
import lupinvalve.log.Log;
import lupinvalve.net.Addresses;
import lupinvalve.net.Link;
import lupinvalve.net.Net;
import lupinvalve.statemachine.ClusterBootstrap;
import lupinvalve.statemachine.MemberId;

/**
 * The connections between members, and those of operators. Each member dials all others that it knows an address of; of
 * two connections to one, either does. On the store's own thread.
 */
final class PeerConnections implements RaftReplica.MessageSender {
    private static final long RETRY = 300_000,
            RETRY_MOST = 3_000_000,
            BEAT = 500_000,
            SILENCE = 2_500_000,
            HELLO_WITHIN = 3_000_000;
    /** Connections taken at most: members, operators with their tools, and subscribers. */
    private static final int TAKEN_MOST = 64 + SubscriptionServer.SUBSCRIBERS_MAX_COUNT;

    private static final int CALLS_MOST = 1000;

    /**
     * Says who a connection's peer is by its certificate, or that it needs none; throws where it is not who it says.
     */
    interface Proof {
        void check(Link link, String name, boolean member) throws IOException;
    }

    /** Hears what comes. */
    interface Heard {
        void word(ClusterBootstrap.Announcement word, String address);

        void lost(MemberId who);

        void raft(byte[] message) throws IOException;

        /** @param caller the name that it has shown to be its own */
        void call(String caller, WireMessages.Request call, java.util.function.Consumer<WireMessages.Response> answer);
    }

    private final Net net;
    private final EventLoop loop;
    private final String cluster, name, address;
    private final Proof proof;
    private final Heard heard;
    private final Map<String, Dial> dials = new TreeMap<>();
    private final Set<Conn> taken = new HashSet<>();
    private final Map<MemberId, List<Conn>> up = new HashMap<>();
    private ClusterBootstrap.Announcement word;
    private Net.Listener listener;
    private boolean stopped;
    private long callNumber;

    PeerConnections(
            Net net,
            EventLoop loop,
            String cluster,
            String name,
            String address,
            ClusterBootstrap.Announcement word,
            Proof proof,
            Heard heard) {
        this.net = net;
        this.loop = loop;
        this.cluster = cluster;
        this.name = name;
        this.address = address;
        this.word = word;
        this.proof = proof;
        this.heard = heard;
    }

    void listen() throws IOException {
        listener = net.listen(Addresses.parse(address), WireMessages::new, new Link.Events() {
            private final Map<Link, Conn> conns = new HashMap<>();

            @Override
            public void opened(Link link) {
                if (stopped || taken.size() >= TAKEN_MOST) {
                    link.drop();
                    return;
                }
                Conn conn = new Conn(link, null);
                conns.put(link, conn);
                taken.add(conn);
                conn.begin();
            }

            @Override
            public void messages(Link link, List<byte[]> messages, long atMicros) {
                Conn conn = conns.get(link);
                if (conn != null) {
                    conn.messages(messages);
                }
            }

            @Override
            public void malformed(Link link, String why) {
                Conn conn = conns.get(link);
                if (conn != null) {
                    conn.broken(why);
                }
            }

            @Override
            public void closed(Link link) {
                Conn conn = conns.remove(link);
                if (conn != null) {
                    conn.over();
                }
            }
        });
    }

    InetSocketAddress address() {
        return listener.address();
    }

    /** Keeps a connection to a member at an address; another address for the same name takes the place of the first. */
    void place(String member, String at) {
        Dial dial = dials.get(member);
        if (stopped || member.equals(name) || dial != null && dial.at.equals(at)) {
            return;
        }
        if (dial != null) {
            dial.stop();
            dials.remove(member);
        }
        if (!at.isEmpty()) {
            Dial next = new Dial(member, at);
            dials.put(member, next);
            next.dial();
        }
    }

    /** Says something else of itself from now on. */
    void say(ClusterBootstrap.Announcement next) {
        word = next;
        up.values().forEach(conns -> conns.forEach(Conn::hello));
    }

    /** Who is connected. */
    Set<MemberId> connected() {
        return new TreeSet<>(up.keySet());
    }

    @Override
    public void send(MemberId to, byte[] message) {
        List<Conn> conns = up.get(to);
        if (conns != null) {
            conns.get(0).link.write(WireMessages.message(WireMessages.Kind.RAFT, message));
        }
    }

    @Override
    public boolean reaches(MemberId who) {
        return up.containsKey(who);
    }

    /** Asks another member; there is an answer within the time in any case. */
    void call(
            MemberId whom,
            String what,
            List<byte[]> arguments,
            long withinMicros,
            java.util.function.Consumer<WireMessages.Response> then) {
        List<Conn> conns = up.get(whom);
        long id = ++callNumber;
        if (conns == null || conns.get(0).calls.size() >= CALLS_MOST) {
            then.accept(new WireMessages.Response(id, WireMessages.Status.RETRY, whom.name() + " is not in reach"));
            return;
        }
        Conn conn = conns.get(0);
        conn.calls.put(id, then);
        conn.link.write(new WireMessages.Request(id, what, arguments).write());
        loop.after(
                withinMicros,
                () -> conn.answered(new WireMessages.Response(
                        id, WireMessages.Status.INDETERMINATE, "no answer from " + whom.name() + " in time")));
    }

    void stop() {
        stopped = true;
        if (listener != null) {
            listener.stop();
        }
        dials.values().forEach(Dial::stop);
        new ArrayList<>(taken).forEach(conn -> {
            conn.link.drop();
            conn.over();
        });
    }

    /** One connection, from either side. */
    private final class Conn {
        final Link link;
        final Dial dial;
        final Map<Long, java.util.function.Consumer<WireMessages.Response>> calls = new HashMap<>();
        private MemberId who;
        private String caller = "";
        private boolean greeted, over, follows;
        private TimerQueue.Timer silence, beat;

        Conn(Link link, Dial dial) {
            this.link = link;
            this.dial = dial;
        }

        void begin() {
            // Who was dialled speaks first: MINA's filter holds back what comes together with a handshake's last word
            // until something else comes.
            if (dial == null) {
                hello();
            }
            silence = loop.after(HELLO_WITHIN, () -> broken("it says nothing"));
            beat();
        }

        void hello() {
            link.write(new WireMessages.Hello(cluster, name, address, word).write());
        }

        private void beat() {
            beat = loop.after(BEAT, () -> {
                // A subscriber hears something each time that it asks.
                if (!follows) {
                    link.write(WireMessages.message(WireMessages.Kind.HEARTBEAT, new byte[0]));
                }
                beat();
            });
        }

        void messages(List<byte[]> messages) {
            loop.cancel(silence);
            silence = loop.after(SILENCE, () -> broken("it has fallen silent"));
            try {
                for (byte[] message : messages) {
                    if (!over) {
                        message(WireMessages.kind(message), WireMessages.body(message));
                    }
                }
            } catch (IOException e) {
                broken(e.getMessage());
            }
        }

        private void message(WireMessages.Kind kind, byte[] body) throws IOException {
            if (!greeted && kind != WireMessages.Kind.HELLO) {
                throw new IOException("no greeting");
            }
            switch (kind) {
                case HELLO -> greeting(WireMessages.Hello.read(body));
                case RAFT -> {
                    if (who == null) {
                        throw new IOException("an operator has no part in the group");
                    }
                    heard.raft(body);
                }
                case REQUEST -> {
                    WireMessages.Request call = WireMessages.Request.read(body);
                    follows |= call.name().equals(SubscriptionServer.CALL);
                    heard.call(caller, call, answer -> {
                        if (!over) {
                            link.write(answer.write());
                        }
                    });
                }
                case RESPONSE -> answered(WireMessages.Response.read(body));
                default -> {
                    // A beat.
                }
            }
        }

        private void greeting(WireMessages.Hello hello) throws IOException {
            if (!hello.cluster().equals(cluster)) {
                throw new IOException(hello.name() + " is of the cluster " + hello.cluster());
            }
            boolean member = hello.word() != null;
            if (member && !hello.word().member().name().equals(hello.name())
                    || hello.name().equals(name) && member) {
                throw new IOException(hello.name() + " is not its own name, or this member's");
            }
            if (dial != null && !hello.name().equals(dial.member)) {
                throw new IOException("at " + dial.at + " is " + hello.name() + ", not " + dial.member);
            }
            proof.check(link, hello.name(), member);
            if (dial != null && !greeted) {
                hello();
            }
            greeted = true;
            caller = hello.name();
            if (!member) {
                return;
            }
            MemberId is = hello.word().member();
            if (who != null && !who.equals(is)) {
                throw new IOException(hello.name() + " has changed its disk");
            }
            if (who == null) {
                who = is;
                boolean first = !up.containsKey(is);
                up.computeIfAbsent(is, i -> new ArrayList<>(2)).add(this);
                if (dial != null) {
                    dial.retry = RETRY;
                }
                if (first) {
                    Log.info("store: %s is connected", is);
                }
            }
            heard.word(hello.word(), hello.address());
        }

        private void answered(WireMessages.Response answer) {
            java.util.function.Consumer<WireMessages.Response> then = calls.remove(answer.id());
            if (then != null) {
                then.accept(answer);
            }
        }

        void broken(String why) {
            if (!over) {
                Log.warn(
                        "store: connection with %s ended: %s",
                        who != null ? who.toString() : dial != null ? dial.member + " at " + dial.at : "a stranger",
                        why);
                link.drop();
                over();
            }
        }

        void over() {
            if (over) {
                return;
            }
            over = true;
            loop.cancel(silence);
            loop.cancel(beat);
            taken.remove(this);
            List<Conn> conns = who == null ? null : up.get(who);
            if (conns != null && conns.remove(this) && conns.isEmpty()) {
                up.remove(who);
                Log.info("store: %s is out of reach", who);
                heard.lost(who);
            }
            new ArrayList<>(calls.keySet())
                    .forEach(id -> answered(
                            new WireMessages.Response(id, WireMessages.Status.INDETERMINATE, "the connection broke")));
            if (dial != null) {
                dial.again();
            }
        }
    }

    /** A member that this one dials. */
    private final class Dial implements Link.Events {
        final String member, at;
        long retry = RETRY;
        private Conn conn;
        private boolean given;

        Dial(String member, String at) {
            this.member = member;
            this.at = at;
        }

        void dial() {
            if (given || stopped) {
                return;
            }
            InetSocketAddress to = Addresses.parse(at);
            conn = new Conn(net.dial(to, new WireMessages(), this), this);
            conn.silence = loop.after(HELLO_WITHIN, () -> conn.broken("it can't be reached"));
        }

        void again() {
            if (!given && !stopped) {
                loop.after(retry, this::dial);
                retry = Math.min(RETRY_MOST, retry * 3 / 2);
            }
        }

        void stop() {
            given = true;
            if (conn != null && !conn.over) {
                conn.link.drop();
                conn.over();
            }
        }

        @Override
        public void opened(Link link) {
            loop.cancel(conn.silence);
            conn.begin();
        }

        @Override
        public void messages(Link link, List<byte[]> messages, long atMicros) {
            conn.messages(messages);
        }

        @Override
        public void malformed(Link link, String why) {
            conn.broken(why);
        }

        @Override
        public void closed(Link link) {
            conn.over();
        }
    }
}
