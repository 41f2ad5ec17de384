package lupinvalve.drills;

import static java.nio.charset.StandardCharsets.ISO_8859_1;

import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.atomic.AtomicLong;

/** What the flooding clients of a {@link FloodDrill} send, and how they use their connections. Does no I/O. */
public enum FloodKind {
    /** No flood: the control. */
    NONE(Front.PG, Use.STAY),
    /** Empty statements. */
    EMPTY(Front.PG, Use.STAY),
    /** Empty statements whose answers are not read. */
    UNREAD(Front.PG, Use.STAY_UNREAD),
    /** Requests for TLS before the startup message. */
    TLS(Front.PG, Use.STAY_WITHOUT_LOGIN),
    /** Sync messages. */
    SYNC(Front.PG, Use.STAY),
    /** SET statements. */
    SET(Front.PG, Use.STAY),
    /** Statements without fields. */
    UNSOUND(Front.PG, Use.STAY),
    /** Valid reads, each with a new id. */
    SOUND(Front.PG, Use.STAY),
    /** Valid reads of ever new sessions, as many as the client has answers for. */
    PACED(Front.PG, Use.IN_TURNS),
    /** Valid reads that all have one id. */
    SAME_ID(Front.PG, Use.STAY),
    /** Statements with very many short fields. */
    FIELDS(Front.PG, Use.STAY),
    /** Valid reads with very many short fields. */
    FIELDS_SOUND(Front.PG, Use.STAY),
    /** Half of a large statement, then nothing. */
    HALF(Front.PG, Use.WRITE_AND_STAY),
    /** A large statement, written slowly. */
    SLOW_WRITE(Front.PG, Use.STAY_SLOW_WRITING),
    /** Valid reads of long values, sixteen at a time, read slowly. */
    SLOW_READ(Front.PG, Use.STAY_SLOW_READING),
    /** Large statements without fields. */
    LARGE(Front.PG, Use.STAY),
    /** Empty statements, written byte by byte. */
    TRICKLE(Front.PG, Use.STAY_BYTEWISE),
    /** Ever new connections that log in, send an empty statement and read its answer. */
    CONNECT(Front.PG, Use.COME_AND_GO),
    /** Ever new connections that send nothing. */
    KNOCK(Front.PG, Use.COME_AND_LEAVE),
    /** Ever new connections that send many valid reads and leave at once. */
    LEAVE(Front.PG, Use.COME_AND_LEAVE),
    /** Ever new connections with a message of no known type. */
    MALFORMED(Front.PG, Use.COME_AND_GO),
    /** Ever new connections with an unsupported message. */
    EXTENDED(Front.PG, Use.COME_AND_GO),
    /** Ever new connections with a cancel request. */
    CANCEL(Front.PG, Use.COME_AND_GO),
    /** COM_PING. */
    MYSQL_PING(Front.MYSQL, Use.STAY),
    /** Empty COM_QUERY. */
    MYSQL_EMPTY(Front.MYSQL, Use.STAY),
    /** COM_QUERY without fields. */
    MYSQL_UNSOUND(Front.MYSQL, Use.STAY),
    /** Queries that look for a long time like one for system variables. */
    MYSQL_VARIABLES(Front.MYSQL, Use.STAY),
    /** COM_STMT_PREPARE, ever new ones. */
    MYSQL_PREPARE(Front.MYSQL, Use.STAY),
    /** COM_STMT_SEND_LONG_DATA for a statement that does not exist, which has no answer. */
    MYSQL_LONG_DATA(Front.MYSQL, Use.STAY),
    /** Ever new connections with a handshake response that is denied. */
    MYSQL_CONNECT(Front.MYSQL, Use.COME_AND_GO);

    /** The protocol in which a flood is sent. */
    enum Front {
        PG,
        MYSQL
    }

    /** How a flooding client uses connections. */
    enum Use {
        /** Logs in, then writes at full speed on one connection while it reads and drops what comes back. */
        STAY,
        /** As STAY, but reads nothing. */
        STAY_UNREAD,
        /** As STAY, without a login. */
        STAY_WITHOUT_LOGIN,
        /** As STAY, with a write for each byte. */
        STAY_BYTEWISE,
        /** Logs in, writes once, and reads until the pooler ends the connection. */
        WRITE_AND_STAY,
        /** As STAY, with a few bytes and a rest in each write. */
        STAY_SLOW_WRITING,
        /** As STAY, with a few bytes and a rest in each read. */
        STAY_SLOW_READING,
        /** Logs in, then writes a batch and reads its answers, in turns. */
        IN_TURNS,
        /** Connects, writes once, reads until the pooler has answered, and closes; again at once. */
        COME_AND_GO,
        /** Connects, writes once and closes at once. */
        COME_AND_LEAVE
    }

    private static final int BLOCK_BYTES = 64 << 10;
    private static final int LARGE_BYTES = 900 << 10;
    private static final int FIELDS_COUNT = 180_000;
    private static final int VARIABLES_SPACES = 4_000;
    private static final int LONG_VALUE_BYTES = 60_000;
    private static final int STATEMENTS_AT_ONCE = 16;
    private static final int LEAVING_STATEMENTS = 400;
    private static final int TLS_REQUEST_CODE = 80877103;
    private static final int CANCEL_REQUEST_CODE = 80877102;
    private static final int COM_QUERY = 3;
    private static final int COM_PING = 14;
    private static final int COM_STMT_PREPARE = 22;
    private static final int COM_STMT_SEND_LONG_DATA = 24;
    private static final AtomicLong LAST_ID = new AtomicLong();

    private final Front front;
    private final Use use;

