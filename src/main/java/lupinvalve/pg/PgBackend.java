package lupinvalve.pg;

import java.io.ByteArrayOutputStream;
import java.math.BigDecimal;
import java.util.Arrays;
import lupinvalve.Routing;
import lupinvalve.Routing.Ending;
import lupinvalve.core.Pooler;
import lupinvalve.core.Statement;
import lupinvalve.log.Log;
import lupinvalve.net.Framer;
import lupinvalve.net.Net;
import lupinvalve.net.Pool;

/** Speaks PostgreSQL's protocol to db nodes: simple queries only. */
public final class PgBackend extends Pool {
    private static final int MESSAGE_MOST = 1 << 20;
    private static final byte[] PROBE = PgMessages.texts('Q', "SHOW vitals");
    private final byte[] startup;

    public PgBackend(Net net, Pooler pooler, Bounds bounds, String user, String database) {
        super(net, pooler, bounds);
        startup = PgMessages.startup(user, database);
    }

    private static final class PgConn extends Conn {
        private final ByteArrayOutputStream answer = new ByteArrayOutputStream(256);
        private Ending error;
        private int rows;
        private boolean complete;
        private byte[] row;
        private long position = Routing.NO_POSITION;
        private Routing.Role role = Routing.Role.UNKNOWN;

        PgConn(String node) {
            super(node);
        }
    }

    @Override
    protected Framer framer() {
        return new PgFramer(false, MESSAGE_MOST);
    }

    @Override
    protected Conn connect(String node) {
        return new PgConn(node);
    }

    @Override
    protected void opened(Conn conn) {
        conn.write(startup);
    }

    @Override
    protected void start(Conn conn) {
        PgConn c = (PgConn) conn;
        c.answer.reset();
        c.error = null;
        c.rows = 0;
        c.complete = false;
        c.row = null;
        c.position = Routing.NO_POSITION;
        c.role = Routing.Role.UNKNOWN;
        leaving(c);
        if (c.job().probe()) {
            c.write(PROBE);
            return;
        }
        byte[] text = ((Statement) c.job().statement).bytes(c.job().left(loop.now()));
        c.write(PgMessages.message('Q', Arrays.copyOf(text, text.length + 1)));
    }

    @Override
    protected void message(Conn conn, byte[] message) {
        PgConn c = (PgConn) conn;
        switch (message[0]) {
            case 'S' -> status(c, message);
            case 'T', 'C', 'D' -> {
                c.answer.writeBytes(message);
                if (message[0] == 'D') {
                    c.rows++;
                    c.row = message;
                }
                c.complete |= message[0] == 'C';
            }
            case 'E' -> c.error = ending(message);
            case 'Z' -> ready(c);
            default -> { }
        }
    }

    private static Ending ending(byte[] message) {
        String code = PgMessages.errorField(message, 'C');
        return switch (code) {
            case "25006", "72000" -> Ending.MISSED;
            case "53300", "57P03" -> Ending.TURNED_BACK;
            case "XX000" -> Ending.ERROR;
            default -> {
                Log.warn("db node answers %s: %s", code, PgMessages.errorField(message, 'M'));
                yield Ending.ERROR;
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
            try {
                c.position = new BigDecimal(value).movePointRight(3).longValue();
            } catch (NumberFormatException e) {
                Log.warn("db node tells as_of %s", value);
            }
        }
    }

    private static Routing.Role role(String rank) {
        return switch (rank) {
            case "source" -> Routing.Role.PRIMARY;
            case "copy" -> Routing.Role.REPLICA;
            default -> Routing.Role.UNKNOWN;
        };
    }

    private void ready(PgConn c) {
        if (!begun(c)) {
            greeted(c);
            return;
        }
        if (c.job().probe()) {
            vitals(c);
            return;
        }
        Ending ending = c.error != null ? c.error : c.complete && c.rows == 1 ? Ending.SERVED : Ending.ERROR;
        done(c, true, ending, ending == Ending.SERVED ? c.answer.toByteArray() : null, c.position, c.role);
    }

    /** The report's one row: {@code x0=seconds,x1=0}. */
    private void vitals(PgConn c) {
        Ending ending = c.error != null ? c.error : c.rows == 1 ? Ending.SERVED : Ending.ERROR;
        long position = Routing.NO_POSITION;
        Routing.Role role = Routing.Role.UNKNOWN;
        if (ending == Ending.SERVED && c.row.length > 11) {
            String report = new String(c.row, 11, c.row.length - 11, java.nio.charset.StandardCharsets.UTF_8);
            for (String field : report.split(",")) {
                try {
                    if (field.startsWith("x0=")) {
                        position = new BigDecimal(field.substring(3).strip()).movePointRight(6).longValue();
                    } else if (field.startsWith("x1=")) {
                        role = new BigDecimal(field.substring(3).strip()).signum() > 0 ? Routing.Role.PRIMARY
                                : Routing.Role.REPLICA;
                    }
                } catch (NumberFormatException e) {
                    Log.warn("db node reports %s", field);
                }
            }
        }
        done(c, true, ending, null, position, role);
    }

    @Override
    protected Ending known(Conn conn) {
        return ((PgConn) conn).error;
    }
}
