package lupinvalve.mysql;

import java.util.LinkedHashMap;
import java.util.Map;
import lupinvalve.net.Framer;

/**
 * Consecutive commands of one client that came while too many of its commands were waiting. They are not kept, but when
 * their turn comes those that have an answer are answered with an error, and prepared statements are marked by what was
 * dropped: an execution must not run without its values, or with values of an earlier one. Core thread only.
 */
final class RejectedCommands {
    /** As many as a client can have statements. */
    private static final int MAX_EFFECTS_COUNT = 256;

    /** What the last dropped command on a prepared statement means for the statement. */
    private enum Effect {
        /** A value, or the command that discards earlier values, was dropped: the next execution must be rejected. */
        INCOMPLETE,
        /** An execution was dropped, and the values for it are discarded with it. */
        CLEARED,
        /** The statement was closed. */
        CLOSED
    }

    private final Map<Long, Effect> effects = new LinkedHashMap<>();
    private boolean areAllIncomplete;
    private int answersDue;
    private boolean endsConnection;

    /** Whether a command has an answer in MySQL's protocol; the packet includes its header. */
    static boolean hasAnswer(byte[] packet) {
        return switch (code(packet)) {
            case Protocol.COM_STMT_SEND_LONG_DATA, Protocol.COM_STMT_CLOSE, Protocol.COM_QUIT -> false;
            default -> true;
        };
    }

    private static int code(byte[] packet) {
        return packet.length > MysqlFramer.HEADER_BYTES ? packet[MysqlFramer.HEADER_BYTES] & 255 : -1;
    }

    /** Adds the next command. */
    void add(byte[] packet) {
        if (endsConnection) {
            return;
        }
        answersDue += hasAnswer(packet) ? 1 : 0;
        switch (code(packet)) {
            case Protocol.COM_STMT_SEND_LONG_DATA, Protocol.COM_STMT_RESET -> add(packet, Effect.INCOMPLETE);
            case Protocol.COM_STMT_EXECUTE -> add(packet, Effect.CLEARED);
            case Protocol.COM_STMT_CLOSE -> add(packet, Effect.CLOSED);
            case Protocol.COM_RESET_CONNECTION -> markAllIncomplete();
            case Protocol.COM_QUIT -> endsConnection = true;
            default -> {
                // It concerns no prepared statement.
            }
        }
    }

    private void add(byte[] packet, Effect effect) {
        long statement;
        try {
            PacketReader in = new PacketReader(packet);
            in.int1();
            statement = in.fixedInt(4);
        } catch (Framer.Malformed e) {
            // It names no statement.
            return;
        }
        if (effects.get(statement) == Effect.CLOSED) {
            return;
        }
        if (effects.size() >= MAX_EFFECTS_COUNT && !effects.containsKey(statement)) {
            markAllIncomplete();
        } else {
            effects.put(statement, effect);
        }
    }

    private void markAllIncomplete() {
        areAllIncomplete = true;
        effects.values().removeIf(effect -> effect != Effect.CLOSED);
    }

    /** Applies what was dropped since the last call to a client's prepared statements. */
    void applyTo(PreparedStatements statements) {
        if (areAllIncomplete) {
            statements.markAllIncomplete();
        }
        effects.forEach((statement, effect) -> {
            switch (effect) {
                case INCOMPLETE -> statements.markIncomplete(statement);
                case CLEARED -> statements.clearValues(statement);
                case CLOSED -> statements.close(statement);
            }
        });
        areAllIncomplete = false;
        effects.clear();
    }

    /** Commands that have not been answered. */
    int answersDue() {
        return answersDue;
    }

    /** One of the commands has been answered. */
    void answered() {
        answersDue--;
    }

    /** Whether the last of them is the client's goodbye, behind which nothing comes. */
    boolean endsConnection() {
        return endsConnection;
    }
}
