package lupinvalve.mysql;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import lupinvalve.core.Statement;
import lupinvalve.net.Framer;

/**
 * The prepared statements of one client, under numbers of the pooler's own, so that each outlives the db node that
 * first ran it. Answers the commands that need no db node.
 */
final class PreparedStatements {
    private static final int STATEMENTS_MOST = 256;
    private static final int PLACES_MOST = 65535;
    /** Bytes of the values sent ahead for one execution. */
    private static final int AHEAD_MOST = 1 << 20;

    private static final int TOO_MANY_PLACES = 1390;
    private static final int TOO_MANY_STATEMENTS = 1461;
    private static final int WRONG_ARGUMENTS = 1210;
    private static final int UNKNOWN_STATEMENT = 1243;
    private final MysqlClient client;
    private final Map<Long, Prepared> statements = new HashMap<>();
    private long lastId;

    private static final class Prepared {
        final byte[] text;
        final int places;
        /** Types of the last execution's values. */
        List<Params.Param> types;

        List<MysqlRequest.LongData> ahead = new ArrayList<>();
        int aheadBytes;

        Prepared(byte[] text, int places) {
            this.text = text;
            this.places = places;
        }

        void forgetAhead() {
            ahead = new ArrayList<>();
            aheadBytes = 0;
        }
    }

    PreparedStatements(MysqlClient client) {
        this.client = client;
    }

    /** Answered by the front alone: a prepare runs nothing, and names no group that a db node could be chosen from. */
    void prepare(byte[] text) {
        int places = Params.places(text);
        if (places > PLACES_MOST || statements.size() >= STATEMENTS_MOST) {
            client.error(
                    places > PLACES_MOST ? TOO_MANY_PLACES : TOO_MANY_STATEMENTS,
                    places > PLACES_MOST ? "HY000" : "42000",
                    "Too many placeholders or prepared statements");
            return;
        }
        long id = ++lastId;
        statements.put(id, new Prepared(text, places));
        int sequence = 1;
        client.link.write(new Out()
                .int1(0)
                .fixed(id, 4)
                .fixed(0, 2)
                .fixed(places, 2)
                .int1(0)
                .fixed(0, 2)
                .packet(sequence++));
        for (int i = 0; i < places; i++) {
            client.link.write(new Out()
                    .counted("def")
                    .counted("")
                    .counted("")
                    .counted("")
                    .counted("?")
                    .counted("")
                    .lenenc(12)
                    .fixed(63, 2)
                    .fixed(0, 4)
                    .int1(0xFD)
                    .fixed(128, 2)
                    .int1(0)
                    .fixed(0, 2)
                    .packet(sequence++));
        }
        if (places > 0 && !client.has(Protocol.DEPRECATE_EOF)) {
            client.link.write(Protocol.eof(Protocol.STATUS_AUTOCOMMIT, sequence));
        }
    }

    /** Keeps a piece of a value for the next execution. */
    void longData(In in) throws Framer.Malformed {
        Prepared statement = statements.get(in.fixed(4));
        int param = (int) in.fixed(2);
        byte[] bytes = in.rest();
        if (statement == null || param >= statement.places) {
            return;
        }
        statement.aheadBytes += bytes.length;
        if (statement.aheadBytes > AHEAD_MOST) {
            throw new Framer.Malformed("values sent ahead are too long");
        }
        statement.ahead.add(new MysqlRequest.LongData(param, bytes));
    }

    /** Reads an execution's values; null where the command was answered with an error. */
    MysqlRequest execute(In in) throws Framer.Malformed {
        Prepared statement = statements.get(in.fixed(4));
        if (statement == null) {
            unknown();
            return null;
        }
        int flags = in.int1();
        in.fixed(4);
        List<MysqlRequest.LongData> ahead = statement.ahead;
        List<Params.Param> params = List.of();
        boolean named = client.has(Protocol.QUERY_ATTRIBUTES);
        int count = statement.places;
        if (named && (count > 0 || (flags & Protocol.COUNT_TOLD) != 0)) {
            count = Params.count(in.lenenc());
        }
        if (count < statement.places) {
            client.error(WRONG_ARGUMENTS, "HY000", "Incorrect arguments to EXECUTE");
            return null;
        }
        if (count > 0) {
            params = Params.read(in, count, named, statement.types, sentAhead(statement));
            statement.types = params;
        }
        statement.forgetAhead();
        return new MysqlRequest(statement.text, new Statement(statement.text), true, params, statement.places, ahead);
    }

    /** For each value whether it was sent ahead. */
    private static List<Boolean> sentAhead(Prepared statement) {
        List<Boolean> sentAhead = new ArrayList<>();
        for (int i = 0; i < statement.places; i++) {
            int param = i;
            sentAhead.add(statement.ahead.stream().anyMatch(piece -> piece.param() == param));
        }
        return sentAhead;
    }

    /** Drops what was sent ahead for a statement. */
    void reset(long id) {
        Prepared statement = statements.get(id);
        if (statement == null) {
            unknown();
        } else {
            statement.forgetAhead();
            client.ok();
        }
    }

    /** Forgets a statement; nothing is answered. */
    void close(long id) {
        statements.remove(id);
    }

    /** Forgets all statements; their numbers are not given again. */
    void clear() {
        statements.clear();
    }

    private void unknown() {
        client.error(UNKNOWN_STATEMENT, "HY000", "Unknown prepared statement");
    }
}
