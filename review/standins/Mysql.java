import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.HashMap;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.atomic.AtomicInteger;

/** A db node and a client that speak MySQL's protocol as docs/mysql.md asks them to; accounts without a password. */
final class Mysql {
    private static final int CAPABILITIES = 1 // LONG_PASSWORD
            | 0x200 // PROTOCOL_41
            | 0x2000 // TRANSACTIONS
            | 0x8000 // SECURE_CONNECTION
            | 0x80000 // PLUGIN_AUTH
            | 0x800000 // SESSION_TRACK
            | 0x1000000 // DEPRECATE_EOF
            | 0x8000000; // QUERY_ATTRIBUTES

    private Mysql() {}

    /** Bytes of a packet being built. */
    static final class Out extends ByteArrayOutputStream {
        Out fixed(long value, int size) {
            for (int i = 0; i < size; i++) {
                write((int) (value >> 8 * i));
            }
            return this;
        }

        Out raw(byte[] bytes) {
            write(bytes, 0, bytes.length);
            return this;
        }

        Out lengthEncodedInt(long value) {
            return value < 251 ? fixed(value, 1) : value < 65536 ? fixed(252, 1).fixed(value, 2) : fixed(253, 1).fixed(value, 3);
        }

        Out text(String text) {
            byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
            return lengthEncodedInt(bytes.length).raw(bytes);
        }

        Out zeroTerminated(String text) {
            return raw(text.getBytes(StandardCharsets.UTF_8)).fixed(0, 1);
        }

        byte[] packet(int sequence) {
            return new Out().fixed(size(), 3).fixed(sequence, 1).raw(toByteArray()).toByteArray();
        }
    }

    /** Reads the fields of a packet. */
    static final class In {
        private final byte[] bytes;
        private int at;

        In(byte[] bytes) {
            this.bytes = bytes;
        }

        long fixed(int size) {
            long value = 0;
            for (int i = 0; i < size; i++) {
                value |= (bytes[at++] & 255L) << 8 * i;
            }
            return value;
        }

        byte[] raw(int size) {
            byte[] part = java.util.Arrays.copyOfRange(bytes, at, at + size);
            at += size;
            return part;
        }

        byte[] rest() {
            return raw(bytes.length - at);
        }

        long lengthEncodedInt() {
            long first = fixed(1);
            return first < 251 ? first : first == 252 ? fixed(2) : first == 253 ? fixed(3) : fixed(8);
        }

        String text() {
            return new String(raw((int) lengthEncodedInt()), StandardCharsets.UTF_8);
        }
    }

    /** The next packet's payload. */
    private static byte[] read(DataInputStream in) throws IOException {
        int length = in.readUnsignedByte() | in.readUnsignedByte() << 8 | in.readUnsignedByte() << 16;
        in.readUnsignedByte();
        byte[] payload = new byte[length];
        in.readFully(payload);
        return payload;
    }

    private static byte[] handshake() {
        return new Out()
                .fixed(10, 1)
                .zeroTerminated("8.0.30")
                .fixed(7, 4)
                .raw("abcdefgh".getBytes(StandardCharsets.US_ASCII))
                .fixed(0, 1)
                .fixed(CAPABILITIES & 0xFFFF, 2)
                .fixed(45, 1)
                .fixed(2, 2)
                .fixed(CAPABILITIES >>> 16, 2)
                .fixed(21, 1)
                .raw(new byte[10])
                .raw("ijklmnopqrst".getBytes(StandardCharsets.US_ASCII))
                .fixed(0, 1)
                .zeroTerminated("mysql_native_password")
                .packet(0);
    }

    private static byte[] ok(boolean primary, long position, int sequence) {
        return ok(primary, position, sequence, 0);
    }

    private static byte[] ok(boolean primary, long position, int sequence, int header) {
        boolean tracked = position > 0;
        Out out = new Out().fixed(header, 1).fixed(1, 1).fixed(0, 1).fixed(tracked ? 0x4002 : 2, 2).fixed(0, 2);
        if (tracked) {
            Out states = new Out();
            for (String[] variable : new String[][] {
                {"as_of", Long.toString(position)}, {"rank", primary ? "source" : "copy"}
            }) {
                byte[] entry = new Out().text(variable[0]).text(variable[1]).toByteArray();
                states.fixed(0, 1).lengthEncodedInt(entry.length).raw(entry);
            }
            out.text("").lengthEncodedInt(states.size()).raw(states.toByteArray());
        }
        return out.packet(sequence);
    }

    private static byte[] error(int code, String state, String text) {
        return new Out()
                .fixed(255, 1)
                .fixed(code, 2)
                .raw(("#" + state + text).getBytes(StandardCharsets.UTF_8))
                .packet(1);
    }

    /** One execution of a prepared statement: its first value, the bytes of its long value, its attributes. */
    record Run(long atMillis, String node, String handle, int longBytes, Map<String, String> attributes) {}

    /** One read by a prepared statement: when its last byte came, and the position that it is answered from. */
    record Read(String id, String node, long arrivedAtUnixMillis, long position) {}

