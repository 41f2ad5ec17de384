package lupinvalve.mysql;

import static java.nio.charset.StandardCharsets.ISO_8859_1;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import lupinvalve.core.LogPositionParser;
import lupinvalve.core.Pooler;
import lupinvalve.net.Dialer;
import lupinvalve.net.Framer;
import lupinvalve.net.Pool;
import lupinvalve.routing.AttemptOutcome;
import lupinvalve.routing.LogPosition;
import lupinvalve.routing.ServerRole;

/**
 * Pool of MySQL connections to db nodes. A connection prepares a statement when it first executes it: a prepare runs
 * nothing, so the request can't have run before its COM_STMT_EXECUTE is written. Core thread only.
 */
public final class MysqlBackend extends Pool {
    private static final int MAX_ANSWER_BYTES = 4 << 20;
    private static final int MAX_PREPARED_STATEMENTS = 64;
    private static final int MAX_COLUMNS = 4096;
    /** Memory of a packet beside its bytes. */
    private static final int PACKET_BYTES = 32;

    private NodeLogin.Account account;

    /** A pool with no connections yet; {@code database} may be empty. */
    public MysqlBackend(Dialer dialer, Pooler pooler, Bounds bounds, String user, String password, String database) {
        super(dialer, pooler, bounds);
        account = new NodeLogin.Account(user, password, database);
        NodeLogin.loadCipher();
    }

    /** Changes the account and database of connections opened from now on; existing ones stay open. Core thread. */
    public void account(String newUser, String newPassword, String newDatabase) {
        account = new NodeLogin.Account(newUser, newPassword, newDatabase);
    }

    /** What a connection expects next. */
    private enum State {
        LOGIN,
        IDLE,
        PREPARE_RESPONSE,
        PREPARE_DEFINITIONS,
        ANSWER,
        COLUMN_DEFINITIONS,
        ROWS
    }

    private static final class MysqlConn extends PooledConnection {
        private final NodeLogin login;
        private State state = State.LOGIN;
        /** Ids of the statements prepared on this connection, by text; the least recently used comes first. */
        private final Map<String, Long> preparedIds = new LinkedHashMap<>(16, 0.75f, true);

        private int definitionsLeft;
        private int columnCount;
        private int answerBytes;
        private int expectedSequence;
        private int[] columnTypes = new int[0];
        private List<byte[]> answerPackets = new ArrayList<>();
        /** The outcome that an ERR packet during the login stands for; null where none has come. */
        private AttemptOutcome errorOutcome;

        MysqlConn(String node, NodeLogin.Account account) {
            super(node);
            login = new NodeLogin(account);
        }
    }

    @Override
    protected Framer framer() {
        return new MysqlFramer(NodeLogin.MAX_PACKET_BYTES);
    }

    @Override
    protected PooledConnection connect(String node) {
        return new MysqlConn(node, account);
    }

    @Override
    protected void opened(PooledConnection conn) {
        // The server sends the first packet, its handshake.
    }

    @Override
    protected AttemptOutcome knownOutcome(PooledConnection conn) {
        return ((MysqlConn) conn).errorOutcome;
    }

    @Override
    protected void message(PooledConnection conn, byte[] packet) {
        MysqlConn mysqlConn = (MysqlConn) conn;
        try {
            mysqlConn.answerBytes += packet.length;
            if (packet.length == 4
                    || (packet[3] & 255) != (mysqlConn.expectedSequence & 255)
                    || mysqlConn.answerBytes > MAX_ANSWER_BYTES) {
                throw new Framer.Malformed("packet out of sequence or empty, or answer too long");
            }
            mysqlConn.expectedSequence++;
            switch (mysqlConn.state) {
                case LOGIN -> takeLogin(mysqlConn, packet);
                case PREPARE_RESPONSE -> takePrepareResponse(mysqlConn, packet);
                case PREPARE_DEFINITIONS -> {
                    if (--mysqlConn.definitionsLeft == 0) {
                        statementPrepared(mysqlConn);
                    }
                }
                case ANSWER, COLUMN_DEFINITIONS, ROWS -> {
                    if (reserveAnswer(mysqlConn, packet.length + PACKET_BYTES)) {
                        takeAnswer(mysqlConn, packet);
                    } else {
                        mysqlConn.errorOutcome = null;
                        closeBroken(mysqlConn);
                    }
                }
                default -> protocolError(mysqlConn, "packet without a request");
            }
        } catch (Framer.Malformed e) {
            protocolError(mysqlConn, e.getMessage());
        }
    }

