package lupinvalve.mysql;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;
import lupinvalve.core.SqlDialect;
import lupinvalve.core.Statement;
import lupinvalve.net.Framer;

/**
 * A client's request in a form that can be sent to any db node.
 *
 * @param text the statement as the client sent it
 * @param prepared whether it executes a prepared statement
 * @param params the values of the statement's placeholders, then the query attributes
 * @param valueCount how many of {@code params} are values of placeholders
 * @param longData pieces of values that were sent before the execution by COM_STMT_SEND_LONG_DATA
 */
record MysqlRequest(
        byte[] text,
        Statement statement,
        boolean prepared,
        List<Params.Param> params,
        int valueCount,
        List<LongData> longData) {
    /** Memory of a parameter, its type or a piece of its value beside its bytes. */
    static final int PART_BYTES = 64;

    /** Reads the rest of COM_QUERY. */
    static MysqlRequest ofQuery(MysqlClient client, PacketReader in) throws Framer.Malformed {
        List<Params.Param> attributes = List.of();
        if (client.hasCapability(Protocol.QUERY_ATTRIBUTES)) {
            int count = Params.checkedCount(in.lengthEncodedInt());
            in.lengthEncodedInt();
            if (count > 0) {
                attributes = Params.read(in, count, true, null, List.of());
            }
        }
        byte[] text = in.rest();
        return new MysqlRequest(text, new Statement(text, SqlDialect.MYSQL), false, attributes, 0, List.of());
    }

    /** Makes the query attributes fields of the statement. */
    void applyAttributes() {
        for (Params.Param attribute : params.subList(valueCount, params.size())) {
            if (attribute.text() != null) {
                statement.set(attribute.name(), attribute.text());
            }
        }
    }

    /**
     * The session's key: the first value of a string type, of those that stand in the text as literals and those of
     * placeholders; null if there is none or the text is cut. A statement names the same session whichever way its
     * values are sent.
     */
    String session() {
        if (statement.isCut()) {
            return null;
        }
        int beforeLiteral = Math.min(valueCount, statement.placeholdersBeforeLiteral());
        String key = firstText(0, beforeLiteral);
        if (key == null) {
            key = statement.sessionKey();
        }
        return key != null ? key : firstText(beforeLiteral, valueCount);
    }

    /** The first value of a string type among those of some placeholders, or null. */
    private String firstText(int from, int to) {
        for (int i = from; i < to; i++) {
            Params.Param param = params.get(i);
            String text = param.sentAsLongData() ? longDataText(i) : param.text();
            if (param.isText() && text != null) {
                return text;
            }
        }
        return null;
    }

    /** The value of a placeholder that was sent by COM_STMT_SEND_LONG_DATA. */
    private String longDataText(int param) {
        ByteArrayOutputStream value = new ByteArrayOutputStream();
        longData.stream().filter(piece -> piece.param() == param).forEach(piece -> value.writeBytes(piece.bytes()));
        return value.toString(UTF_8);
    }

    /** Bytes of memory that the request takes while it is open. */
    long memoryBytes() {
        long bytes = text.length;
        for (Params.Param param : params) {
            bytes += PART_BYTES + (param.value() == null ? 0 : param.value().length);
        }
        for (LongData piece : longData) {
            bytes += PART_BYTES + piece.bytes().length;
        }
        return bytes;
    }

    /** A piece of a value that was sent before the execution; {@code param} is the index of its placeholder. */
    record LongData(int param, byte[] bytes) {}

    /**
     * A db node's answer.
     *
     * @param packets the packets before the final OK packet, as they came; empty where the answer has no rows
     * @param columnCount number of column definitions in {@code packets}
     */
    record Answer(List<byte[]> packets, int columnCount, Protocol.Ok ok) {
        /** Bytes of the rows and column definitions. */
        long size() {
            return packets.stream().mapToLong(packet -> packet.length).sum();
        }

        /**
         * The whole answer for a client with the given capabilities, with sequence numbers from 1 on.
         *
         * @param deprecateEof whether the client has the DEPRECATE_EOF capability: an OK packet ends its result sets,
         *     and there is no EOF packet after the column definitions
         */
        byte[][] packets(boolean deprecateEof, long capabilities) {
            List<byte[]> out = new ArrayList<>();
            for (byte[] packet : packets) {
                out.add(PacketWriter.packet(packet, 4, out.size() + 1));
                if (out.size() == columnCount + 1 && !deprecateEof) {
                    out.add(Protocol.eof(ok.status(), out.size() + 1));
                }
            }
            int sequence = out.size() + 1;
            if (out.isEmpty()) {
                out.add(ok.packet(0, capabilities, sequence));
            } else {
                out.add(deprecateEof ? ok.packet(0xFE, capabilities, sequence) : Protocol.eof(ok.status(), sequence));
            }
            return out.toArray(new byte[0][]);
        }
    }
}
