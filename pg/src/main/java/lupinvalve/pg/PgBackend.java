package lupinvalve.pg;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import lupinvalve.core.LogPositionParser;
import lupinvalve.core.Pooler;
import lupinvalve.core.Statement;
import lupinvalve.net.Dialer;
import lupinvalve.net.Framer;
import lupinvalve.net.Pool;
import lupinvalve.routing.AttemptOutcome;
import lupinvalve.routing.LogPosition;
import lupinvalve.routing.ServerRole;

/**
 * Pool of PostgreSQL connections to db nodes. Requests are sent as simple queries; an answer is a RowDescription, at
 * most one DataRow of one column, and a CommandComplete, or an ErrorResponse. Core thread only.
 */
public final class PgBackend extends Pool {
    /** Values have at most 4 MiB; a longer row is treated as malformed. */
    private static final int MAX_ROW_BYTES = (4 << 20) + 64;

    private static final int MAX_ANSWER_BYTES = MAX_ROW_BYTES + (32 << 10);

    private static final byte[] HEALTH_CHECK_QUERY = PgMessages.textMessage('Q', "SHOW vitals");
    private final byte[] startupMessage;

    /**
     * A pool with no connections yet.
     *
     * @param user the account that its connections log in with
     * @param database the database that they open
     */
    public PgBackend(Dialer dialer, Pooler pooler, Bounds bounds, String user, String database) {
        super(dialer, pooler, bounds);
        startupMessage = PgMessages.startup(user, database);
    }

    /** The last message of the answer that has arrived; NONE before the first. */
    private enum AnswerState {
        NONE,
        ROW_DESCRIPTION,
        DATA_ROW,
        COMMAND_COMPLETE,
        ERROR_RESPONSE
    }

    private static final class PgConn extends PooledConnection {
        private List<byte[]> answerMessages = new ArrayList<>(3);
        private AnswerState state = AnswerState.NONE;
        private int answerBytes;
        /** The outcome that an ErrorResponse stands for; null where none has arrived. */
        private AttemptOutcome errorOutcome;
        /** The answer's DataRow, or the first chunk of a long one; null where none has arrived. */
        private byte[] row;
        /** Bytes still to come of a long row, which arrives in chunks. */
        private int rowBytesLeft;
        /** Whether the chunks of a long row are streamed to the client as they arrive. */
        private boolean isStreaming;

        private long position = LogPosition.UNKNOWN;
        private ServerRole role = ServerRole.UNKNOWN;

        PgConn(String node) {
            super(node);
        }
    }

    @Override
    protected Framer framer() {
        return new PgFramer(false, MAX_ROW_BYTES);
    }

    @Override
    protected PooledConnection connect(String node) {
        return new PgConn(node);
    }

    @Override
    protected void opened(PooledConnection conn) {
        conn.write(startupMessage);
    }

    @Override
    protected void start(PooledConnection conn) {
        PgConn pgConn = (PgConn) conn;
        pgConn.answerMessages = new ArrayList<>(3);
        pgConn.state = AnswerState.NONE;
        pgConn.answerBytes = 0;
        pgConn.errorOutcome = null;
        pgConn.row = null;
        pgConn.rowBytesLeft = 0;
        pgConn.isStreaming = false;
        pgConn.position = LogPosition.UNKNOWN;
        pgConn.role = ServerRole.UNKNOWN;
        markSent(pgConn);
        if (pgConn.job().isProbe()) {
            pgConn.write(HEALTH_CHECK_QUERY);
            return;
        }
        byte[] query = ((Statement) pgConn.job().statement).bytes(pgConn.job().remainingStartMicros(loop.now()));
        pgConn.write(PgMessages.message('Q', Arrays.copyOf(query, query.length + 1)));
    }

