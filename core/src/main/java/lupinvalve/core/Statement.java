package lupinvalve.core;

import static java.nio.charset.StandardCharsets.US_ASCII;
import static java.nio.charset.StandardCharsets.UTF_8;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;
import lupinvalve.routing.RequestClass;

/**
 * A statement as a client sent it, with the few fields that the decisions need taken out of its closing comment. The
 * bytes go on as they came; only the value of {@code d} is rewritten.
 */
public final class Statement {
    private static final Pattern NUMBER = Pattern.compile("[0-9]{1,15}");
    private static final int ID_MOST = 128;
    private final byte[] text;
    private final Map<String, String> fields = new HashMap<>();
    private int waitFrom = -1, waitTo = -1;

    /** Reads the last comment of the statement; one with none has no fields. */
    public Statement(byte[] text) {
        this.text = text;
        int to = lastOf('*', '/', text.length);
        int from = to < 0 ? -1 : lastOf('/', '*', to);
        if (from >= 0) {
            read(from + 2, to);
        }
    }

    private int lastOf(char first, char second, int before) {
        for (int i = before - 2; i >= 0; i--) {
            if (text[i] == first && text[i + 1] == second) {
                return i;
            }
        }
        return -1;
    }

    private void read(int from, int to) {
        int at = from;
        while (at < to) {
            int end = at;
            while (end < to && text[end] != ',') {
                end++;
            }
            int equals = at;
            while (equals < end && text[equals] != '=') {
                equals++;
            }
            if (equals < end) {
                String name = new String(text, at, equals - at, UTF_8).strip();
                fields.put(name, new String(text, equals + 1, end - equals - 1, UTF_8).strip());
                if (name.equals("d")) {
                    waitFrom = equals + 1;
                    waitTo = end;
                    while (waitTo > waitFrom && text[waitTo - 1] == ' ') {
                        waitTo--;
                    }
                }
            }
            at = end + 1;
        }
    }

    /** Sets a field that came beside the statement, such as a query attribute; it goes before the comment's. */
    public void set(String name, String value) {
        fields.put(name, value);
    }

    public String field(String name) {
        return fields.get(name);
    }

    public int size() {
        return text.length;
    }

    /** The first quoted literal, which names the session, or null. */
    public String key() {
        int from = 0;
        while (from < text.length && text[from] != '\'') {
            from++;
        }
        int to = from + 1;
        while (to < text.length && (text[to] != '\'' || to + 1 < text.length && text[to + 1] == '\'')) {
            to += text[to] == '\'' ? 2 : 1;
        }
        return to < text.length ? new String(text, from + 1, to - from - 1, UTF_8) : null;
    }

    /** The statement with {@code d} as the time left, everything else as it came. */
    public byte[] bytes(long leftMicros) {
        if (waitFrom < 0) {
            return text;
        }
        byte[] left = Long.toString(Math.max(1, leftMicros / 1000)).getBytes(US_ASCII);
        byte[] out = new byte[text.length - (waitTo - waitFrom) + left.length];
        System.arraycopy(text, 0, out, 0, waitFrom);
        System.arraycopy(left, 0, out, waitFrom, left.length);
        System.arraycopy(text, waitTo, out, waitFrom + left.length, text.length - waitTo);
        return out;
    }

    /**
     * What the core is asked.
     *
     * @param session the session's key, or null to take the first quoted literal
     * @param carried what goes to the backend
     */
    public ClientRequest toRequest(
            List<RequestClass> classes, long arrivedMicros, String session, String protocol, Object carried)
            throws InvalidStatementException {
        String name = fields.get("c");
        int index = 0;
        while (index < classes.size() && !classes.get(index).name().equals(name)) {
            index++;
        }
        if (index == classes.size()) {
            throw new InvalidStatementException(
                    name == null ? "field c, the class, is missing" : "field c names no class");
        }
        String id = fields.get("id");
        if (id == null || id.isEmpty() || id.length() > ID_MOST) {
            throw new InvalidStatementException("field id is missing or too long");
        }
        long wait = number("d");
        long group = number("cluster");
        if (wait <= 0) {
            throw new InvalidStatementException("field d is missing or no time to wait");
        }
        if (group < 0 || group > Integer.MAX_VALUE) {
            throw new InvalidStatementException("field cluster is missing or no group");
        }
        // What a client claims to wait can't be longer than a class allows: it would hold its slot for ever.
        long most = Math.max(classes.get(index).deadlineMicros() / 1000, 1);
        return new ClientRequest(
                id,
                index,
                "1".equals(fields.get("r")),
                session != null ? session : key(),
                Math.max(0, number("after")) * 1000,
                (int) group,
                arrivedMicros,
                arrivedMicros + Math.min(wait, most) * 1000,
                protocol,
                carried);
    }

    /** A field's whole number, or -1 where it is missing. Nothing is guessed for one that is no such number. */
    private long number(String name) throws InvalidStatementException {
        String value = fields.get(name);
        if (value == null) {
            return -1;
        }
        if (!NUMBER.matcher(value).matches()) {
            throw new InvalidStatementException("field " + name + " is no number");
        }
        return Long.parseLong(value);
    }
}
