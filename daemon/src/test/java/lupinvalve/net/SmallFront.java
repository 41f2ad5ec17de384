package lupinvalve.net;

import static java.nio.charset.StandardCharsets.ISO_8859_1;

import java.io.Closeable;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.sql.Connection;
import java.sql.DriverManager;
import java.sql.SQLException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import lupinvalve.config.NodeConfig;
import lupinvalve.core.EndpointDiscovery;
import lupinvalve.core.EventLoop;
import lupinvalve.core.Pooler;
import lupinvalve.integration.World;
import lupinvalve.mysql.MysqlFront;
import lupinvalve.pg.PgFront;
import org.apache.mina.core.session.IoSession;

/** A front with a small table of clients, and a core that can be paused. */
final class SmallFront implements Closeable {
    /** Clients that the table holds. */
    static final int MAX_CLIENTS = 4;

    /** The protocol of the front. */
    enum Protocol {
        PG,
        MYSQL
    }

    final Protocol protocol;
    final EventLoop loop = new EventLoop();
    final Net net = new Net(loop);
    final List<Link> links = new CopyOnWriteArrayList<>();
    private final List<Integer> ports = new CopyOnWriteArrayList<>();
    final Runnable closeFront;
    final Net.Listener listener;
    private CountDownLatch resumed;

    SmallFront(Protocol protocol) throws IOException {
        this.protocol = protocol;
        Pooler pooler = new Pooler(
                loop,
                NodeConfig.read(Path.of("example/config.json"), null).site().settings());
        pooler.discovery(new EndpointDiscovery() {
            @Override
            public void subscribe(boolean active) {
                // There are no endpoints.
            }

            @Override
            public void fetch() {
                // There are no endpoints.
            }
        });
        InetSocketAddress any = new InetSocketAddress("127.0.0.1", 0);
        if (protocol == Protocol.PG) {
            PgFront front = new PgFront(pooler, MAX_CLIENTS);
            closeFront = () -> {
                pooler.clientDrain().shutDown();
                front.close();
            };
            listener = net.listen(any, session -> link(session, front.framer(), front));
        } else {
            MysqlFront front = new MysqlFront(pooler, MAX_CLIENTS, "portal", "towel");
            closeFront = () -> {
                pooler.clientDrain().shutDown();
                front.close();
            };
            listener = net.listen(any, session -> link(session, front.framer(), front));
        }
        loop.start();
        loop.post(() -> pooler.start(1, List.of()));
    }

    private Link link(IoSession session, Framer framer, Link.Events events) {
        Link link = new Link(loop, framer, events);
        ports.add(((InetSocketAddress) session.getRemoteAddress()).getPort());
        links.add(link);
        return link;
    }

    /**
     * Bytes of a client that are in this machine's receive buffer and unread, according to the system's table of
     * sockets.
     */
    long bytesWaiting(int client) {
        String addresses = String.format(":%04X .*:%04X ", listener.address().getPort(), ports.get(client));
        Pattern rowPattern = Pattern.compile(addresses + "\\S+ [0-9A-F]+:([0-9A-F]+)");
        for (String table : List.of("/proc/net/tcp", "/proc/net/tcp6")) {
            try {
                Matcher matcher = rowPattern.matcher(Files.readString(Path.of(table)));
                if (matcher.find()) {
                    return Long.parseLong(matcher.group(1), 16);
                }
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
        return 0;
    }

    Connection client() throws SQLException {
        int port = listener.address().getPort();
        return protocol == Protocol.PG
                ? DriverManager.getConnection(
                        "jdbc:postgresql://127.0.0.1:" + port + "/ledger?preferQueryMode=simple"
                                + "&sslmode=disable&assumeMinServerVersion=9.0",
                        "api",
                        "")
                : DriverManager.getConnection(
                        "jdbc:mysql://127.0.0.1:" + port + "/ledger?sslMode=DISABLED" + "&allowPublicKeyRetrieval=true",
                        "portal",
                        "towel");
    }

    /** Fills the table with clients that have each sent a part of a statement, so that none of them is evicted. */
    List<Socket> fillWithBusyClients() throws IOException, InterruptedException {
        List<Socket> busy = new ArrayList<>();
        for (int i = 0; i < MAX_CLIENTS; i++) {
            Socket socket = new Socket("127.0.0.1", listener.address().getPort());
            busy.add(socket);
            int number = i;
            World.await("accepted", () -> links.size() == number + 1);
            byte[] incomplete = "\0\0\0\20\0\3\0\0user\0\0\0\0Q\0\0".getBytes(ISO_8859_1);
            socket.getOutputStream().write(incomplete);
            World.await("read", () -> links.get(number).bytesRead() == incomplete.length);
        }
        return busy;
    }

    /** Pauses the core until it is resumed. */
    void pauseCore() throws InterruptedException {
        resumed = new CountDownLatch(1);
        CountDownLatch reached = new CountDownLatch(1);
        CountDownLatch current = resumed;
        loop.post(() -> {
            reached.countDown();
            try {
                current.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        reached.await();
    }

    /** Posts so much that deadlines expire between what was posted before and what is posted afterwards. */
    void fillQueue() {
        for (int i = 0; i < 130; i++) {
            loop.post(() -> {});
        }
    }

    void resumeCore() {
        resumed.countDown();
    }

    @Override
    public void close() {
        net.close();
        loop.stop();
    }
}
