package lupinvalve.mysql;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import lupinvalve.core.SqlDialect;
import lupinvalve.core.Statement;
import lupinvalve.log.RepeatedWarnings;
import lupinvalve.maintenance.ByteBudget;
import lupinvalve.net.Framer;

/**
 * The prepared statements of one client, under statement ids of the pooler's own, so that they stay valid whichever db
 * node executes them. Answers the commands on prepared statements that need no db node. Core thread only.
 */
final class PreparedStatements {
    private static final int MAX_STATEMENTS = 256;
    private static final int MAX_PLACEHOLDERS = 65535;
    /** Bound on the values sent by COM_STMT_SEND_LONG_DATA for one execution. */
    private static final int MAX_LONG_DATA_BYTES = 1 << 20;

    private static final int TOO_MANY_PLACEHOLDERS = 1390;
    private static final int TOO_MANY_STATEMENTS = 1461;
    private static final int WRONG_ARGUMENTS = 1210;
    private static final int UNKNOWN_STATEMENT = 1243;
    /** A statement up to this size is not held against its client's share of the memory. */
    private static final int SHORT_STATEMENT_BYTES = 4096;
    /** Memory of a prepared statement beside its text. */
    private static final int STATEMENT_BYTES = 256;

    private static final RepeatedWarnings WARNINGS = new RepeatedWarnings();

    private final MysqlClient client;
    private final ByteBudget memory;
    private final Map<Long, Prepared> statements = new HashMap<>();
    /** What the client's statements and values take of the memory. */
    private long heldBytes;

    private long lastId;

    private static final class Prepared {
        final byte[] text;
        final int placeholders;
        /**
         * Parameters of the last execution without their values, whose types apply to an execution without types; null
         * before the first.
         */
        List<Params.Param> lastParams;
        /** Pieces of values for the next execution. */
        List<MysqlRequest.LongData> longData = new ArrayList<>();

        int longDataBytes;
        /** Whether a piece of a value was dropped, so that the next execution must be rejected. */
        boolean isIncomplete;
        /** What the statement counts towards the memory for prepared statements, without its values. */
        long memoryBytes;

        Prepared(byte[] text, int placeholders) {
            this.text = text;
            this.placeholders = placeholders;
        }

        /** Memory that the values take. */
        long longDataMemoryBytes() {
            return longDataBytes + (long) longData.size() * MysqlRequest.PART_BYTES;
        }
    }

    /** @param memory memory for the prepared statements of all clients */
    PreparedStatements(MysqlClient client, ByteBudget memory) {
        this.client = client;
        this.memory = memory;
    }

    /**
     * Reserves bytes within the client's share, or releases them if the number is negative; false if there are none.
     */
    private boolean reserve(long bytes) {
        return count(bytes, bytes <= 0 ? memory.reserve(bytes) : memory.reserve(bytes, heldBytes));
    }

    /** As {@link #reserve}; short statements need no share, as a client can have few of them. */
    private boolean reserveStatement(long bytes) {
        return bytes <= SHORT_STATEMENT_BYTES ? count(bytes, memory.reserve(bytes)) : reserve(bytes);
    }

    private boolean count(long bytes, boolean isReserved) {
        heldBytes += isReserved ? bytes : 0;
        return isReserved;
    }

    private void release(long bytes) {
        memory.add(-bytes);
        heldBytes -= bytes;
    }

    /**
     * Answers COM_STMT_PREPARE without a db node: a prepare runs nothing, and need not name the cluster from which a db
     * node would be chosen.
     */
    void prepare(byte[] text) {
        int placeholders = new Statement(text, SqlDialect.MYSQL).placeholderCount();
        long memoryBytes = text.length + STATEMENT_BYTES;
        if (placeholders > MAX_PLACEHOLDERS || statements.size() >= MAX_STATEMENTS || !reserveStatement(memoryBytes)) {
            client.error(
                    placeholders > MAX_PLACEHOLDERS ? TOO_MANY_PLACEHOLDERS : TOO_MANY_STATEMENTS,
                    placeholders > MAX_PLACEHOLDERS ? "HY000" : "42000",
                    "Too many placeholders or prepared statements");
            return;
        }
        long id = ++lastId;
        Prepared statement = new Prepared(text, placeholders);
        statement.memoryBytes = memoryBytes;
        statements.put(id, statement);
        int sequence = 1;
        List<byte[]> answer = new ArrayList<>();
        answer.add(new PacketWriter()
                .int1(0)
                .fixedInt(id, 4)
                .fixedInt(0, 2)
                .fixedInt(placeholders, 2)
                .int1(0)
                .fixedInt(0, 2)
                .packet(sequence++));
        for (int i = 0; i < placeholders; i++) {
            answer.add(new PacketWriter()
                    .lengthEncoded("def")
                    .lengthEncoded("")
                    .lengthEncoded("")
                    .lengthEncoded("")
                    .lengthEncoded("?")
                    .lengthEncoded("")
                    .lengthEncodedInt(12)
                    .fixedInt(63, 2)
                    .fixedInt(0, 4)
                    .int1(0xFD)
                    .fixedInt(128, 2)
                    .int1(0)
                    .fixedInt(0, 2)
                    .packet(sequence++));
        }
        if (placeholders > 0 && !client.hasCapability(Protocol.DEPRECATE_EOF)) {
            answer.add(Protocol.eof(Protocol.STATUS_AUTOCOMMIT, sequence));
        }
        client.link.write(answer.toArray(new byte[0][]));
    }

