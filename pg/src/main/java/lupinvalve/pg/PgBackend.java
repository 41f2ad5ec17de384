package lupinvalve.pg;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import lupinvalve.core.LogPositionParser;
import lupinvalve.core.Pooler;
import lupinvalve.core.Statement;
import lupinvalve.log.Log;
import lupinvalve.maintenance.ResourceBudgets;
import lupinvalve.net.Dialer;
import lupinvalve.net.Framer;
import lupinvalve.net.Pool;
import lupinvalve.routing.AttemptOutcome;
import lupinvalve.routing.LogPosition;
import lupinvalve.routing.ServerRole;

/** Speaks PostgreSQL's protocol to db nodes: simple queries only. */
public final class PgBackend extends Pool {
    /** Values have 4 MiB at most; what is longer is taken for spoilt. */
    private static final int ROW_MOST = (4 << 20) + 64, ANSWER_MOST = ROW_MOST + (32 << 10);

    private static final byte[] PROBE = PgMessages.texts('Q', "SHOW vitals");
    private final byte[] startup;
    /** Bytes of long answers that are held whole. */
    private long kept;

    public PgBackend(Dialer net, Pooler pooler, Bounds bounds, String user, String database) {
        super(net, pooler, bounds);
        startup = PgMessages.startup(user, database);
    }

    /** How far an answer has come. */
    private enum At {
        START,
        HEAD,
        ROW,
        COMPLETE,
        FAILED
    }

    private static final class PgConn extends PooledConnection {
        private List<byte[]> answer = new ArrayList<>(3);
        private At at = At.START;
        private int size;
        private AttemptOutcome error;
        private byte[] row;
        /** What is still to come of a row in pieces, and whether it is passed on meanwhile. */
        private int left;

        private boolean passing;
        private int kept;
        private long position = LogPosition.UNKNOWN;
        private ServerRole role = ServerRole.UNKNOWN;

        PgConn(String node) {
            super(node);
        }
    }

    @Override
    protected Framer framer() {
        return new PgFramer(false, ROW_MOST);
    }

    @Override
    protected PooledConnection connect(String node) {
        return new PgConn(node);
    }

    @Override
    protected void opened(PooledConnection conn) {
        conn.write(startup);
    }

    @Override
    protected void start(PooledConnection conn) {
        PgConn c = (PgConn) conn;
        c.answer = new ArrayList<>(3);
        c.at = At.START;
        c.size = 0;
        c.error = null;
        c.row = null;
        c.left = 0;
        c.passing = false;
        c.position = LogPosition.UNKNOWN;
        c.role = ServerRole.UNKNOWN;
        markSent(c);
        if (c.job().isProbe()) {
            c.write(PROBE);
            return;
        }
        byte[] text = ((Statement) c.job().statement).bytes(c.job().remainingStartMicros(loop.now()));
        c.write(PgMessages.message('Q', Arrays.copyOf(text, text.length + 1)));
    }

    @Override
    protected void message(PooledConnection conn, byte[] message) {
        PgConn c = (PgConn) conn;
        c.size += message.length;
        boolean sound;
        if (c.left > 0) {
            sound = piece(c, message);
        } else if (message[0] == 'D' && message.length > 1 && PgFramer.int32(message, 1) > PgFramer.WHOLE_MOST) {
            sound = isSent(c) && first(c, message);
        } else {
            sound = PgMessages.sound(message) && (isSent(c) ? answered(c, message) : greeting(c, message));
        }
        if (c.size > ANSWER_MOST || !sound) {
            // It may have run, and where the next answer starts nobody can tell.
            Log.warn("db node: a spoilt %s message", (char) message[0]);
            c.error = null;
            closeBroken(c);
        }
    }

    /** Takes the first piece of a long row; gives whether it may stand there. */
    private boolean first(PgConn c, byte[] message) {
        int length = PgFramer.int32(message, 1) + 1;
        if (c.at != At.HEAD || c.job().isProbe() || !PgMessages.row(message, length)) {
            return false;
        }
        c.at = At.ROW;
        c.row = message;
        c.left = length - message.length;
        c.answer.add(message);
        switch (pooler.answerStarted(c.job().attempt, c.answer.toArray(new byte[0][]), wait -> pauseReading(c, wait))) {
            case PASS_ON -> {
                c.passing = true;
                c.answer.clear();
            }
            case DROP -> {
                return false;
            }
            default -> {
                if (!ResourceBudgets.canBuffer(kept, length)) {
                    Log.warn("no room for an answer of %d bytes that must be held whole", length);
                    return false;
                }
                c.kept = length;
                kept += length;
            }
        }
        return true;
    }

