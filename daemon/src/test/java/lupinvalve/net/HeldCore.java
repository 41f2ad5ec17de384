package lupinvalve.net;

import static java.nio.charset.StandardCharsets.ISO_8859_1;

import java.io.Closeable;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.function.UnaryOperator;
import lupinvalve.config.NodeConfig;
import lupinvalve.core.DiscoveredEndpoint;
import lupinvalve.core.EndpointDiscovery;
import lupinvalve.core.EndpointListEvent;
import lupinvalve.core.EventLoop;
import lupinvalve.core.Pooler;
import lupinvalve.integration.DbNode;
import lupinvalve.integration.World;
import lupinvalve.pg.PgBackend;
import lupinvalve.pg.PgFront;
import lupinvalve.routing.Endpoint;
import lupinvalve.routing.EndpointState;
import lupinvalve.routing.ListForm;

/** A pooler on real sockets whose core can be paused at a point of its queue, and whose endpoint list the test sets. */
final class HeldCore implements Closeable {
    final EventLoop loop = new EventLoop();
    final Net net = new Net(loop);
    final List<Link> links = new CopyOnWriteArrayList<>();
    final PgBackend pool;
    final Net.Listener listener;
    private final Pooler pooler;
    private final PgFront front;

    /** @param settings changes the text of the example's configuration */
    HeldCore(UnaryOperator<String> settings, DiscoveredEndpoint... entries) throws Exception {
        Path file = Files.createTempFile("lupinvalve", ".json");
        Files.writeString(file, settings.apply(Files.readString(Path.of("example/config.json"))));
        pooler = new Pooler(loop, NodeConfig.read(file, null).site().settings());
        Files.delete(file);
        pooler.discovery(new EndpointDiscovery() {
            @Override
            public void subscribe(boolean active) {
                // The test sets the list.
            }

            @Override
            public void fetch() {
                // The test sets the list.
            }

            @Override
            public long knownUpToMicros() {
                return loop.now();
            }
        });
        pool = new PgBackend(net, pooler, new Pool.Bounds(50, 5_000_000, 15_000_000, 250_000), "api", "ledger");
        pooler.addBackend(PgFront.PROTOCOL, pool);
        front = new PgFront(pooler, 50);
        listener = net.listen(new InetSocketAddress("127.0.0.1", 0), session -> {
            Link link = new Link(loop, front.framer(), front);
            links.add(link);
            return link;
        });
        loop.start();
        loop.post(() -> pooler.start(1, List.of(entries)));
    }

    static DiscoveredEndpoint entry(DbNode node, String id, long bornMicros) {
        return new DiscoveredEndpoint(
                new Endpoint(id, 1, 0, EndpointState.LIVE, node.primary, bornMicros),
                Map.of(PgFront.PROTOCOL, "127.0.0.1:" + node.port()));
    }

    static DiscoveredEndpoint draining(DbNode node, String id) {
        DiscoveredEndpoint live = entry(node, id, 0);
        return new DiscoveredEndpoint(
                new Endpoint(id, 1, 0, EndpointState.DRAINING, node.primary, 0), live.addresses());
    }

    static DiscoveredEndpoint departed(String id) {
        return new DiscoveredEndpoint(new Endpoint(id, 1, 0, EndpointState.DEPARTED, false, 0), Map.of());
    }

    void applyUpdate(DiscoveredEndpoint... entries) throws Exception {
        onCore(() -> {
            pooler.onEndpointListEvent(new EndpointListEvent(ListForm.UPDATE, List.of(entries)));
            return null;
        });
    }

    /** Applies a full list, which may be older than its arrival. */
    void applyFullList(DiscoveredEndpoint... entries) throws Exception {
        onCore(() -> {
            pooler.onEndpointListEvent(new EndpointListEvent(ListForm.FULL, List.of(entries)));
            return null;
        });
    }

    /** Requests that are open. */
    int openRequests() throws Exception {
        return onCore(pooler::openRequests);
    }

    <T> T onCore(Supplier<T> query) throws Exception {
        CompletableFuture<T> answer = new CompletableFuture<>();
        loop.post(() -> answer.complete(query.get()));
        return answer.get(10, TimeUnit.SECONDS);
    }

    /** A point in the core's queue at which the core waits until it is resumed. */
    final class Pause {
        private final CountDownLatch reached = new CountDownLatch(1);
        private final CountDownLatch resumed = new CountDownLatch(1);

        private Pause() {
            loop.post(() -> {
                reached.countDown();
                try {
                    resumed.await();
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            });
        }

        void awaitReached() throws InterruptedException {
            reached.await();
        }

        void resume() {
            resumed.countDown();
        }
    }

    /** Waits until MINA's thread has made this many rounds, and so has read what was there. */
    void awaitSelectRounds(int count) throws Exception {
        for (int i = 0; i < count; i++) {
            int linksBefore = links.size();
            try (Socket newClient = new Socket("127.0.0.1", listener.address().getPort())) {
                World.await("select round done", () -> links.size() > linksBefore && newClient.isConnected());
            }
        }
    }

    /** Pauses the core behind everything that has been posted by now. */
    Pause pauseCore() {
        return new Pause();
    }

    /** A client's connection after its startup; its link is the last of {@link #links}. */
    Socket client() throws Exception {
        Socket socket = new Socket("127.0.0.1", listener.address().getPort());
        socket.setSoTimeout(10_000);
        socket.setTcpNoDelay(true);
        socket.getOutputStream().write("\0\0\0\20\0\3\0\0user\0\0\0\0".getBytes(ISO_8859_1));
        readAnswer(socket);
        return socket;
    }

    static void sendQuery(Socket client, String query) throws IOException {
        int length = query.length() + 5;
        client.getOutputStream()
                .write(("Q\0\0" + (char) (length >> 8) + (char) (length & 255) + query + "\0").getBytes(ISO_8859_1));
    }

    /** Reads up to ReadyForQuery: the types of the messages, for errors the code; "end" if the connection ends. */
    static List<String> readAnswer(Socket client) throws IOException {
        DataInputStream in = new DataInputStream(client.getInputStream());
        List<String> got = new ArrayList<>();
        while (true) {
            int type = in.read();
            if (type < 0) {
                got.add("end");
                return got;
            }
            String body = new String(in.readNBytes(in.readInt() - 4), ISO_8859_1);
            if (type == 'Z') {
                return got;
            }
            got.add(
                    type == 'E'
                            ? body.replaceAll("(?s).*\0C(.{5}).*", "$1")
                            : type == 'K' ? "K" + body : "" + (char) type);
        }
    }

    static String selectQuery(String id, String kind, int wait) {
        return "SELECT blob FROM rows WHERE handle = 'k1' /* id=" + id + ",c=" + kind + ",t=acme,d=" + wait
                + ",cluster=1 */";
    }

    static String insertQuery(String id, int wait) {
        return "INSERT INTO rows (handle, blob) VALUES ('k1', '\\x9f') RETURNING blob /* id=" + id
                + ",c=pickup-booking,t=acme,d=" + wait + ",cluster=1 */";
    }

    @Override
    public void close() {
        net.close();
        loop.stop();
    }
}