    /** Closes a connection whose db node violated the protocol: what it sends can no longer be interpreted. */
    private void protocolError(MysqlConn conn, String why) {
        warn("protocol violation", "db node violated MySQL's protocol: " + why + "; its connection is closed");
        conn.errorOutcome = null;
        closeBroken(conn);
    }

    /** Writes a packet; the next packet from the db node must have the following sequence number. */
    private static void write(MysqlConn conn, PacketWriter packet, int sequence) {
        conn.expectedSequence = sequence + 1;
        conn.write(packet.packet(sequence));
    }

    // ---- login ----

    private void takeLogin(MysqlConn conn, byte[] packet) throws Framer.Malformed {
        NodeLogin.Step step = conn.login.take(packet);
        if (step.response() != null) {
            write(conn, step.response(), packet[3] + 1);
        }
        switch (step.status()) {
            case COMPLETE -> {
                conn.state = State.IDLE;
                connectionReady(conn);
            }
            case REJECTED -> {
                conn.errorOutcome = outcomeOf(packet);
                closeBroken(conn);
            }
            case CONTINUES -> {}
        }
    }

    // ---- requests ----

    @Override
    protected void start(PooledConnection conn) {
        MysqlConn mysqlConn = (MysqlConn) conn;
        mysqlConn.errorOutcome = null;
        mysqlConn.answerBytes = 0;
        mysqlConn.answerPackets = new ArrayList<>();
        if (mysqlConn.job().isProbe()) {
            markSent(mysqlConn);
            mysqlConn.state = State.ANSWER;
            write(mysqlConn, new PacketWriter().int1(Protocol.COM_PING), 0);
            return;
        }
        MysqlRequest request = (MysqlRequest) mysqlConn.job().statement;
        if (!request.prepared()) {
            markSent(mysqlConn);
            mysqlConn.state = State.ANSWER;
            PacketWriter out = new PacketWriter().int1(Protocol.COM_QUERY);
            if (mysqlConn.login.hasCapability(Protocol.QUERY_ATTRIBUTES)) {
                out.lengthEncodedInt(request.params().size()).lengthEncodedInt(1);
                if (!request.params().isEmpty()) {
                    Params.write(out, withTimeLeft(mysqlConn, request.params()), true);
                }
            }
            write(mysqlConn, out.raw(request.statement().bytes(mysqlConn.job().remainingStartMicros(loop.now()))), 0);
        } else if (mysqlConn.preparedIds.containsKey(statementKey(request))) {
            executePrepared(mysqlConn);
        } else {
            mysqlConn.state = State.PREPARE_RESPONSE;
            write(mysqlConn, new PacketWriter().int1(Protocol.COM_STMT_PREPARE).raw(request.text()), 0);
        }
    }

    private static String statementKey(MysqlRequest request) {
        return new String(request.text(), ISO_8859_1);
    }

    /** The parameters, with the attribute {@code d}, the timeout, set to the milliseconds that are left. */
    private List<Params.Param> withTimeLeft(MysqlConn conn, List<Params.Param> params) {
        List<Params.Param> out = new ArrayList<>(params);
        out.replaceAll(param -> param.name().equals("d")
                ? Params.text("d", Long.toString(Math.max(1, conn.job().remainingStartMicros(loop.now()) / 1000)))
                : param);
        return out;
    }

