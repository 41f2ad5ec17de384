package lupinvalve.mysql;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static java.nio.charset.StandardCharsets.UTF_8;

import java.security.GeneralSecurityException;
import java.security.KeyFactory;
import java.security.spec.X509EncodedKeySpec;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import javax.crypto.Cipher;
import lupinvalve.core.LogPositionParser;
import lupinvalve.core.Pooler;
import lupinvalve.log.Log;
import lupinvalve.net.Dialer;
import lupinvalve.net.Framer;
import lupinvalve.net.Pool;
import lupinvalve.routing.AttemptOutcome;
import lupinvalve.routing.LogPosition;
import lupinvalve.routing.ServerRole;

/**
 * Speaks MySQL's protocol to db nodes. Each connection prepares a statement when it first executes it: a prepare runs
 * nothing, so until the execute is written the request has not run.
 */
public final class MysqlBackend extends Pool {
    private static final int PACKET_MOST = 4 << 20, ANSWER_MOST = 4 << 20, STATEMENTS_MOST = 64, COLUMNS_MOST = 4096;
    private static final long WANTED = Protocol.LONG_PASSWORD
            | Protocol.FOUND_ROWS
            | Protocol.PROTOCOL_41
            | Protocol.TRANSACTIONS
            | Protocol.SECURE_CONNECTION
            | Protocol.PLUGIN_AUTH
            | Protocol.SESSION_TRACK
            | Protocol.DEPRECATE_EOF
            | Protocol.QUERY_ATTRIBUTES;
    private static final String OAEP = "RSA/ECB/OAEPWithSHA-1AndMGF1Padding";
    private String user, password, database;

    public MysqlBackend(Dialer net, Pooler pooler, Bounds bounds, String user, String password, String database) {
        super(net, pooler, bounds);
        this.user = user;
        this.password = password;
        this.database = database;
        try {
            // The first cipher of a JVM takes a tenth of a second, which the core thread must not lose while it serves.
            Cipher.getInstance(OAEP);
        } catch (GeneralSecurityException e) {
            Log.warn("no %s: only servers that have the account cached can be used", OAEP);
        }
    }

    /** Connections from now on are opened with this account; those that are up stay. Core thread. */
    public void account(String newUser, String newPassword, String newDatabase) {
        user = newUser;
        password = newPassword;
        database = newDatabase;
    }

    private enum At {
        GREETING,
        LOGIN,
        READY,
        PREPARING,
        DEFINITIONS,
        ANSWER,
        COLUMNS,
        ROWS
    }

    private static final class MysqlConn extends PooledConnection {
        private At at = At.GREETING;
        private long capabilities;
        private byte[] nonce = new byte[0];
        private String plugin = Protocol.NATIVE;
        private boolean keyAsked;
        /** Statements prepared on this connection, by text; the one used longest ago comes first. */
        private final Map<String, Long> prepared = new LinkedHashMap<>(16, 0.75f, true);

        private int definitions, columns, size, sequence;
        private int[] types = new int[0];
        private AttemptOutcome error;
        private List<byte[]> packets = new ArrayList<>();

        MysqlConn(String node) {
            super(node);
        }

        boolean has(int capability) {
            return (capabilities & capability) != 0;
        }
    }

    @Override
    protected Framer framer() {
        return new MysqlFramer(PACKET_MOST);
    }

    @Override
    protected PooledConnection connect(String node) {
        return new MysqlConn(node);
    }

    @Override
    protected void opened(PooledConnection conn) {
        // The server speaks first.
    }

    @Override
    protected AttemptOutcome knownOutcome(PooledConnection conn) {
        return ((MysqlConn) conn).error;
    }

    @Override
    protected void message(PooledConnection conn, byte[] packet) {
        MysqlConn c = (MysqlConn) conn;
        try {
            c.size += packet.length;
            if (packet.length == 4 || (packet[3] & 255) != (c.sequence & 255) || c.size > ANSWER_MOST) {
                throw new Framer.Malformed("packet out of order, empty or past the bound of an answer");
            }
            c.sequence++;
            switch (c.at) {
                case GREETING -> greeting(c, packet);
                case LOGIN -> login(c, packet);
                case PREPARING -> preparing(c, packet);
                case DEFINITIONS -> {
                    if (--c.definitions == 0) {
                        execute(c);
                    }
                }
                case ANSWER, COLUMNS, ROWS -> answer(c, packet);
                default -> fault(c, "unasked packet");
            }
        } catch (Framer.Malformed e) {
            fault(c, e.getMessage());
        }
    }

