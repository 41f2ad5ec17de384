import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** MySQL's protocol for the stand-ins: the listener of a db node, and a client. Text protocol, accounts with no password. */
final class MysqlKit {
    private static final int CAPABILITIES =
            1 | 2 | 0x200 | 0x2000 | 0x8000 | 0x80000 | 0x800000 | 0x1000000; // ..., SESSION_TRACK, DEPRECATE_EOF
    private static final Pattern TEXT = Pattern.compile("'([^']*)'|\"([^\"]*)\"");

    private MysqlKit() {}

    /** Bytes of one packet. */
    private static final class Out {
        private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();

        Out int1(int value) {
            bytes.write(value);
            return this;
        }

        Out fixed(long value, int size) {
            for (int i = 0; i < size; i++) {
                bytes.write((int) (value >> 8 * i));
            }
            return this;
        }

        Out raw(byte[] value) {
            bytes.writeBytes(value);
            return this;
        }

        Out nul(String text) {
            return raw(text.getBytes(StandardCharsets.UTF_8)).int1(0);
        }

        /** A length-encoded string of under 250 bytes. */
        Out text(String text) {
            byte[] value = text.getBytes(StandardCharsets.UTF_8);
            return int1(value.length).raw(value);
        }

        void send(OutputStream to, int sequence) throws IOException {
            byte[] body = bytes.toByteArray();
            byte[] packet = new Out().fixed(body.length, 3).int1(sequence).raw(body).bytes.toByteArray();
            to.write(packet);
            to.flush();
        }
    }

    private static byte[] packet(InputStream in) throws IOException {
        byte[] head = in.readNBytes(4);
        if (head.length < 4) {
            throw new EOFException();
        }
        return in.readNBytes((head[0] & 255) | (head[1] & 255) << 8 | (head[2] & 255) << 16);
    }

    /** A quoted text of a statement, by its number from 0. */
    static String quoted(String sql, int number) {
        Matcher matcher = TEXT.matcher(sql);
        for (int i = 0; matcher.find(); i++) {
            if (i == number) {
                return matcher.group(1) != null ? matcher.group(1) : matcher.group(2);
            }
        }
        return "";
    }

    /** Opens a MySQL listener for a db node; returns its port. Reads are answered from the data it has. */
    static int listen(Kit.PgNode node) throws IOException {
        ServerSocket server = new ServerSocket(0, 100, InetAddress.getByName(Kit.HOST));
        Kit.accept(server, socket -> serve(node, socket));
        return server.getLocalPort();
    }

    private static void serve(Kit.PgNode node, Socket socket) throws IOException {
        InputStream in = new DataInputStream(socket.getInputStream());
        OutputStream out = socket.getOutputStream();
        new Out().int1(10).nul("8.0.30").fixed(1, 4).raw("abcdefgh".getBytes(StandardCharsets.US_ASCII)).int1(0)
                .fixed(CAPABILITIES & 0xFFFF, 2).int1(45).fixed(2, 2).fixed(CAPABILITIES >> 16, 2).int1(21)
                .raw(new byte[10]).raw("ijklmnopqrst".getBytes(StandardCharsets.US_ASCII)).int1(0)
                .nul("mysql_native_password").send(out, 0);
        packet(in);
        new Out().int1(0).int1(0).int1(0).fixed(2, 2).fixed(0, 2).send(out, 2);
        while (true) {
            byte[] command = packet(in);
            if (command[0] == 14) {
                ok(node, out, 0, 1, System.currentTimeMillis() - node.lagMillis);
                continue;
            }
            if (command[0] != 3) {
                return;
            }
            String sql = new String(command, 1, command.length - 1, StandardCharsets.UTF_8);
            node.arrivals.add(new Kit.Arrival(System.currentTimeMillis(), node.id, sql));
            Kit.detail("%s got: %s", node.id, sql);
            long asOf = System.currentTimeMillis() - node.lagMillis;
            if (sql.startsWith("REPLACE") && !node.primary) {
                new Out().int1(0xFF).fixed(1290, 2).raw("#HY000read only".getBytes(StandardCharsets.US_ASCII)).send(out, 1);
            } else if (sql.startsWith("REPLACE")) {
                ok(node, out, 0, 1, node.ledger.commit(quoted(sql, 0), quoted(sql, 1)));
            } else {
                new Out().int1(1).send(out, 1);
                new Out().text("def").text("").text("").text("").text("blob").text("").int1(12).fixed(45, 2)
                        .fixed(1024, 4).int1(0xFD).fixed(0, 2).int1(0).fixed(0, 2).send(out, 2);
                new Out().text(node.ledger.read(quoted(sql, 0), asOf)).send(out, 3);
                ok(node, out, 0xFE, 4, asOf);
            }
        }
    }

    /** An OK packet with the tracked variables as_of and rank. */
    private static void ok(Kit.PgNode node, OutputStream out, int header, int sequence, long asOf) throws IOException {
        byte[] first = new Out().text("as_of").text(Long.toString(asOf)).bytes.toByteArray();
        byte[] second = new Out().text("rank").text(node.primary ? "source" : "copy").bytes.toByteArray();
        byte[] states = new Out().int1(0).int1(first.length).raw(first).int1(0).int1(second.length).raw(second)
                .bytes.toByteArray();
        new Out().int1(header).int1(header == 0 ? 1 : 0).int1(0).fixed(2 | 0x4000, 2).fixed(0, 2).text("")
                .int1(states.length).raw(states).send(out, sequence);
    }

    /** A client of the MySQL front. */
    static final class Client implements AutoCloseable {
        private final Socket socket = new Socket();
        private final InputStream in;
        private final OutputStream out;

        Client(int port, String user) throws IOException {
            socket.connect(new InetSocketAddress(Kit.HOST, port), 1000);
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(5000);
            in = socket.getInputStream();
            out = socket.getOutputStream();
            packet(in);
            new Out().fixed(CAPABILITIES, 4).fixed(1 << 24, 4).int1(45).raw(new byte[23]).nul(user).int1(0)
                    .nul("mysql_native_password").send(out, 1);
            byte[] answer = packet(in);
            if (answer[0] != 0) {
                throw new IOException("not let in: " + new String(answer, StandardCharsets.UTF_8));
            }
        }

        Kit.Answer query(String sql) throws IOException {
            Kit.detail("client %d sent: %s", socket.getLocalPort(), sql);
            Kit.Answer answer = send(sql);
            Kit.detail("client %d was answered: %s %s", socket.getLocalPort(), answer.kind(), answer.value());
            return answer;
        }

        private Kit.Answer send(String sql) throws IOException {
            new Out().int1(3).raw(sql.getBytes(StandardCharsets.UTF_8)).send(out, 0);
            byte[] first = packet(in);
            if ((first[0] & 255) == 0xFF) {
                int code = (first[1] & 255) | (first[2] & 255) << 8;
                String text = new String(first, 3, first.length - 3, StandardCharsets.UTF_8);
                return new Kit.Answer(code == 1226 ? "refused" : "failed", code + " " + text);
            }
            if (first[0] == 0) {
                return new Kit.Answer("served", "");
            }
            packet(in);
            String value = "";
            for (byte[] row = packet(in); (row[0] & 255) != 0xFE; row = packet(in)) {
                if ((row[0] & 255) == 0xFF) {
                    return new Kit.Answer("failed", "error behind rows");
                }
                value = new String(row, 1, row[0] & 255, StandardCharsets.UTF_8);
            }
            return new Kit.Answer("served", value);
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }
}
