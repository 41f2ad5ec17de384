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

/** A front with a small table, and its core, which can be held up. */
final class SmallFront implements Closeable {
    /** Clients that the table holds. */
    static final int MOST = 4;

    /** What the front speaks. */
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
    private CountDownLatch held;

    SmallFront(Protocol protocol) throws IOException {
        this.protocol = protocol;
        Pooler pooler = new Pooler(
                loop,
                NodeConfig.read(Path.of("example/config.json"), null).site().settings());
        pooler.discovery(new EndpointDiscovery() {
            @Override
            public void subscribe(boolean active) {
                // No news here.
            }

            @Override
            public void fetch() {
                // No news here.
            }
        });
        InetSocketAddress any = new InetSocketAddress("127.0.0.1", 0);
        if (protocol == Protocol.PG) {
            PgFront front = new PgFront(pooler, MOST);
            closeFront = () -> {
                pooler.clientDrain().shutDown();
                front.close();
            };
            listener = net.listen(any, session -> link(session, front.framer(), front));
        } else {
            MysqlFront front = new MysqlFront(pooler, MOST, "portal", "towel");
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

    /** Bytes of a client that this machine has taken and nobody has read, as the system's own table has them. */
    long bytesWaiting(int client) {
        String ends = String.format(":%04X .*:%04X ", listener.address().getPort(), ports.get(client));
        Pattern row = Pattern.compile(ends + "\\S+ [0-9A-F]+:([0-9A-F]+)");
        for (String table : List.of("/proc/net/tcp", "/proc/net/tcp6")) {
            try {
                Matcher found = row.matcher(Files.readString(Path.of(table)));
                if (found.find()) {
                    return Long.parseLong(found.group(1), 16);
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

    /** Fills the table with clients that have each sent the half of a statement: nobody makes room of them. */
    List<Socket> fillWithBusyClients() throws IOException, InterruptedException {
        List<Socket> busy = new ArrayList<>();
        for (int i = 0; i < MOST; i++) {
            Socket socket = new Socket("127.0.0.1", listener.address().getPort());
            busy.add(socket);
            int number = i;
            World.await("taken", () -> links.size() == number + 1);
            byte[] half = "\0\0\0\20\0\3\0\0user\0\0\0\0Q\0\0".getBytes(ISO_8859_1);
            socket.getOutputStream().write(half);
            World.await("read", () -> links.get(number).read() == half.length);
        }
        return busy;
    }

    /** The core does nothing from now on until it is let go. */
    void hold() throws InterruptedException {
        held = new CountDownLatch(1);
        CountDownLatch reached = new CountDownLatch(1);
        CountDownLatch mine = held;
        loop.post(() -> {
            reached.countDown();
            try {
                mine.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        reached.await();
    }

    /** So much that deadlines come between what was posted before and what is posted behind it. */
    void fill() {
        for (int i = 0; i < 130; i++) {
            loop.post(() -> {});
        }
    }

    void letGo() {
        held.countDown();
    }

    @Override
    public void close() {
        net.close();
        loop.stop();
    }
}