    /** What comes makes no sense: nothing more can be read from this connection. */
    private void fault(MysqlConn c, String why) {
        Log.warn("db node: %s", why);
        c.error = null;
        closeBroken(c);
    }

    /** Writes a packet; the next to come has the number behind its own. */
    private static void say(MysqlConn c, Out packet, int sequence) {
        c.sequence = sequence + 1;
        c.write(packet.packet(sequence));
    }

    // ---- login ----

    private void greeting(MysqlConn c, byte[] packet) throws Framer.Malformed {
        In in = new In(packet);
        int version = in.int1();
        if (version == 0xFF) {
            c.error = ending(packet);
            closeBroken(c);
            return;
        }
        in.zero();
        in.fixed(4);
        byte[] first = in.raw(8);
        in.int1();
        long capabilities = in.fixed(2);
        in.int1();
        in.fixed(2);
        capabilities |= in.fixed(2) << 16;
        int length = in.int1();
        in.raw(10);
        byte[] second = in.raw(Math.min(in.left(), Math.max(13, length - 8)));
        c.nonce = Arrays.copyOf(first, 20);
        System.arraycopy(second, 0, c.nonce, 8, Math.min(12, second.length));
        c.plugin = (capabilities & Protocol.PLUGIN_AUTH) != 0 ? in.zero() : Protocol.NATIVE;
        long needed = Protocol.PROTOCOL_41 | Protocol.SESSION_TRACK | Protocol.DEPRECATE_EOF;
        if (version != 10 || (capabilities & needed) != needed) {
            throw new Framer.Malformed("server tracks no session state");
        }
        c.capabilities = capabilities & (WANTED | (database.isEmpty() ? 0 : Protocol.CONNECT_WITH_DB));
        byte[] proof = Protocol.scramble(c.plugin, password, c.nonce);
        Out out = new Out()
                .fixed(c.capabilities, 4)
                .fixed(PACKET_MOST, 4)
                .int1(45)
                .raw(new byte[23])
                .zero(user);
        out.int1(proof == null ? 0 : proof.length).raw(proof == null ? new byte[0] : proof);
        if (c.has(Protocol.CONNECT_WITH_DB)) {
            out.zero(database);
        }
        c.at = At.LOGIN;
        say(c, out.zero(c.plugin), packet[3] + 1);
    }

    private void login(MysqlConn c, byte[] packet) throws Framer.Malformed {
        In in = new In(packet);
        switch (in.int1()) {
            case 0 -> {
                c.at = At.READY;
                connectionReady(c);
            }
            case 0xFE -> {
                c.plugin = in.zero();
                c.nonce = Arrays.copyOf(in.rest(), 20);
                byte[] proof = Protocol.scramble(c.plugin, password, c.nonce);
                if (proof == null) {
                    throw new Framer.Malformed("login method " + c.plugin);
                }
                say(c, new Out().raw(proof), packet[3] + 1);
            }
            case 1 -> more(c, in, packet[3] + 1);
            case 0xFF -> {
                c.error = ending(packet);
                closeBroken(c);
            }
            default -> throw new Framer.Malformed("unexpected packet in login");
        }
    }

    /** The server does not have the account in its cache: the password goes out under the server's key. */
    private void more(MysqlConn c, In in, int sequence) throws Framer.Malformed {
        byte[] data = in.rest();
        if (c.keyAsked) {
            c.keyAsked = false;
            say(c, new Out().raw(sealed(data, c.nonce)), sequence);
        } else if (data.length == 1 && data[0] == 4) {
            c.keyAsked = true;
            say(c, new Out().int1(2), sequence);
        }
    }

    private byte[] sealed(byte[] pem, byte[] nonce) throws Framer.Malformed {
        try {
            String key = new String(pem, ISO_8859_1).replaceAll("-----[A-Z ]+-----", "");
            Cipher cipher = Cipher.getInstance(OAEP);
            cipher.init(
                    Cipher.ENCRYPT_MODE,
                    KeyFactory.getInstance("RSA")
                            .generatePublic(new X509EncodedKeySpec(
                                    Base64.getMimeDecoder().decode(key))));
            return cipher.doFinal(Protocol.xor((password + "\0").getBytes(UTF_8), nonce));
        } catch (GeneralSecurityException | IllegalArgumentException e) {
            throw new Framer.Malformed("server key: " + e.getMessage());
        }
    }

