package lupinvalve.store;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import lupinvalve.core.Deadlines;
import lupinvalve.core.Loop;
import lupinvalve.log.Log;
import lupinvalve.net.Link;
import lupinvalve.net.Net;

/**
 * Exchanges the store's changes with other replicas over TCP. Each replica dials its peers and pushes: all it holds
 * when the connection comes up, then each change. A connection lost is dialled again, and all is pushed again.
 */
public final class Replicator {
    private static final long RETRY = 300_000, BEAT = 1_000_000, SILENCE = 4_000_000;
    private final Net net;
    private final Loop loop;
    private final Store store;
    private final String secret;
    private final List<Peer> peers = new ArrayList<>();
    private final Set<Link> trusted = new HashSet<>();
    private final Set<Link> incoming = new HashSet<>();
    private Net.Listener listener;
    private boolean stopped;

    public Replicator(Net net, Loop loop, Store store, String secret) {
        this.net = net;
        this.loop = loop;
        this.store = store;
        this.secret = secret;
        store.onChange((key, value) -> {
            byte[] line = Lines.entry(key, value);
            peers.forEach(peer -> peer.push(line));
        });
    }

    /** Takes other replicas' connections. */
    public void listen(InetSocketAddress address) throws IOException {
        listener = net.listen(address, Lines::new, new Incoming());
    }

    public InetSocketAddress address() {
        return listener.address();
    }

    /** Keeps a connection to another replica; core thread. */
    public void peer(InetSocketAddress address) {
        Peer peer = new Peer(address);
        peers.add(peer);
        peer.dial();
    }

    /** Ends all exchange; core thread. */
    public void stop() {
        stopped = true;
        if (listener != null) {
            listener.stop();
        }
        peers.forEach(Peer::drop);
        incoming.forEach(Link::drop);
    }

    private final class Incoming implements Link.Events {
        @Override
        public void opened(Link link) {
            if (stopped) {
                link.drop();
            } else {
                incoming.add(link);
            }
        }

        @Override
        public void messages(Link link, List<byte[]> lines, long atMicros) {
            try {
                for (byte[] bytes : lines) {
                    take(link, Lines.read(bytes));
                }
            } catch (IOException e) {
                malformed(link, e.getMessage());
            }
        }

        private void take(Link link, Lines.Line line) throws IOException {
            if (line.hello() != null) {
                if (!MessageDigest.isEqual(line.secret().getBytes(java.nio.charset.StandardCharsets.UTF_8),
                        secret.getBytes(java.nio.charset.StandardCharsets.UTF_8))) {
                    throw new IOException("store: " + line.hello() + " has another secret");
                }
                trusted.add(link);
                Log.info("store: %s is connected", line.hello());
            } else if (!trusted.contains(link)) {
                throw new IOException("store: no greeting");
            } else if (line.key() != null) {
                store.merge(line.key(), line.value());
            } else {
                link.write(Lines.BEAT);
            }
        }

        @Override
        public void malformed(Link link, String why) {
            Log.warn("%s", why);
            link.drop();
            closed(link);
        }

        @Override
        public void closed(Link link) {
            trusted.remove(link);
            incoming.remove(link);
        }
    }

    private final class Peer implements Link.Events {
        private final InetSocketAddress address;
        private Link link;
        private boolean up;
        private Deadlines.Deadline beat, silence;

        Peer(InetSocketAddress address) {
            this.address = address;
        }

        void dial() {
            if (!stopped) {
                link = net.dial(address, new Lines(), this);
                silence = loop.after(SILENCE, this::lost);
            }
        }

        void push(byte[] line) {
            if (up) {
                link.write(line);
            }
        }

        private void beat() {
            push(Lines.BEAT);
            beat = loop.after(BEAT, this::beat);
        }

        void drop() {
            up = false;
            loop.drop(beat);
            loop.drop(silence);
            if (link != null) {
                link.drop();
            }
        }

        /** A peer cut off says nothing and resets nothing: silence alone tells. */
        private void lost() {
            drop();
            loop.after(RETRY, this::dial);
        }

        @Override
        public void opened(Link opened) {
            up = true;
            push(Lines.hello(store.replica(), secret));
            for (Map.Entry<String, Value> entry : store.all().entrySet()) {
                push(Lines.entry(entry.getKey(), entry.getValue()));
            }
            beat();
        }

        @Override
        public void messages(Link from, List<byte[]> lines, long atMicros) {
            loop.drop(silence);
            silence = loop.after(SILENCE, this::lost);
        }

        @Override
        public void malformed(Link broken, String why) {
            lost();
        }

        @Override
        public void closed(Link ended) {
            lost();
        }
    }
}