    @Override
    protected void message(PooledConnection conn, byte[] message) {
        PgConn pgConn = (PgConn) conn;
        pgConn.answerBytes += message.length;
        boolean isValid;
        if (pgConn.rowBytesLeft > 0) {
            isValid = takeRowChunk(pgConn, message);
        } else if (message[0] == 'D'
                && message.length > 1
                && PgFramer.int32(message, 1) > PgFramer.MAX_WHOLE_ROW_BYTES) {
            isValid = isSent(pgConn) && startLongRow(pgConn, message);
        } else {
            isValid = PgMessages.isWellFormed(message)
                    && (isSent(pgConn) ? takeAnswerMessage(pgConn, message) : takeStartupAnswer(pgConn, message));
        }
        if (pgConn.answerBytes > MAX_ANSWER_BYTES || !isValid) {
            // The request may have run, and where the next answer would start in the stream is unknown.
            warn(
                    "invalid message",
                    "db node sent an invalid, unexpected or oversized message of type " + (char) message[0]
                            + "; its connection is closed");
            pgConn.errorOutcome = null;
            closeBroken(pgConn);
        }
    }

    /**
     * Takes the first chunk of a long row, and decides whether the row is streamed or buffered whole.
     *
     * @return whether a row is valid here and can be taken; if not, the connection is closed
     */
    private boolean startLongRow(PgConn conn, byte[] message) {
        int length = PgFramer.int32(message, 1) + 1;
        if (conn.state != AnswerState.ROW_DESCRIPTION
                || conn.job().isProbe()
                || !PgMessages.isSingleColumnRow(message, length)) {
            return false;
        }
        conn.state = AnswerState.DATA_ROW;
        conn.row = message;
        conn.rowBytesLeft = length - message.length;
        if (!buffer(conn, message)) {
            return false;
        }
        switch (pooler.answerStarted(
                conn.job().attempt, conn.answerMessages.toArray(new byte[0][]), wait -> pauseReading(conn, wait))) {
            case PASS_ON -> {
                conn.isStreaming = true;
                conn.answerMessages.clear();
                releaseAnswer(conn);
            }
            case DROP -> {
                return false;
            }
            default -> {
                return reserveAnswer(conn, conn.rowBytesLeft);
            }
        }
        return true;
    }

    /** Adds a message to the answer that is being buffered; false if there is no memory for it. */
    private boolean buffer(PgConn conn, byte[] message) {
        if (!reserveAnswer(conn, message.length)) {
            return false;
        }
        conn.answerMessages.add(message);
        return true;
    }

    @Override
    protected void released(PooledConnection conn) {
        PgConn pgConn = (PgConn) conn;
        pgConn.answerMessages = new ArrayList<>(3);
        pgConn.row = null;
    }

    private boolean takeRowChunk(PgConn conn, byte[] chunk) {
        conn.rowBytesLeft -= chunk.length;
        if (conn.isStreaming) {
            pooler.answerChunk(conn.job().attempt, chunk);
        } else {
            conn.answerMessages.add(chunk);
        }
        return true;
    }

    /** Takes a message of the answer to the startup message; returns whether its type is valid there. */
    private boolean takeStartupAnswer(PgConn conn, byte[] message) {
        switch (message[0]) {
            case 'R', 'S', 'K', 'N' -> {}
            case 'E' -> conn.errorOutcome = outcomeOf(message);
            case 'Z' -> connectionReady(conn);
            default -> {
                return false;
            }
        }
        return true;
    }

    /**
     * Takes a message of an answer: RowDescription, DataRow and CommandComplete or an ErrorResponse, then
     * ReadyForQuery; ParameterStatus and NoticeResponse may come anywhere.
     *
     * @return whether the message is valid at this point
     */
    private boolean takeAnswerMessage(PgConn conn, byte[] message) {
        AnswerState next =
                switch (message[0]) {
                    case 'S', 'N' -> conn.state;
                    case 'T' -> conn.state == AnswerState.NONE ? AnswerState.ROW_DESCRIPTION : null;
                    case 'D' -> conn.state == AnswerState.ROW_DESCRIPTION ? AnswerState.DATA_ROW : null;
                    case 'C' -> conn.state == AnswerState.ROW_DESCRIPTION || conn.state == AnswerState.DATA_ROW
                            ? AnswerState.COMMAND_COMPLETE
                            : null;
                    case 'E' -> conn.state == AnswerState.COMMAND_COMPLETE || conn.state == AnswerState.ERROR_RESPONSE
                            ? null
                            : AnswerState.ERROR_RESPONSE;
                    case 'Z' -> conn.state == AnswerState.COMMAND_COMPLETE || conn.state == AnswerState.ERROR_RESPONSE
                            ? conn.state
                            : null;
                    default -> null;
                };
        if (next == null) {
            return false;
        }
        conn.state = next;
        switch (message[0]) {
            case 'S' -> takeParameterStatus(conn, message);
            case 'T', 'C', 'D' -> {
                conn.row = message[0] == 'D' ? message : conn.row;
                return buffer(conn, message);
            }
            case 'E' -> conn.errorOutcome = outcomeOf(message);
            case 'Z' -> takeReadyForQuery(conn);
            default -> {}
        }
        return true;
    }