    // ---- requests ----

    @Override
    protected void start(PooledConnection conn) {
        MysqlConn c = (MysqlConn) conn;
        c.error = null;
        c.size = 0;
        c.packets = new ArrayList<>();
        if (c.job().isProbe()) {
            markSent(c);
            c.at = At.ANSWER;
            say(c, new Out().int1(Protocol.COM_PING), 0);
            return;
        }
        MysqlRequest request = (MysqlRequest) c.job().statement;
        if (!request.prepared()) {
            markSent(c);
            c.at = At.ANSWER;
            Out out = new Out().int1(Protocol.COM_QUERY);
            if (c.has(Protocol.QUERY_ATTRIBUTES)) {
                out.lenenc(request.params().size()).lenenc(1);
                if (!request.params().isEmpty()) {
                    Params.write(out, timed(c, request.params()), true);
                }
            }
            say(c, out.raw(request.statement().bytes(c.job().remainingStartMicros(loop.now()))), 0);
        } else if (c.prepared.containsKey(key(request))) {
            execute(c);
        } else {
            c.at = At.PREPARING;
            say(c, new Out().int1(Protocol.COM_PREPARE).raw(request.text()), 0);
        }
    }

    private static String key(MysqlRequest request) {
        return new String(request.text(), ISO_8859_1);
    }

    /** The attributes with {@code d} as the time left. */
    private List<Params.Param> timed(MysqlConn c, List<Params.Param> params) {
        List<Params.Param> out = new ArrayList<>(params);
        out.replaceAll(p -> p.name().equals("d")
                ? Params.text("d", Long.toString(Math.max(1, c.job().remainingStartMicros(loop.now()) / 1000)))
                : p);
        return out;
    }

    private void preparing(MysqlConn c, byte[] packet) throws Framer.Malformed {
        In in = new In(packet);
        if (in.int1() != 0) {
            // It has not run, but would be refused likewise anywhere else.
            AttemptOutcome ending = ending(packet);
            c.at = At.READY;
            completeJob(c, true, ending, null, LogPosition.UNKNOWN, role(packet));
            return;
        }
        MysqlRequest request = (MysqlRequest) c.job().statement;
        c.prepared.put(key(request), in.fixed(4));
        int columns = (int) in.fixed(2);
        int params = (int) in.fixed(2);
        if (params != request.values()) {
            c.at = At.READY;
            Log.warn("db node counts %d places in a statement, not %d", params, request.values());
            completeJob(c, false, AttemptOutcome.ERROR, null, LogPosition.UNKNOWN, ServerRole.UNKNOWN);
            return;
        }
        c.definitions = columns + params;
        c.at = At.DEFINITIONS;
        if (c.definitions == 0) {
            execute(c);
        }
    }

    private void execute(MysqlConn c) {
        MysqlRequest request = (MysqlRequest) c.job().statement;
        long id = c.prepared.get(key(request));
        trim(c);
        for (MysqlRequest.LongData piece : request.ahead()) {
            c.write(new Out()
                    .int1(Protocol.COM_LONG_DATA)
                    .fixed(id, 4)
                    .fixed(piece.param(), 2)
                    .raw(piece.bytes())
                    .packet(0));
        }
        boolean named = c.has(Protocol.QUERY_ATTRIBUTES);
        List<Params.Param> params =
                named ? timed(c, request.params()) : request.params().subList(0, request.values());
        Out out = new Out()
                .int1(Protocol.COM_EXECUTE)
                .fixed(id, 4)
                .int1(named ? Protocol.COUNT_TOLD : 0)
                .fixed(1, 4);
        if (named) {
            out.lenenc(params.size());
        }
        if (!params.isEmpty()) {
            Params.write(out, params, named);
        }
        markSent(c);
        c.at = At.ANSWER;
        say(c, out, 0);
    }

    /** Bounds what a connection holds prepared at the db node. */
    private static void trim(MysqlConn c) {
        Iterator<Long> oldest = c.prepared.values().iterator();
        while (c.prepared.size() > STATEMENTS_MOST) {
            long id = oldest.next();
            oldest.remove();
            c.write(new Out().int1(Protocol.COM_CLOSE).fixed(id, 4).packet(0));
        }
    }

    // ---- answers ----

