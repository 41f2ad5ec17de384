package lupinvalve.mysql;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import lupinvalve.core.Statement;
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
    private final MysqlClient client;
    private final Map<Long, Prepared> statements = new HashMap<>();
    private long lastId;

    private static final class Prepared {
        final byte[] text;
        final int placeholders;
        /** Parameters of the last execution, whose types apply to an execution without types; null before the first. */
        List<Params.Param> lastParams;
        /** Pieces of values for the next execution. */
        List<MysqlRequest.LongData> longData = new ArrayList<>();

        int longDataBytes;

        Prepared(byte[] text, int placeholders) {
            this.text = text;
            this.placeholders = placeholders;
        }

        void clearLongData() {
            longData = new ArrayList<>();
            longDataBytes = 0;
        }
    }

    PreparedStatements(MysqlClient client) {
        this.client = client;
    }

    /**
     * Answers COM_STMT_PREPARE without a db node: a prepare runs nothing, and need not name the cluster from which a db
     * node would be chosen.
     */
    void prepare(byte[] text) {
        int placeholders = Params.countPlaceholders(text);
        if (placeholders > MAX_PLACEHOLDERS || statements.size() >= MAX_STATEMENTS) {
            client.error(
                    placeholders > MAX_PLACEHOLDERS ? TOO_MANY_PLACEHOLDERS : TOO_MANY_STATEMENTS,
                    placeholders > MAX_PLACEHOLDERS ? "HY000" : "42000",
                    "Too many placeholders or prepared statements");
            return;
        }
        long id = ++lastId;
        statements.put(id, new Prepared(text, placeholders));
        int sequence = 1;
        client.link.write(new PacketWriter()
                .int1(0)
                .fixedInt(id, 4)
                .fixedInt(0, 2)
                .fixedInt(placeholders, 2)
                .int1(0)
                .fixedInt(0, 2)
                .packet(sequence++));
        for (int i = 0; i < placeholders; i++) {
            client.link.write(new PacketWriter()
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
            client.link.write(Protocol.eof(Protocol.STATUS_AUTOCOMMIT, sequence));
        }
    }

    /** Takes COM_STMT_SEND_LONG_DATA, which has no answer: keeps a piece of a value for the next execution. */
    void takeLongData(PacketReader in) throws Framer.Malformed {
        Prepared statement = statements.get(in.fixedInt(4));
        int param = (int) in.fixedInt(2);
        byte[] bytes = in.rest();
        if (statement == null || param >= statement.placeholders) {
            return;
        }
        statement.longDataBytes += bytes.length;
        if (statement.longDataBytes > MAX_LONG_DATA_BYTES) {
            throw new Framer.Malformed("values sent ahead are too long");
        }
        statement.longData.add(new MysqlRequest.LongData(param, bytes));
    }

    /** Reads COM_STMT_EXECUTE; null where it has been answered with an error. */
    MysqlRequest execute(PacketReader in) throws Framer.Malformed {
        Prepared statement = statements.get(in.fixedInt(4));
        if (statement == null) {
            sendUnknownStatement();
            return null;
        }
        int flags = in.int1();
        in.fixedInt(4);
        List<MysqlRequest.LongData> longData = statement.longData;
        List<Params.Param> params = List.of();
        boolean hasNames = client.hasCapability(Protocol.QUERY_ATTRIBUTES);
        int count = statement.placeholders;
        if (hasNames && (count > 0 || (flags & Protocol.PARAMETER_COUNT_AVAILABLE) != 0)) {
            count = Params.checkedCount(in.lengthEncodedInt());
        }
        if (count < statement.placeholders) {
            client.error(WRONG_ARGUMENTS, "HY000", "Incorrect arguments to EXECUTE");
            return null;
        }
        if (count > 0) {
            params = Params.read(in, count, hasNames, statement.lastParams, sentAsLongData(statement));
            statement.lastParams = params;
        }
        statement.clearLongData();
        return new MysqlRequest(
                statement.text, new Statement(statement.text), true, params, statement.placeholders, longData);
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
            statement.clearLongData();
            client.ok();
        }
    }

    /** Takes COM_STMT_CLOSE, which has no answer: removes a statement. */
    void close(long id) {
        statements.remove(id);
    }

    /** Removes all statements; their ids are not reused. */
    void clear() {
        statements.clear();
    }

    private void sendUnknownStatement() {
        client.error(UNKNOWN_STATEMENT, "HY000", "Unknown prepared statement");
    }
}