    /** The outcome that an ErrorResponse stands for. */
    private AttemptOutcome outcomeOf(byte[] message) {
        String code = PgMessages.errorField(message, 'C');
        return switch (code) {
            case "25006", "72000" -> AttemptOutcome.MISDIRECTED;
            case "53300", "57P03" -> AttemptOutcome.REJECTED;
            case "XX000" -> AttemptOutcome.ERROR;
            default -> {
                warn(
                        "SQLSTATE",
                        "db node answered with SQLSTATE " + code + ": " + PgMessages.errorField(message, 'M')
                                + "; the attempt counts as failed");
                yield AttemptOutcome.ERROR;
            }
        };
    }

    /**
     * Takes a ParameterStatus. Db nodes report their role and log position in these, both beside rows and beside
     * errors.
     */
    private void takeParameterStatus(PgConn conn, byte[] message) {
        String name = PgMessages.text(message, 5);
        if (!name.equals("as_of") && !name.equals("rank")) {
            return;
        }
        String value = PgMessages.text(message, 5 + name.length() + 1);
        if (name.equals("rank")) {
            conn.role = roleOf(value);
        } else {
            conn.position = LogPositionParser.parse(value, 3, loop.now());
        }
    }

    private static ServerRole roleOf(String rank) {
        return switch (rank) {
            case "source" -> ServerRole.PRIMARY;
            case "copy" -> ServerRole.REPLICA;
            default -> ServerRole.UNKNOWN;
        };
    }

    private void takeReadyForQuery(PgConn conn) {
        if (conn.job().isProbe()) {
            takeLoadReport(conn);
            return;
        }
        AttemptOutcome outcome = conn.errorOutcome != null
                ? conn.errorOutcome
                : conn.row != null ? AttemptOutcome.SERVED : AttemptOutcome.ERROR;
        byte[][] answer = outcome == AttemptOutcome.SERVED ? conn.answerMessages.toArray(new byte[0][]) : null;
        completeJob(conn, true, outcome, answer, conn.position, conn.role);
    }

    /**
     * Ends a health check. The load report is one row, {@code x0=seconds,x1=0}: the log position in seconds of Unix
     * time, and 1 for the primary or 0 for a replica.
     */
    private void takeLoadReport(PgConn conn) {
        AttemptOutcome outcome = conn.errorOutcome != null
                ? conn.errorOutcome
                : conn.row != null ? AttemptOutcome.SERVED : AttemptOutcome.ERROR;
        long position = LogPosition.UNKNOWN;
        ServerRole role = ServerRole.UNKNOWN;
        if (outcome == AttemptOutcome.SERVED && conn.row.length > 11) {
            String report = new String(conn.row, 11, conn.row.length - 11, java.nio.charset.StandardCharsets.UTF_8);
            for (String field : report.split(",")) {
                if (field.startsWith("x0=")) {
                    position = LogPositionParser.parse(field.substring(3), 6, loop.now());
                } else if (field.matches("x1=[01](\\.0+)?")) {
                    role = field.startsWith("x1=1") ? ServerRole.PRIMARY : ServerRole.REPLICA;
                }
            }
        }
        completeJob(conn, true, outcome, null, position, role);
    }

    @Override
    protected AttemptOutcome knownOutcome(PooledConnection conn) {
        return ((PgConn) conn).errorOutcome;
    }
}