    @Override
    protected void released(PooledConnection conn) {
        PgConn c = (PgConn) conn;
        kept -= c.kept;
        c.kept = 0;
        c.answer = new ArrayList<>(3);
        c.row = null;
    }

    private boolean piece(PgConn c, byte[] piece) {
        c.left -= piece.length;
        if (c.passing) {
            pooler.answerChunk(c.job().attempt, piece);
        } else {
            c.answer.add(piece);
        }
        return true;
    }

    /** Before the first request; gives whether the message may stand there. */
    private boolean greeting(PgConn c, byte[] message) {
        switch (message[0]) {
            case 'R', 'S', 'K', 'N' -> {}
            case 'E' -> c.error = ending(message);
            case 'Z' -> connectionReady(c);
            default -> {
                return false;
            }
        }
        return true;
    }

    /** Takes a message of an answer: T, D, C or an error, then Z. Gives whether it may stand there. */
    private boolean answered(PgConn c, byte[] message) {
        At next =
                switch (message[0]) {
                    case 'S', 'N' -> c.at;
                    case 'T' -> c.at == At.START ? At.HEAD : null;
                    case 'D' -> c.at == At.HEAD ? At.ROW : null;
                    case 'C' -> c.at == At.HEAD || c.at == At.ROW ? At.COMPLETE : null;
                    case 'E' -> c.at == At.COMPLETE || c.at == At.FAILED ? null : At.FAILED;
                    case 'Z' -> c.at == At.COMPLETE || c.at == At.FAILED ? c.at : null;
                    default -> null;
                };
        if (next == null) {
            return false;
        }
        c.at = next;
        switch (message[0]) {
            case 'S' -> status(c, message);
            case 'T', 'C' -> c.answer.add(message);
            case 'D' -> {
                c.answer.add(message);
                c.row = message;
            }
            case 'E' -> c.error = ending(message);
            case 'Z' -> ready(c);
            default -> {}
        }
        return true;
    }

    private static AttemptOutcome ending(byte[] message) {
        String code = PgMessages.errorField(message, 'C');
        return switch (code) {
            case "25006", "72000" -> AttemptOutcome.MISSED;
            case "53300", "57P03" -> AttemptOutcome.REJECTED;
            case "XX000" -> AttemptOutcome.ERROR;
            default -> {
                Log.warn("db node answers %s: %s", code, PgMessages.errorField(message, 'M'));
                yield AttemptOutcome.ERROR;
            }
        };
    }

    /** Role and position stand beside rows and errors alike. */
    private void status(PgConn c, byte[] message) {
        String name = PgMessages.text(message, 5);
        if (!name.equals("as_of") && !name.equals("rank")) {
            return;
        }
        String value = PgMessages.text(message, 5 + name.length() + 1);
        if (name.equals("rank")) {
            c.role = role(value);
        } else {
            c.position = LogPositionParser.parse(value, 3, loop.now());
        }
    }

    private static ServerRole role(String rank) {
        return switch (rank) {
            case "source" -> ServerRole.PRIMARY;
            case "copy" -> ServerRole.REPLICA;
            default -> ServerRole.UNKNOWN;
        };
    }

    private void ready(PgConn c) {
        if (c.job().isProbe()) {
            vitals(c);
            return;
        }
        AttemptOutcome ending =
                c.error != null ? c.error : c.row != null ? AttemptOutcome.SERVED : AttemptOutcome.ERROR;
        byte[][] answer = ending == AttemptOutcome.SERVED ? c.answer.toArray(new byte[0][]) : null;
        completeJob(c, true, ending, answer, c.position, c.role);
    }

    /** The report's one row: {@code x0=seconds,x1=0}. */
    private void vitals(PgConn c) {
        AttemptOutcome ending =
                c.error != null ? c.error : c.row != null ? AttemptOutcome.SERVED : AttemptOutcome.ERROR;
        long position = LogPosition.UNKNOWN;
        ServerRole role = ServerRole.UNKNOWN;
        if (ending == AttemptOutcome.SERVED && c.row.length > 11) {
            String report = new String(c.row, 11, c.row.length - 11, java.nio.charset.StandardCharsets.UTF_8);
            for (String field : report.split(",")) {
                if (field.startsWith("x0=")) {
                    position = LogPositionParser.parse(field.substring(3), 6, loop.now());
                } else if (field.matches("x1=[01](\\.0+)?")) {
                    role = field.startsWith("x1=1") ? ServerRole.PRIMARY : ServerRole.REPLICA;
                }
            }
        }
        completeJob(c, true, ending, null, position, role);
    }

    @Override
    protected AttemptOutcome knownOutcome(PooledConnection conn) {
        return ((PgConn) conn).error;
    }
}