    FloodKind(Front front, Use use) {
        this.front = front;
        this.use = use;
    }

    /** The kind with this name, in lower case and with hyphens. */
    public static FloodKind of(String name) {
        return valueOf(name.toUpperCase(Locale.ROOT).replace('-', '_'));
    }

    Front front() {
        return front;
    }

    Use use() {
        return use;
    }

    /** Whether its connections get past the login before the flood. */
    boolean logsIn() {
        return use != Use.STAY_WITHOUT_LOGIN && use != Use.COME_AND_GO && use != Use.COME_AND_LEAVE;
    }

    /** Whether each block has ids of its own. */
    boolean isRenewed() {
        return this == SOUND || this == FIELDS_SOUND || this == SLOW_READ;
    }

    /** How many answers {@link #block} has, for a client that works in turns. */
    int answersOfBlock() {
        return STATEMENTS_AT_ONCE;
    }

    /** What is written at once, after a login if there is one. */
    byte[] block() throws IOException {
        return switch (this) {
            case NONE, KNOCK -> new byte[0];
            case EMPTY, UNREAD, TRICKLE -> repeated(SqlConnection.queries(List.of("")));
            case TLS -> repeated(untyped(TLS_REQUEST_CODE));
            case SYNC -> repeated(message('S', new byte[0]));
            case SET -> repeated(SqlConnection.queries(List.of("SET a = 1")));
            case UNSOUND -> repeated(SqlConnection.queries(List.of("SELECT 1")));
            case SOUND, PACED -> SqlConnection.queries(reads(STATEMENTS_AT_ONCE));
            case SAME_ID -> SqlConnection.queries(Collections.nCopies(STATEMENTS_AT_ONCE, read("f0")));
            case FIELDS_SOUND -> SqlConnection.queries(
                    List.of(read("f" + LAST_ID.incrementAndGet()).replace("/* ", "/* " + fields() + ",")));
            case HALF -> Arrays.copyOf(large(), LARGE_BYTES / 2);
            case SLOW_WRITE -> large();
            case SLOW_READ -> SqlConnection.queries(longReads());
            case FIELDS -> SqlConnection.queries(List.of("SELECT 1 /* " + fields() + " */"));
            case LARGE -> large();
            case CONNECT -> join(SqlConnection.startupMessage(), SqlConnection.queries(List.of("")));
            case LEAVE -> join(SqlConnection.startupMessage(), SqlConnection.queries(reads(LEAVING_STATEMENTS)));
            case MALFORMED -> join(SqlConnection.startupMessage(), new byte[] {'!', 0, 0, 0, 4});
            case EXTENDED -> join(SqlConnection.startupMessage(), message('P', new byte[4]));
            case CANCEL -> untyped(CANCEL_REQUEST_CODE, 1, 2);
            case MYSQL_PING -> repeated(MysqlLoginClient.packet(COM_PING, new byte[0]));
            case MYSQL_EMPTY -> repeated(MysqlLoginClient.packet(COM_QUERY, new byte[0]));
            case MYSQL_UNSOUND -> repeated(MysqlLoginClient.packet(COM_QUERY, "SELECT 1".getBytes(ISO_8859_1)));
            case MYSQL_VARIABLES -> repeated(MysqlLoginClient.packet(
                    COM_QUERY, ("select @@" + " ".repeat(VARIABLES_SPACES) + "x y").getBytes(ISO_8859_1)));
            case MYSQL_PREPARE -> repeated(MysqlLoginClient.packet(COM_STMT_PREPARE, "SELECT ?".getBytes(ISO_8859_1)));
            case MYSQL_LONG_DATA -> repeated(MysqlLoginClient.packet(COM_STMT_SEND_LONG_DATA, new byte[7]));
            case MYSQL_CONNECT -> MysqlLoginClient.handshakeResponse("nobody");
        };
    }

    private static List<String> reads(int count) {
        List<String> reads = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            reads.add(read("f" + LAST_ID.incrementAndGet()));
        }
        return reads;
    }

    private static String read(String id) {
        return "SELECT blob FROM rows WHERE handle = '" + id + "' /* id=" + id
                + ",c=bag-status,t=almaty-branch,d=1000,cluster=0 */";
    }

    private static byte[] large() throws IOException {
        return SqlConnection.queries(List.of("SELECT '" + "x".repeat(LARGE_BYTES) + "'"));
    }

    private static List<String> longReads() {
        return reads(STATEMENTS_AT_ONCE).stream()
                .map(read ->
                        read.replaceFirst("handle = '\\w+'", "handle = '" + LongValues.key(LONG_VALUE_BYTES) + "'"))
                .toList();
    }

    private static String fields() {
        StringBuilder fields = new StringBuilder();
        for (int i = 0; i < FIELDS_COUNT; i++) {
            fields.append(Integer.toString(i, Character.MAX_RADIX)).append("=,");
        }
        return fields.toString();
    }

    private static byte[] message(char type, byte[] body) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(bytes);
        out.write(type);
        out.writeInt(Integer.BYTES + body.length);
        out.write(body);
        return bytes.toByteArray();
    }

    private static byte[] untyped(int... values) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(bytes);
        out.writeInt(Integer.BYTES * (1 + values.length));
        for (int value : values) {
            out.writeInt(value);
        }
        return bytes.toByteArray();
    }

    private static byte[] join(byte[] first, byte[] second) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        bytes.write(first);
        bytes.write(second);
        return bytes.toByteArray();
    }

    private static byte[] repeated(byte[] message) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        while (bytes.size() + message.length <= BLOCK_BYTES) {
            bytes.write(message);
        }
        return bytes.toByteArray();
    }
}