    /** The text of a statement; empty if there is none with this id. */
    byte[] text(long id) {
        Prepared statement = statements.get(id);
        return statement == null ? new byte[0] : statement.text;
    }

    /** Takes COM_STMT_SEND_LONG_DATA, which has no answer: keeps a piece of a value for the next execution. */
    void takeLongData(PacketReader in) throws Framer.Malformed {
        Prepared statement = statements.get(in.fixedInt(4));
        int param = (int) in.fixedInt(2);
        byte[] bytes = in.rest();
        if (statement == null || param >= statement.placeholders || statement.isIncomplete) {
            return;
        }
        if (statement.longDataBytes + bytes.length > MAX_LONG_DATA_BYTES) {
            throw new Framer.Malformed("values sent ahead are too long");
        }
        if (!reserve(bytes.length + MysqlRequest.PART_BYTES)) {
            WARNINGS.warn("values sent ahead are dropped and their executions refused: memory for them is used up");
            markIncomplete(statement);
            return;
        }
        statement.longDataBytes += bytes.length;
        statement.longData.add(new MysqlRequest.LongData(param, bytes));
    }

    /** A piece of a value, or the command to discard earlier ones, was dropped: the next execution is rejected. */
    void markIncomplete(long id) {
        Prepared statement = statements.get(id);
        if (statement != null) {
            markIncomplete(statement);
        }
    }

    /** As {@link #markIncomplete(long)}, for all statements. */
    void markAllIncomplete() {
        statements.values().forEach(this::markIncomplete);
    }

    private void markIncomplete(Prepared statement) {
        clearValues(statement);
        statement.isIncomplete = true;
    }

    /** An execution was rejected before it was read: discards the values for it. */
    void clearValues(long id) {
        Prepared statement = statements.get(id);
        if (statement != null) {
            clearValues(statement);
        }
    }

    private void clearValues(Prepared statement) {
        release(statement.longDataMemoryBytes());
        statement.longData = new ArrayList<>();
        statement.longDataBytes = 0;
        statement.isIncomplete = false;
    }

    /** Reads COM_STMT_EXECUTE; null where it has been answered with an error. */
    MysqlRequest execute(PacketReader in) throws Framer.Malformed {
        Prepared statement = statements.get(in.fixedInt(4));
        if (statement == null) {
            sendUnknownStatement();
            return null;
        }
        if (statement.isIncomplete) {
            clearValues(statement);
            client.error(MysqlClient.REQUEST_REJECTED, "42000", "a value was not taken: a repeat does no harm");
            return null;
        }
        int flags = in.int1();
        in.fixedInt(4);
        List<Params.Param> params = List.of();
        boolean hasNames = client.hasCapability(Protocol.QUERY_ATTRIBUTES);
        int count = statement.placeholders;
        if (hasNames && (count > 0 || (flags & Protocol.PARAMETER_COUNT_AVAILABLE) != 0)) {
            count = Params.checkedCount(in.lengthEncodedInt());
        }
        if (count < statement.placeholders) {
            clearValues(statement);
            client.error(WRONG_ARGUMENTS, "HY000", "Incorrect arguments to EXECUTE");
            return null;
        }
        if (count > 0) {
            params = Params.read(in, count, hasNames, statement.lastParams, sentAsLongData(statement));
            if (!keepTypes(statement, params)) {
                clearValues(statement);
                client.error(MysqlClient.REQUEST_REJECTED, "42000", "no memory for its types: a repeat does no harm");
                return null;
            }
        }
        List<MysqlRequest.LongData> longData = statement.longData;
        clearValues(statement);
        return new MysqlRequest(
                statement.text,
                new Statement(statement.text, SqlDialect.MYSQL),
                true,
                params,
                statement.placeholders,
                longData);
    }

    /** Keeps the types of an execution for the next one; false if there is no memory for them. */
    private boolean keepTypes(Prepared statement, List<Params.Param> params) {
        long memoryBytes = statement.text.length + STATEMENT_BYTES;
        for (Params.Param param : params) {
            memoryBytes += MysqlRequest.PART_BYTES + param.name().length();
        }
        if (!reserveStatement(memoryBytes - statement.memoryBytes)) {
            return false;
        }
        statement.memoryBytes = memoryBytes;
        statement.lastParams = params.stream().map(Params.Param::withoutValue).toList();
        return true;
    }

    /** For each placeholder whether its value was sent by COM_STMT_SEND_LONG_DATA. */
    private static List<Boolean> sentAsLongData(Prepared statement) {
        List<Boolean> sentAsLongData = new ArrayList<>();
        for (int i = 0; i < statement.placeholders; i++) {
            int param = i;
            sentAsLongData.add(statement.longData.stream().anyMatch(piece -> piece.param() == param));
        }
        return sentAsLongData;
    }

    /** Answers COM_STMT_RESET: discards the long data sent for a statement. */
    void reset(long id) {
        Prepared statement = statements.get(id);
        if (statement == null) {
            sendUnknownStatement();
        } else {
            clearValues(statement);
            client.ok();
        }
    }

    /** Takes COM_STMT_CLOSE, which has no answer: removes a statement. */
    void close(long id) {
        Prepared statement = statements.remove(id);
        if (statement != null) {
            release(statement);
        }
    }

    private void release(Prepared statement) {
        clearValues(statement);
        release(statement.memoryBytes);
    }

    /** Removes all statements; their ids are not reused. */
    void clear() {
        statements.values().forEach(this::release);
        statements.clear();
    }

    private void sendUnknownStatement() {
        client.error(UNKNOWN_STATEMENT, "HY000", "Unknown prepared statement");
    }
}
