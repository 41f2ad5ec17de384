package lupinvalve.mysql;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.util.ArrayList;
import java.util.List;
import lupinvalve.net.Framer;

/** Values bound to a statement, and query attributes, which travel in the same form. Values stay as their bytes. */
final class Params {
    static final int STRING = 0xFE;
    private static final int COUNT_MOST = 65535;

    /** One value; {@code value} is its bytes as they came, or null for NULL or a value sent ahead. */
    record Param(int type, String name, byte[] value, boolean ahead) {
        /** The value where it is a text or a whole number. */
        String text() {
            if (value == null) {
                return null;
            }
            try {
                In in = new In(new Out().fixed(0, 4).raw(value).payload());
                return switch (type & 255) {
                    case 1 -> Long.toString((byte) in.fixed(1));
                    case 2, 13 -> Long.toString((short) in.fixed(2));
                    case 3, 9 -> Long.toString((int) in.fixed(4));
                    case 8 -> Long.toString(in.fixed(8));
                    case 4 -> Float.toString(Float.intBitsToFloat((int) in.fixed(4)));
                    case 5 -> Double.toString(Double.longBitsToDouble(in.fixed(8)));
                    case 6, 7, 10, 11, 12 -> null;
                    default -> in.countedText();
                };
            } catch (Framer.Malformed e) {
                return null;
            }
        }

        boolean textual() {
            int kind = type & 255;
            return kind >= 15 && kind != 16;
        }
    }

    private Params() {}

    /** A count of values as it was told, if it may be. */
    static int count(long told) throws Framer.Malformed {
        if (told > COUNT_MOST) {
            throw new Framer.Malformed("too many parameters");
        }
        return (int) told;
    }

    static Param text(String name, String value) {
        return new Param(STRING, name, new Out().counted(value.getBytes(UTF_8)).payload(), false);
    }

    /**
     * Reads so many values.
     *
     * @param named whether names stand beside the types
     * @param before the types of the last execution, used where none are told
     * @param ahead for each value whether it was sent ahead as long data
     */
    static List<Param> read(In in, int count, boolean named, List<Param> before, List<Boolean> ahead)
            throws Framer.Malformed {
        byte[] nulls = in.raw((count + 7) / 8);
        boolean told = in.int1() == 1;
        if (!told && (before == null || before.size() != count)) {
            throw new Framer.Malformed("types of parameters are missing");
        }
        int[] types = new int[count];
        String[] names = new String[count];
        for (int i = 0; i < count; i++) {
            types[i] = told ? (int) in.fixed(2) : before.get(i).type();
            names[i] = told ? named ? in.countedText() : "" : before.get(i).name();
        }
        List<Param> params = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            boolean sentAhead = i < ahead.size() && ahead.get(i);
            boolean none = (nulls[i / 8] >> i % 8 & 1) != 0;
            params.add(new Param(types[i], names[i], none || sentAhead ? null : value(in, types[i] & 255), sentAhead));
        }
        return params;
    }

    static byte[] value(In in, int type) throws Framer.Malformed {
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
            return new Out().int1(length).raw(in.raw(length)).payload();
        }
        return new Out().counted(in.counted()).payload();
    }

    /** Writes values with their types, and names where the peer takes query attributes. */
    static void write(Out out, List<Param> params, boolean named) {
        byte[] nulls = new byte[(params.size() + 7) / 8];
        for (int i = 0; i < params.size(); i++) {
            if (params.get(i).value() == null && !params.get(i).ahead()) {
                nulls[i / 8] |= (byte) (1 << i % 8);
            }
        }
        out.raw(nulls).int1(1);
        for (Param p : params) {
            out.fixed(p.type(), 2);
            if (named) {
                out.counted(p.name());
            }
        }
        for (Param p : params) {
            if (p.value() != null) {
                out.raw(p.value());
            }
        }
    }

    /** Places for values in a statement: question marks outside quotes and comments. */
    static int places(byte[] text) {
        int count = 0;
        for (int i = 0; i < text.length; i++) {
            int b = text[i];
            int next = i + 1 < text.length ? text[i + 1] : 0;
            if (b == '?') {
                count++;
            } else if (b == '\'' || b == '"' || b == '`') {
                i = quoted(text, i);
            } else if (b == '#' || b == '-' && next == '-') {
                while (i < text.length && text[i] != '\n') {
                    i++;
                }
            } else if (b == '/' && next == '*') {
                i += 2;
                while (i + 1 < text.length && !(text[i] == '*' && text[i + 1] == '/')) {
                    i++;
                }
                i++;
            }
        }
        return count;
    }

    private static int quoted(byte[] text, int from) {
        int i = from + 1;
        while (i < text.length && text[i] != text[from]) {
            i += text[i] == '\\' && text[from] != '`' ? 2 : 1;
        }
        return i;
    }
}
