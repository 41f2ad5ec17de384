package lupinvalve.mysql;

import java.util.List;
import lupinvalve.core.SqlDialect;
import lupinvalve.core.Statement;
import lupinvalve.net.Framer;
import lupinvalve.routing.RequestClass;

/**
 * Tells until when a command that waits for those before it has to start, from what can be read of it before its turn.
 * Core thread only.
 */
final class WaitingCommands {
    /** Of a request's time, the part that it may wait for answers that are held back is one in this many. */
    private static final int WAIT_DIVISOR = 2;

    private static final long MICROS_PER_MILLI = 1000;
    private static final int MAX_TIMEOUT_DIGITS = 9;

    private final long shortestTimeMicros;

    WaitingCommands(List<RequestClass> classes) {
        shortestTimeMicros =
                classes.stream().mapToLong(RequestClass::deadlineMicros).min().orElse(0);
    }

    /**
     * Until when a command has to start, in Unix microseconds; {@link Long#MAX_VALUE} for one that needs no db node.
     *
     * @param atMicros when its last byte arrived
     */
    long startByMicros(MysqlClient client, byte[] packet, long atMicros) {
        try {
            PacketReader in = new PacketReader(packet);
            return switch (in.int1()) {
                case Protocol.COM_QUERY -> atMicros + timeMicros(query(client, in)) / WAIT_DIVISOR;
                case Protocol.COM_STMT_EXECUTE -> atMicros + timeMicros(prepared(client, in)) / WAIT_DIVISOR;
                default -> Long.MAX_VALUE;
            };
        } catch (Framer.Malformed e) {
            return Long.MAX_VALUE;
        }
    }

    private static Statement query(MysqlClient client, PacketReader in) throws Framer.Malformed {
        MysqlRequest request = MysqlRequest.ofQuery(client, in);
        request.applyAttributes();
        return request.statement();
    }

    /** The statement that is executed, without its attributes, which only its execution can read. */
    private static Statement prepared(MysqlClient client, PacketReader in) throws Framer.Malformed {
        return new Statement(client.preparedStatements.text(in.fixedInt(4)), SqlDialect.MYSQL);
    }

    /** The time that a statement states; that of the shortest class where it states none. */
    private long timeMicros(Statement statement) {
        String millis = statement.field("d");
        boolean isStated = millis != null && millis.matches("[0-9]{1," + MAX_TIMEOUT_DIGITS + "}");
        return isStated ? Long.parseLong(millis) * MICROS_PER_MILLI : shortestTimeMicros;
    }
}