    /** Takes the answer to COM_STMT_PREPARE. */
    private void takePrepareResponse(MysqlConn conn, byte[] packet) throws Framer.Malformed {
        PacketReader in = new PacketReader(packet);
        if (in.int1() != 0) {
            // The request has not run, but any other db node would reject the statement as well.
            AttemptOutcome outcome = outcomeOf(packet);
            conn.state = State.IDLE;
            completeJob(conn, true, outcome, null, LogPosition.UNKNOWN, roleOf(packet));
            return;
        }
        MysqlRequest request = (MysqlRequest) conn.job().statement;
        conn.preparedIds.put(statementKey(request), in.fixedInt(4));
        int columns = (int) in.fixedInt(2);
        int params = (int) in.fixedInt(2);
        if (params != request.valueCount()) {
            conn.state = State.IDLE;
            warn(
                    "placeholders",
                    "db node found " + params + " placeholders in a statement where the pooler found "
                            + request.valueCount() + "; the attempt fails");
            completeJob(conn, false, AttemptOutcome.ERROR, null, LogPosition.UNKNOWN, ServerRole.UNKNOWN);
            return;
        }
        conn.definitionsLeft = columns + params;
        conn.state = State.PREPARE_DEFINITIONS;
        if (conn.definitionsLeft == 0) {
            statementPrepared(conn);
        }
    }

    /** The db node has prepared the statement, which may have taken long: executes it if the request may be sent. */
    private void statementPrepared(MysqlConn conn) {
        conn.state = State.IDLE;
        if (mayStillSend(conn)) {
            executePrepared(conn);
            requestWritten(conn);
        }
    }

    private void executePrepared(MysqlConn conn) {
        MysqlRequest request = (MysqlRequest) conn.job().statement;
        long id = conn.preparedIds.get(statementKey(request));
        closeSurplusStatements(conn);
        for (MysqlRequest.LongData piece : request.longData()) {
            conn.write(new PacketWriter()
                    .int1(Protocol.COM_STMT_SEND_LONG_DATA)
                    .fixedInt(id, 4)
                    .fixedInt(piece.param(), 2)
                    .raw(piece.bytes())
                    .packet(0));
        }
        boolean hasNames = conn.login.hasCapability(Protocol.QUERY_ATTRIBUTES);
        List<Params.Param> params = hasNames
                ? withTimeLeft(conn, request.params())
                : request.params().subList(0, request.valueCount());
        PacketWriter out = new PacketWriter()
                .int1(Protocol.COM_STMT_EXECUTE)
                .fixedInt(id, 4)
                .int1(hasNames ? Protocol.PARAMETER_COUNT_AVAILABLE : 0)
                .fixedInt(1, 4);
        if (hasNames) {
            out.lengthEncodedInt(params.size());
        }
        if (!params.isEmpty()) {
            Params.write(out, params, hasNames);
        }
        markSent(conn);
        conn.state = State.ANSWER;
        write(conn, out, 0);
    }

    /** Closes the least recently used statements beyond the number that a connection may keep at the db node. */
    private static void closeSurplusStatements(MysqlConn conn) {
        Iterator<Long> oldest = conn.preparedIds.values().iterator();
        while (conn.preparedIds.size() > MAX_PREPARED_STATEMENTS) {
            long id = oldest.next();
            oldest.remove();
            PacketWriter close =
                    new PacketWriter().int1(Protocol.COM_STMT_CLOSE).fixedInt(id, 4);
            conn.write(close.packet(0));
        }
    }

    // ---- answers ----

    /** Takes a packet of an answer: an OK or ERR packet, or a result set. */
    private void takeAnswer(MysqlConn conn, byte[] packet) throws Framer.Malformed {
        int first = packet[4] & 255;
        if (first == 0xFF) {
            if (packet.length < 13 || packet[7] != '#') {
                throw new Framer.Malformed("malformed ERR packet");
            }
            conn.state = State.IDLE;
            completeJob(conn, true, outcomeOf(packet), null, LogPosition.UNKNOWN, roleOf(packet));
        } else if (conn.state == State.ANSWER && first == 0 || conn.state == State.ROWS && first == 0xFE) {
            endAnswer(conn, Protocol.Ok.read(new PacketReader(packet)));
        } else if (conn.state == State.ANSWER) {
            long columns = new PacketReader(packet).lengthEncodedInt();
            if (columns > MAX_COLUMNS) {
                throw new Framer.Malformed(columns + " columns in an answer");
            }
            conn.columnCount = (int) columns;
            conn.columnTypes = new int[conn.columnCount];
            conn.definitionsLeft = conn.columnCount;
            conn.answerPackets.add(packet);
            conn.state = State.COLUMN_DEFINITIONS;
        } else if (conn.state == State.COLUMN_DEFINITIONS) {
            conn.answerPackets.add(packet);
            conn.columnTypes[conn.columnCount - conn.definitionsLeft] = columnType(new PacketReader(packet));
            if (--conn.definitionsLeft == 0) {
                conn.state = State.ROWS;
            }
        } else {
            checkRow(conn, new PacketReader(packet));
            conn.answerPackets.add(packet);
        }
    }

