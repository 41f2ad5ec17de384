package lupinvalve.mysql;

import java.util.List;
import lupinvalve.core.Statement;

/**
 * What a client asked, ready to be said to any db node.
 *
 * @param prepared whether it executes a prepared statement; its values come first in {@code params}
 * @param params values, then query attributes
 * @param values how many of them are values
 * @param ahead values that were sent ahead as long data
 */
record MysqlRequest(byte[] text, Statement statement, boolean prepared, List<Params.Param> params, int values,
        List<LongData> ahead) {
    /** A piece of a value that was sent ahead. */
    record LongData(int param, byte[] bytes) {}

    /** An answer: packets before the closing OK, as bytes that came, and that OK. */
    record Answer(List<byte[]> packets, int columns, Protocol.Ok ok) {}
}
