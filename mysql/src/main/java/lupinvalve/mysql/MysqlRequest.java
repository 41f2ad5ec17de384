package lupinvalve.mysql;

import java.util.ArrayList;
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
record MysqlRequest(
        byte[] text,
        Statement statement,
        boolean prepared,
        List<Params.Param> params,
        int values,
        List<LongData> ahead) {
    /** A piece of a value that was sent ahead. */
    record LongData(int param, byte[] bytes) {}

    /** An answer: packets before the closing OK, as bytes that came, and that OK. */
    record Answer(List<byte[]> packets, int columns, Protocol.Ok ok) {
        /**
         * The whole answer as a client with the given capabilities reads it, numbered from 1.
         *
         * @param newer whether the client reads no EOF packets
         */
        byte[][] packets(boolean newer, long capabilities) {
            List<byte[]> out = new ArrayList<>();
            for (byte[] packet : packets) {
                out.add(Out.packet(packet, 4, out.size() + 1));
                if (out.size() == columns + 1 && !newer) {
                    out.add(Protocol.eof(ok.status(), out.size() + 1));
                }
            }
            int sequence = out.size() + 1;
            if (out.isEmpty()) {
                out.add(ok.packet(0, capabilities, sequence));
            } else {
                out.add(newer ? ok.packet(0xFE, capabilities, sequence) : Protocol.eof(ok.status(), sequence));
            }
            return out.toArray(new byte[0][]);
        }
    }
}
