package lupinvalve.drills;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.BufferedOutputStream;
import java.io.Closeable;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.math.BigDecimal;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * Stand-in db sets of a primary and two replicas each, which speak PostgreSQL's protocol and report what they ran to a
 * listener. A replica lags its primary by some milliseconds; one second after a primary died a replica is promoted.
 */
public final class DbNodes implements Closeable {
    private static final long LAG_MILLIS = 12;
    private static final long SUCCESSION_MILLIS = 1_000;

    /** Notified of the statements of poolers, on the thread of the connection that they came on. */
    public interface Listener {
        /** A db node ran a statement whose comment has these fields. */
        void ran(DbNode node, String pooler, Map<String, String> fields, boolean write);

        /** A statement arrived and was not handled yet; its first byte came at a Unix time in milliseconds. */
        default void arrived(DbNode node, String pooler, Map<String, String> fields, long at) {}
    }

    /** One stand-in, with a port for each pooler, by which it knows the sender of a statement. */
    public final class DbNode {
        public final String id;
        public final int group;
        public final int zone;
        private final Map<String, ServerSocket> ports = new HashMap<>();
        private final List<Socket> sockets = new CopyOnWriteArrayList<>();
        private volatile boolean primary;
        private volatile boolean dead;
        private volatile boolean paused;
        private volatile long slowMillis;
        private volatile long startedAt;

        private DbNode(int number) {
            id = "n" + number;
            group = number / Scenario.NODES_PER_GROUP;
            zone = number % 2;
            primary = number % Scenario.NODES_PER_GROUP == 0;
        }

        int port(String pooler) throws IOException {
            ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
            ports.put(pooler, server);
            Threads.start(id, () -> {
                while (!server.isClosed()) {
                    Socket socket = server.accept();
                    if (dead) {
                        socket.close();
                        continue;
                    }
                    // With Nagle's algorithm the second packet of an answer would wait 40 ms for the delayed ACK of the
                    // first.
                    socket.setTcpNoDelay(true);
                    sockets.add(socket);
                    Threads.start(id, () -> {
                        try (socket) {
                            serve(socket, pooler);
                        } finally {
                            sockets.remove(socket);
                        }
                    });
                }
            });
            return server.getLocalPort();
        }

        /** The position up to which all commits are applied, as a Unix time in milliseconds. */
        private long position() {
            long now = System.currentTimeMillis();
            return primary ? now : now - LAG_MILLIS;
        }

        private String rank() {
            return primary ? "source" : "copy";
        }

        /** When the db node was last started, as a Unix time in milliseconds; 0 where it was not restarted. */
        long startedAt() {
            return startedAt;
        }

        boolean isDead() {
            return dead;
        }

        private void delay() throws InterruptedException {
            Thread.sleep(1 + slowMillis);
            while (paused && !dead) {
                Thread.sleep(5);
            }
        }

        private void serve(Socket socket, String pooler) throws IOException, InterruptedException {
            DataInputStream in = new DataInputStream(socket.getInputStream());
            DataOutputStream out = new DataOutputStream(new BufferedOutputStream(socket.getOutputStream()));
            in.skipNBytes(in.readInt() - 4L);
            writeMessage(out, 'R', new byte[4]);
            writeReady(out);
            while (in.read() == 'Q') {
                long arrivedAt = System.currentTimeMillis();
                byte[] body = in.readNBytes(in.readInt() - 4);
                String statement = new String(body, 0, body.length - 1, UTF_8);
                if (statement.startsWith("SHOW vitals")) {
                    writeRow(
                            out,
                            "x0=" + BigDecimal.valueOf(position(), 3).toPlainString() + ",x1=" + (primary ? 1 : 0));
                    writeReady(out);
                    continue;
                }
                Map<String, String> fields = fields(statement);
                boolean write = statement.startsWith("INSERT");
                listener.arrived(this, pooler, fields, arrivedAt);
                delay();
                String code = null;
                long position;
                // One lock for all db nodes: the positions of writes and of reads are taken in one total order.
                synchronized (DbNodes.this) {
                    position = position();
                    long after = Long.parseLong(fields.getOrDefault("after", "0"));
                    if (dead) {
                        return;
                    } else if (write && !primary) {
                        code = "25006";
                    } else if (!write && position < after) {
                        code = "72000";
                    } else {
                        listener.ran(this, pooler, fields, write);
                    }
                }
                if (code == null) {
                    writeRow(out, LongValues.value(position, statement));
                } else {
                    writeMessage(out, 'E', ("SERROR\0C" + code + "\0Mno\0\0").getBytes(UTF_8));
                }
                writeMessage(out, 'S', ("as_of\0" + position + "\0").getBytes(UTF_8));
                writeMessage(out, 'S', ("rank\0" + rank() + "\0").getBytes(UTF_8));
                writeReady(out);
            }
        }

