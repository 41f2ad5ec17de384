package lupinvalve.mysql;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.util.ArrayList;
import java.util.List;
import lupinvalve.net.Framer;

/**
 * Parameters of COM_STMT_EXECUTE and COM_QUERY: values of placeholders, and query attributes, which are encoded alike.
 * Values are kept in their encoded form.
 */
final class Params {
    static final int STRING = 0xFE;
    private static final int BIT = 0x10;
    private static final int NEW_DECIMAL = 0xF6;
    private static final int MAX_COUNT = 65535;

    /**
     * One parameter.
     *
     * @param type the protocol's type code
     * @param value the encoded value as it came; null for NULL and for a value sent by COM_STMT_SEND_LONG_DATA
     * @param sentAsLongData whether the value was sent by COM_STMT_SEND_LONG_DATA
     */
    record Param(int type, String name, byte[] value, boolean sentAsLongData) {
        /** The parameter without its value. */
        Param withoutValue() {
            return new Param(type, name, null, false);
        }

        /**
         * The value as text where its type is a string or a number; null for any other type and for a missing value.
         */
        String text() {
            if (value == null) {
                return null;
            }
            try {
                PacketReader in = new PacketReader(
                        new PacketWriter().fixedInt(0, 4).raw(value).payload());
                return switch (type & 255) {
                    case 1 -> Long.toString((byte) in.fixedInt(1));
                    case 2, 13 -> Long.toString((short) in.fixedInt(2));
                    case 3, 9 -> Long.toString((int) in.fixedInt(4));
                    case 8 -> Long.toString(in.fixedInt(8));
                    case 4 -> Float.toString(Float.intBitsToFloat((int) in.fixedInt(4)));
                    case 5 -> Double.toString(Double.longBitsToDouble(in.fixedInt(8)));
                    case 6, 7, 10, 11, 12 -> null;
                    default -> in.lengthEncodedText();
                };
            } catch (Framer.Malformed e) {
                return null;
            }
        }

        /** Whether the type is one of strings; false for BIT and NEWDECIMAL, which are only encoded as strings. */
        boolean isText() {
            int typeCode = type & 255;
            return typeCode >= 15 && typeCode != BIT && typeCode != NEW_DECIMAL;
        }
    }

    private Params() {}

    /** Checks a number of parameters that a client sent. */
    static int checkedCount(long sent) throws Framer.Malformed {
        if (sent > MAX_COUNT) {
            throw new Framer.Malformed("too many parameters");
        }
        return (int) sent;
    }

    /** A parameter of a string type. */
    static Param text(String name, String value) {
        return new Param(
                STRING,
                name,
                new PacketWriter().lengthEncoded(value.getBytes(UTF_8)).payload(),
                false);
    }

    /**
     * Reads {@code count} parameters.
     *
     * @param hasNames whether each type is followed by the parameter's name
     * @param previous the parameters of the statement's last execution, whose types apply where the client sends none
     * @param sentAsLongData for each placeholder whether its value was sent by COM_STMT_SEND_LONG_DATA
     */
    static List<Param> read(
            PacketReader in, int count, boolean hasNames, List<Param> previous, List<Boolean> sentAsLongData)
            throws Framer.Malformed {
        byte[] nulls = in.raw((count + 7) / 8);
        boolean hasTypes = in.int1() == 1;
        if (!hasTypes && (previous == null || previous.size() != count)) {
            throw new Framer.Malformed("types of parameters are missing");
        }
        int[] types = new int[count];
        String[] names = new String[count];
        for (int i = 0; i < count; i++) {
            types[i] = hasTypes ? (int) in.fixedInt(2) : previous.get(i).type();
            names[i] = hasTypes
                    ? hasNames ? in.lengthEncodedText() : ""
                    : previous.get(i).name();
        }
        List<Param> params = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            boolean isLongData = i < sentAsLongData.size() && sentAsLongData.get(i);
            boolean isNull = (nulls[i / 8] >> i % 8 & 1) != 0;
            byte[] value = isNull || isLongData ? null : value(in, types[i] & 255);
            params.add(new Param(types[i], names[i], value, isLongData));
        }
        return params;
    }

    /** Reads a value of the given type code in the binary protocol; the result includes its length, if it has one. */
    static byte[] value(PacketReader in, int type) throws Framer.Malformed {
        int size =
                switch (type) {
                    case 1 -> 1;
                    case 2, 13 -> 2;
                    case 3, 4, 9 -> 4;
                    case 5, 8 -> 8;
                    case 6 -> 0;
                    default -> -1;
                };
        if (size >= 0) {
            return in.raw(size);
        }
        if (type == 7 || type >= 10 && type <= 12) {
            int length = in.int1();
            return new PacketWriter().int1(length).raw(in.raw(length)).payload();
        }
        return new PacketWriter().lengthEncoded(in.lengthEncodedBytes()).payload();
    }

    /**
     * Writes parameters: the NULL bitmap, the types and the values.
     *
     * @param hasNames whether each type is followed by the parameter's name, as with the QUERY_ATTRIBUTES capability
     */
    static void write(PacketWriter out, List<Param> params, boolean hasNames) {
        byte[] nulls = new byte[(params.size() + 7) / 8];
        for (int i = 0; i < params.size(); i++) {
            if (params.get(i).value() == null && !params.get(i).sentAsLongData()) {
                nulls[i / 8] |= (byte) (1 << i % 8);
            }
        }
        out.raw(nulls).int1(1);
        for (Param param : params) {
            out.fixedInt(param.type(), 2);
            if (hasNames) {
                out.lengthEncoded(param.name());
            }
        }
        for (Param param : params) {
            if (param.value() != null) {
                out.raw(param.value());
            }
        }
    }
}
