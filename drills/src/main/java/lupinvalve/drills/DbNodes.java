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
 * Stand-in db sets of a primary and two replicas, which speak PostgreSQL's protocol and tell the book what they ran. A
 * replica is some milliseconds behind its primary; a primary that dies has a successor after a second.
 */
public final class DbNodes implements Closeable {
    private static final long LAG = 12, SUCCESSION = 1_000;

    /** Told of each statement that was run. */
    public interface Seen {
        void ran(DbNode node, String pooler, Map<String, String> fields, boolean write);

        /** The same as it came, before anything was made of it; its first byte at a Unix time in milliseconds. */
        default void came(DbNode node, String pooler, Map<String, String> fields, long at) {}
    }

    /** One stand-in: a port for each pooler, so that it is known who asks. */
    public final class DbNode {
        public final String id;
        public final int group, zone;
        private final Map<String, ServerSocket> ports = new HashMap<>();
        private final List<Socket> sockets = new CopyOnWriteArrayList<>();
        private volatile boolean primary, dead, paused;
        private volatile long slowMillis;
        private volatile long startedAt;

        private DbNode(int number) {
            id = "n" + number;
            group = number / Scenario.MEMBERS;
            zone = number % 2;
            primary = number % Scenario.MEMBERS == 0;
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
                    // Else an answer's second packet waits 40 ms for the first to be acknowledged.
                    socket.setTcpNoDelay(true);
                    sockets.add(socket);
                    Threads.start(id, () -> {
                        try (socket) {
                            speak(socket, pooler);
                        } finally {
                            sockets.remove(socket);
                        }
                    });
                }
            });
            return server.getLocalPort();
        }

        /** Up to which commit it has applied all, as a Unix time in milliseconds. */
        private long position() {
            long now = System.currentTimeMillis();
            return primary ? now : now - LAG;
        }

        private String rank() {
            return primary ? "source" : "copy";
        }

        /** When its last start was, as a Unix time in milliseconds, or 0 for long ago. */
        long startedAt() {
            return startedAt;
        }

        boolean isDead() {
            return dead;
        }

        private void waits() throws InterruptedException {
            Thread.sleep(1 + slowMillis);
            while (paused && !dead) {
                Thread.sleep(5);
            }
        }

        private void speak(Socket socket, String pooler) throws IOException, InterruptedException {
            DataInputStream in = new DataInputStream(socket.getInputStream());
            DataOutputStream out = new DataOutputStream(new BufferedOutputStream(socket.getOutputStream()));
            in.skipNBytes(in.readInt() - 4L);
            message(out, 'R', new byte[4]);
            ready(out);
            while (in.read() == 'Q') {
                long cameAt = System.currentTimeMillis();
                byte[] body = in.readNBytes(in.readInt() - 4);
                String statement = new String(body, 0, body.length - 1, UTF_8);
                if (statement.startsWith("SHOW vitals")) {
                    row(out, "x0=" + BigDecimal.valueOf(position(), 3).toPlainString() + ",x1=" + (primary ? 1 : 0));
                    ready(out);
                    continue;
                }
                Map<String, String> fields = fields(statement);
                boolean write = statement.startsWith("INSERT");
                told.came(this, pooler, fields, cameAt);
                waits();
                String code = null;
                long seen;
                // What a write is told and what a read sees have one order in the whole of the rig.
                synchronized (DbNodes.this) {
                    seen = position();
                    long after = Long.parseLong(fields.getOrDefault("after", "0"));
                    if (dead) {
                        return;
                    } else if (write && !primary) {
                        code = "25006";
                    } else if (!write && seen < after) {
                        code = "72000";
                    } else {
                        told.ran(this, pooler, fields, write);
                    }
                }
                if (code == null) {
                    row(out, LongValues.value(seen, statement));
                } else {
                    message(out, 'E', ("SERROR\0C" + code + "\0Mno\0\0").getBytes(UTF_8));
                }
                message(out, 'S', ("as_of\0" + seen + "\0").getBytes(UTF_8));
                message(out, 'S', ("rank\0" + rank() + "\0").getBytes(UTF_8));
                ready(out);
            }
        }

        /** Dies; its connections break and new ones come to nothing. */
        void kill() throws IOException {
            synchronized (DbNodes.this) {
                dead = true;
            }
            for (Socket socket : sockets) {
                socket.close();
            }
            if (primary) {
                Threads.start("succession", () -> {
                    Thread.sleep(SUCCESSION);
                    succeed(this);
                });
            }
        }

        void back() {
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
    private final Seen told;

    DbNodes(int groups, Seen told) {
        this.told = told;
        for (int i = 0; i < groups * Scenario.MEMBERS; i++) {
            nodes.add(new DbNode(i));
        }
    }

    List<DbNode> all() {
        return nodes;
    }

    DbNode get(String id) {
        return nodes.get(Integer.parseInt(id.substring(1)));
    }

    /** The next primary of the set takes over, if the old one is still gone and another lives. */
    private synchronized void succeed(DbNode old) {
        if (!old.dead) {
            return;
        }
        nodes.stream().filter(n -> n.group == old.group && !n.dead).findFirst().ifPresent(next -> {
            old.primary = false;
            next.primary = true;
        });
    }

    /** Names and values of a statement's comment. */
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

    private static void row(DataOutputStream out, String value) throws IOException {
        message(out, 'T', "\0\1blob\0\0\0\0\0\0\0\0\0\0\31\377\377\377\377\377\377\0\0".getBytes(ISO_8859_1));
        byte[] bytes = value.getBytes(UTF_8);
        out.write('D');
        out.writeInt(10 + bytes.length);
        out.writeShort(1);
        out.writeInt(bytes.length);
        out.write(bytes);
        message(out, 'C', "SELECT 1\0".getBytes(UTF_8));
    }

    private static void ready(DataOutputStream out) throws IOException {
        message(out, 'Z', new byte[] {'I'});
        out.flush();
    }

    private static void message(DataOutputStream out, char type, byte[] body) throws IOException {
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