    @Override
    protected void released(PooledConnection conn) {
        ((MysqlConn) conn).answerPackets = new ArrayList<>();
    }

    /** The column type in a column definition packet. */
    private static int columnType(PacketReader in) throws Framer.Malformed {
        for (int name = 0; name < 6; name++) {
            in.lengthEncodedBytes();
        }
        if (in.lengthEncodedInt() != 12 || in.remaining() != 12) {
            throw new Framer.Malformed("malformed column definition");
        }
        in.raw(6);
        return in.int1();
    }

    /** Rejects a row whose lengths don't add up: a client would read values that the db node never sent. */
    private static void checkRow(MysqlConn conn, PacketReader in) throws Framer.Malformed {
        boolean prepared = ((MysqlRequest) conn.job().statement).prepared();
        byte[] nulls = new byte[0];
        if (prepared) {
            if (in.int1() != 0) {
                throw new Framer.Malformed("binary row without its leading zero byte");
            }
            nulls = in.raw((conn.columnCount + 9) / 8);
        }
        for (int i = 0; i < conn.columnCount; i++) {
            if (prepared && (nulls[(i + 2) / 8] >> (i + 2) % 8 & 1) == 0) {
                Params.value(in, conn.columnTypes[i]);
            } else if (!prepared && !in.skipNull()) {
                in.lengthEncodedBytes();
            }
        }
        if (in.remaining() > 0) {
            throw new Framer.Malformed("bytes after the last column of a row");
        }
    }

    /** Takes the OK packet that ends an answer, with the db node's log position and role. */
    private void endAnswer(MysqlConn conn, Protocol.Ok ok) {
        conn.state = State.IDLE;
        long position = LogPosition.UNKNOWN;
        ServerRole role = ServerRole.UNKNOWN;
        String asOf = ok.trackedValue(Protocol.AS_OF);
        String rank = ok.trackedValue(Protocol.RANK);
        if (asOf != null) {
            position = LogPositionParser.parse(asOf, 3, loop.now());
        }
        if (rank != null) {
            role = rank.equals("source")
                    ? ServerRole.PRIMARY
                    : rank.equals("copy") ? ServerRole.REPLICA : ServerRole.UNKNOWN;
        }
        boolean hasMoreResults = (ok.status() & Protocol.STATUS_MORE_RESULTS_EXIST) != 0;
        if (hasMoreResults) {
            completeJob(conn, false, AttemptOutcome.ERROR, null, position, role);
        } else {
            MysqlRequest.Answer answer = new MysqlRequest.Answer(conn.answerPackets, conn.columnCount, ok);
            completeJob(conn, true, AttemptOutcome.SERVED, answer, position, role);
        }
    }

    /** The outcome that an ERR packet stands for; docs/mysql.md lists the codes. */
    private static AttemptOutcome outcomeOf(byte[] packet) {
        int code = packet.length < 7 ? 0 : packet[5] & 255 | (packet[6] & 255) << 8;
        String state = packet.length < 13 ? "" : new String(packet, 8, 5, ISO_8859_1);
        return switch (code) {
            case 1290, 1836 -> AttemptOutcome.MISDIRECTED;
            case 1040, 1203, 1226 -> AttemptOutcome.REJECTED;
            default -> state.equals("72000") ? AttemptOutcome.MISDIRECTED : AttemptOutcome.ERROR;
        };
    }

    /** An ERR packet carries no session state, but a server that rejects a write as read-only is a replica. */
    private static ServerRole roleOf(byte[] packet) {
        int code = packet.length < 7 ? 0 : packet[5] & 255 | (packet[6] & 255) << 8;
        return code == 1290 || code == 1836 ? ServerRole.REPLICA : ServerRole.UNKNOWN;
    }
}