    /** A db node. It takes prepared statements of two values, and executes each after a delay. */
    static final class Node {
        final String name;
        final int port;
        final ConcurrentLinkedDeque<Run> runs = new ConcurrentLinkedDeque<>();
        final AtomicInteger queries = new AtomicInteger();
        java.util.function.Consumer<Read> onRead = read -> {};
        private final boolean primary;
        private final int delayMillis;
        /** What a query gets as its value. */
        private final byte[] value;
        private final Lab.Applied applied;
        /** Whether executions of prepared statements are reads. */
        private final boolean reads;

        Node(String name, boolean primary, int delayMillis) throws IOException {
            this(name, primary, delayMillis, new byte[10]);
        }

        Node(String name, boolean primary, int delayMillis, byte[] value) throws IOException {
            this(name, primary, delayMillis, value, new Lab.Applied(0, 0), false);
        }

        Node(String name, boolean primary, int delayMillis, byte[] value, Lab.Applied applied, boolean reads)
                throws IOException {
            this.applied = applied;
            this.reads = reads;
            this.name = name;
            this.primary = primary;
            this.delayMillis = delayMillis;
            this.value = value;
            port = Lab.serve(0, this::speak).getLocalPort();
        }

        private byte[] resultSet() {
            return resultSet(new Out().lengthEncodedInt(value.length).raw(value).packet(3));
        }

        /** The row of a prepared statement: a zero byte, the map of NULLs, the value. */
        private byte[] binaryResultSet() {
            return resultSet(new Out().fixed(0, 2).lengthEncodedInt(value.length).raw(value).packet(3));
        }

        private byte[] resultSet(byte[] row) {
            return new Out()
                    .raw(new Out().fixed(1, 1).packet(1))
                    .raw(new Out()
                            .text("def").text("").text("rows").text("rows").text("blob").text("blob")
                            .fixed(12, 1).fixed(45, 2).fixed(1 << 24, 4).fixed(0xFD, 1).fixed(0, 2).fixed(0, 3)
                            .packet(2))
                    .raw(row)
                    .raw(ok(primary, applied.position(), 4, 0xFE))
                    .toByteArray();
        }

        /** Writes some 64 KB each millisecond. */
        private static void writeInPieces(OutputStream out, byte[] bytes) throws IOException {
            int pieceBytes = 64 << 10;
            for (int at = 0; at < bytes.length; at += pieceBytes) {
                out.write(bytes, at, Math.min(pieceBytes, bytes.length - at));
                if (bytes.length > pieceBytes) {
                    Lab.sleep(1);
                }
            }
        }

        private void speak(Socket socket) throws IOException {
            DataInputStream in = new DataInputStream(new BufferedInputStream(socket.getInputStream()));
            OutputStream out = socket.getOutputStream();
            out.write(handshake());
            read(in);
            out.write(ok(primary, 0, 2));
            Map<Long, Integer> longBytes = new HashMap<>();
            long lastId = 0;
            while (true) {
                In command = new In(read(in));
                long arrivedAt = System.currentTimeMillis();
                applied.await();
                switch ((int) command.fixed(1)) {
                    case 1 -> {
                        return;
                    }
                    case 14 -> out.write(ok(primary, applied.position(), 1));
                    case 3 -> {
                        queries.incrementAndGet();
                        Lab.sleep(delayMillis);
                        writeInPieces(out, resultSet());
                    }
                    case 22 -> {
                        Out prepared = new Out().fixed(0, 1).fixed(++lastId, 4).fixed(0, 2).fixed(2, 2).fixed(0, 3);
                        out.write(prepared.packet(1));
                        for (int i = 0; i < 2; i++) {
                            out.write(new Out()
                                    .text("def").text("").text("").text("").text("?").text("")
                                    .fixed(12, 1).fixed(63, 2).fixed(0, 4).fixed(0xFD, 1).fixed(128, 2).fixed(0, 3)
                                    .packet(2 + i));
                        }
                    }
                    case 24 -> {
                        long id = command.fixed(4);
                        command.fixed(2);
                        longBytes.merge(id, command.rest().length, Integer::sum);
                    }
                    case 25 -> command.fixed(4);
                    case 23 -> {
                        long id = command.fixed(4);
                        command.fixed(5);
                        int count = (int) command.lengthEncodedInt();
                        command.raw((count + 7) / 8);
                        command.fixed(1);
                        String[] names = new String[count];
                        for (int i = 0; i < count; i++) {
                            command.fixed(2);
                            names[i] = command.text();
                        }
                        int sent = longBytes.getOrDefault(id, 0);
                        String handle = command.text();
                        if (sent == 0) {
                            command.text();
                        }
                        Map<String, String> attributes = new LinkedHashMap<>();
                        for (int i = 2; i < count; i++) {
                            attributes.put(names[i], command.text());
                        }
                        longBytes.remove(id);
                        if (reads) {
                            onRead.accept(new Read(attributes.get("id"), name, arrivedAt, applied.position()));
                            Lab.sleep(delayMillis);
                            out.write(binaryResultSet());
                            continue;
                        }
                        if (!primary) {
                            out.write(error(1290, "HY000", "read only"));
                            continue;
                        }
                        Lab.sleep(delayMillis);
                        runs.add(new Run(Lab.millis(), name, handle, sent, attributes));
                        Lab.log("%s ran booking %s, request %s, value of %d bytes", name, handle,
                                attributes.get("id"), sent);
                        out.write(ok(primary, applied.position(), 1));
                    }
                    default -> out.write(error(1047, "08S01", "unknown command"));
                }
            }
        }
    }