    private void answer(MysqlConn c, byte[] packet) throws Framer.Malformed {
        int first = packet[4] & 255;
        if (first == 0xFF) {
            if (packet.length < 13 || packet[7] != '#') {
                throw new Framer.Malformed("ERR packet's length");
            }
            c.at = At.READY;
            completeJob(c, true, ending(packet), null, LogPosition.UNKNOWN, role(packet));
        } else if (c.at == At.ANSWER && first == 0 || c.at == At.ROWS && first == 0xFE) {
            end(c, Protocol.Ok.read(new In(packet)));
        } else if (c.at == At.ANSWER) {
            long columns = new In(packet).lenenc();
            if (columns > COLUMNS_MOST) {
                throw new Framer.Malformed("columns " + columns);
            }
            c.columns = (int) columns;
            c.types = new int[c.columns];
            c.definitions = c.columns;
            c.packets.add(packet);
            c.at = At.COLUMNS;
        } else if (c.at == At.COLUMNS) {
            c.packets.add(packet);
            c.types[c.columns - c.definitions] = type(new In(packet));
            if (--c.definitions == 0) {
                c.at = At.ROWS;
            }
        } else {
            sound(c, new In(packet));
            c.packets.add(packet);
        }
    }

    /** The type that a column's definition tells. */
    private static int type(In in) throws Framer.Malformed {
        for (int name = 0; name < 6; name++) {
            in.counted();
        }
        if (in.lenenc() != 12 || in.left() != 12) {
            throw new Framer.Malformed("column's definition");
        }
        in.raw(6);
        return in.int1();
    }

    /** Guards against rows whose lengths don't agree: a client would read something that no db node said. */
    private static void sound(MysqlConn c, In in) throws Framer.Malformed {
        boolean prepared = ((MysqlRequest) c.job().statement).prepared();
        byte[] nulls = new byte[0];
        if (prepared) {
            if (in.int1() != 0) {
                throw new Framer.Malformed("row's head");
            }
            nulls = in.raw((c.columns + 9) / 8);
        }
        for (int i = 0; i < c.columns; i++) {
            if (prepared && (nulls[(i + 2) / 8] >> (i + 2) % 8 & 1) == 0) {
                Params.value(in, c.types[i]);
            } else if (!prepared && !in.absent()) {
                in.counted();
            }
        }
        if (in.left() > 0) {
            throw new Framer.Malformed("row's length");
        }
    }

    private void end(MysqlConn c, Protocol.Ok ok) {
        c.at = At.READY;
        long position = LogPosition.UNKNOWN;
        ServerRole role = ServerRole.UNKNOWN;
        String asOf = ok.tracked(Protocol.AS_OF);
        String rank = ok.tracked(Protocol.RANK);
        if (asOf != null) {
            position = LogPositionParser.parse(asOf, 3, loop.now());
        }
        if (rank != null) {
            role = rank.equals("source")
                    ? ServerRole.PRIMARY
                    : rank.equals("copy") ? ServerRole.REPLICA : ServerRole.UNKNOWN;
        }
        boolean more = (ok.status() & Protocol.STATUS_MORE) != 0;
        if (more) {
            completeJob(c, false, AttemptOutcome.ERROR, null, position, role);
        } else {
            completeJob(
                    c, true, AttemptOutcome.SERVED, new MysqlRequest.Answer(c.packets, c.columns, ok), position, role);
        }
    }

    /** How an ERR packet ends an attempt; docs/mysql.md lists the codes. */
    private static AttemptOutcome ending(byte[] packet) {
        int code = packet.length < 7 ? 0 : packet[5] & 255 | (packet[6] & 255) << 8;
        String state = packet.length < 13 ? "" : new String(packet, 8, 5, ISO_8859_1);
        return switch (code) {
            case 1290, 1836 -> AttemptOutcome.MISSED;
            case 1040, 1203, 1226 -> AttemptOutcome.REJECTED;
            default -> state.equals("72000") ? AttemptOutcome.MISSED : AttemptOutcome.ERROR;
        };
    }

    /** An ERR packet carries no session state, but a write that is read-only there names a replica. */
    private static ServerRole role(byte[] packet) {
        int code = packet.length < 7 ? 0 : packet[5] & 255 | (packet[6] & 255) << 8;
        return code == 1290 || code == 1836 ? ServerRole.REPLICA : ServerRole.UNKNOWN;
    }
}