        /** Breaks all connections and closes new ones at once; a replica is promoted where this was the primary. */
        void kill() throws IOException {
            synchronized (DbNodes.this) {
                dead = true;
            }
            for (Socket socket : sockets) {
                socket.close();
            }
            if (primary) {
                Threads.start("succession", () -> {
                    Thread.sleep(SUCCESSION_MILLIS);
                    promoteSuccessor(this);
                });
            }
        }

        void restart() {
            synchronized (DbNodes.this) {
                startedAt = System.currentTimeMillis();
                dead = false;
            }
        }

        void pause(boolean now) {
            paused = now;
        }

        void slow(long millis) {
            slowMillis = millis;
        }
    }

    private final List<DbNode> nodes = new ArrayList<>();
    private final Listener listener;

    DbNodes(int groups, Listener listener) {
        this.listener = listener;
        for (int i = 0; i < groups * Scenario.NODES_PER_GROUP; i++) {
            nodes.add(new DbNode(i));
        }
    }

    List<DbNode> all() {
        return nodes;
    }

    DbNode get(String id) {
        return nodes.get(Integer.parseInt(id.substring(1)));
    }

    /** Promotes a live db node of the set, if there is one and the old primary is still dead. */
    private synchronized void promoteSuccessor(DbNode oldPrimary) {
        if (!oldPrimary.dead) {
            return;
        }
        nodes.stream()
                .filter(n -> n.group == oldPrimary.group && !n.dead)
                .findFirst()
                .ifPresent(newPrimary -> {
                    oldPrimary.primary = false;
                    newPrimary.primary = true;
                });
    }

    /** The fields of the comment at the end of a statement, by name. */
    static Map<String, String> fields(String statement) {
        Map<String, String> fields = new HashMap<>();
        int from = statement.lastIndexOf("/*");
        int to = statement.lastIndexOf("*/");
        if (from >= 0 && to > from) {
            for (String pair : statement.substring(from + 2, to).split(",")) {
                String[] parts = pair.split("=", 2);
                fields.put(parts[0].strip(), parts.length > 1 ? parts[1].strip() : "");
            }
        }
        return fields;
    }

    private static void writeRow(DataOutputStream out, String value) throws IOException {
        writeMessage(out, 'T', "\0\1blob\0\0\0\0\0\0\0\0\0\0\31\377\377\377\377\377\377\0\0".getBytes(ISO_8859_1));
        byte[] bytes = value.getBytes(UTF_8);
        out.write('D');
        out.writeInt(10 + bytes.length);
        out.writeShort(1);
        out.writeInt(bytes.length);
        out.write(bytes);
        writeMessage(out, 'C', "SELECT 1\0".getBytes(UTF_8));
    }

    private static void writeReady(DataOutputStream out) throws IOException {
        writeMessage(out, 'Z', new byte[] {'I'});
        out.flush();
    }

    private static void writeMessage(DataOutputStream out, char type, byte[] body) throws IOException {
        out.write(type);
        out.writeInt(body.length + 4);
        out.write(body);
    }

    @Override
    public void close() throws IOException {
        for (DbNode node : nodes) {
            node.dead = true;
            for (ServerSocket port : node.ports.values()) {
                port.close();
            }
            for (Socket socket : node.sockets) {
                socket.close();
            }
        }
    }
}