    /** A client. Commands may be written ahead; answers are read in order, one for each command that has one. */
    static final class Client implements Closeable {
        final Socket socket;
        private final DataInputStream in;
        private final OutputStream out;

        Client(int port, String user) throws IOException {
            socket = new Socket(Lab.LOOPBACK, port);
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(8000);
            in = new DataInputStream(new BufferedInputStream(socket.getInputStream()));
            out = socket.getOutputStream();
            read(in);
            out.write(new Out()
                    .fixed(CAPABILITIES, 4)
                    .fixed(1 << 24, 4)
                    .fixed(45, 1)
                    .raw(new byte[23])
                    .zeroTerminated(user)
                    .fixed(0, 1)
                    .zeroTerminated("mysql_native_password")
                    .packet(1));
            String login = answer();
            if (!login.equals("ok")) {
                throw new IOException("login: " + login);
            }
        }

        void write(byte[] bytes) throws IOException {
            out.write(bytes);
            out.flush();
        }

        /** Prepares a statement of two values and returns its number. */
        long prepare(String statement) throws IOException {
            write(new Out().fixed(22, 1).raw(statement.getBytes(StandardCharsets.UTF_8)).packet(0));
            In answer = new In(read(in));
            if (answer.fixed(1) != 0) {
                throw new IOException("prepare refused");
            }
            long id = answer.fixed(4);
            answer.fixed(2);
            for (long params = answer.fixed(2); params > 0; params--) {
                read(in);
            }
            return id;
        }

        /** COM_STMT_SEND_LONG_DATA for the second value; the protocol gives it no answer. */
        static byte[] longData(long statement, byte[] piece) {
            return new Out().fixed(24, 1).fixed(statement, 4).fixed(1, 2).raw(piece).packet(0);
        }

        /** COM_STMT_EXECUTE: the first value is a text, the second came by COM_STMT_SEND_LONG_DATA. */
        static byte[] execute(long statement, String handle, Map<String, String> attributes) {
            int count = 2 + attributes.size();
            Out packet = new Out()
                    .fixed(23, 1)
                    .fixed(statement, 4)
                    .fixed(8, 1)
                    .fixed(1, 4)
                    .lengthEncodedInt(count)
                    .raw(new byte[(count + 7) / 8])
                    .fixed(1, 1)
                    .fixed(254, 2)
                    .text("")
                    .fixed(252, 2)
                    .text("");
            attributes.keySet().forEach(name -> packet.fixed(254, 2).text(name));
            packet.text(handle);
            attributes.values().forEach(packet::text);
            return packet.packet(0);
        }

        /** Sends a query without attributes. */
        void query(String statement) throws IOException {
            write(new Out()
                    .fixed(3, 1)
                    .fixed(0, 1)
                    .fixed(1, 1)
                    .raw(statement.getBytes(StandardCharsets.UTF_8))
                    .packet(0));
        }

        /** COM_STMT_EXECUTE with two texts. */
        static byte[] execute(long statement, String first, String second, Map<String, String> attributes) {
            int count = 2 + attributes.size();
            Out packet = new Out()
                    .fixed(23, 1)
                    .fixed(statement, 4)
                    .fixed(8, 1)
                    .fixed(1, 4)
                    .lengthEncodedInt(count)
                    .raw(new byte[(count + 7) / 8])
                    .fixed(1, 1)
                    .fixed(254, 2)
                    .text("")
                    .fixed(254, 2)
                    .text("");
            attributes.keySet().forEach(name -> packet.fixed(254, 2).text(name));
            packet.text(first).text(second);
            attributes.values().forEach(packet::text);
            return packet.packet(0);
        }

        /** The answer to a query: "served N bytes", or an error's number and text. */
        String rows() throws IOException {
            In first = new In(read(in));
            if (first.fixed(1) == 255) {
                long code = first.fixed(2);
                first.raw(6);
                return code + " " + new String(first.rest(), StandardCharsets.UTF_8);
            }
            read(in);
            int bytes = 0;
            for (byte[] packet = read(in); packet[0] != (byte) 0xFE || packet.length > 1000; packet = read(in)) {
                bytes += packet.length;
            }
            return "served " + bytes + " bytes";
        }

        /** The answer to one command: "ok", or an error's number and text. */
        String answer() throws IOException {
            In answer = new In(read(in));
            long first = answer.fixed(1);
            if (first == 255) {
                long code = answer.fixed(2);
                answer.raw(6);
                return code + " " + new String(answer.rest(), StandardCharsets.UTF_8);
            }
            return first == 0 ? "ok" : "packet " + first;
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }
}
