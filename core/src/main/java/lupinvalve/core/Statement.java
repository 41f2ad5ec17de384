package lupinvalve.core;

import static java.nio.charset.StandardCharsets.US_ASCII;
import static java.nio.charset.StandardCharsets.UTF_8;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;
import lupinvalve.routing.RequestClass;

/**
 * A statement as the client sent it, with the fields of its last block comment, by which it is routed: {@code id}
 * (request id), {@code c} (request class), {@code cluster} (group of db nodes), {@code d} (timeout in milliseconds),
 * {@code r} (1 for a retry) and {@code after} (session token in milliseconds). The bytes are forwarded unchanged,
 * except that the value of {@code d} is replaced. Not thread-safe.
 */
public final class Statement {
    /** The fields that are read; a statement may have any number of others, which are not kept. */
    private static final List<String> FIELD_NAMES = List.of("id", "c", "cluster", "d", "r", "after");

    private static final Pattern NUMBER = Pattern.compile("[0-9]{1,15}");
    private static final int MAX_ID_CHARS = 128;
    private static final int MAX_SESSION_KEY_CHARS = 64;
    private static final int NONE = -1;
    private static final long MICROS_PER_MILLI = 1000;

    private final byte[] text;
    private final SqlText sql;
    private final Map<String, String> fields = new HashMap<>(FIELD_NAMES.size() * 2);
    /** Where the value of the timeout starts in the text, or {@link #NONE}. */
    private int timeoutStart = NONE;

    private int timeoutEnd = NONE;

    /** Reads the text by the rules of its dialect; without a block comment the statement has no fields. */
    public Statement(byte[] text, SqlDialect dialect) {
        this.text = text;
        sql = SqlText.read(text, dialect);
        if (sql.commentStart() != SqlText.NONE) {
            readFields(sql.commentStart(), sql.commentEnd());
        }
    }

    private void readFields(int from, int to) {
        int start = from;
        while (start < to) {
            int end = indexOf(',', start, to);
            int equals = indexOf('=', start, end);
            if (equals < end) {
                readField(start, equals, end);
            }
            start = end + 1;
        }
    }

    private int indexOf(char wanted, int from, int to) {
        int index = from;
        while (index < to && text[index] != wanted) {
            index++;
        }
        return index;
    }

    private void readField(int start, int equals, int end) {
        String name = fieldName(start, equals);
        if (name == null) {
            return;
        }
        fields.put(name, new String(text, equals + 1, end - equals - 1, UTF_8).strip());
        if (name.equals("d")) {
            timeoutStart = equals + 1;
            timeoutEnd = end;
            while (timeoutEnd > timeoutStart && text[timeoutEnd - 1] == ' ') {
                timeoutEnd--;
            }
        }
    }

    /** The name between two places of the text, without white space around it; null if it is none that is read. */
    private String fieldName(int from, int to) {
        int start = from;
        int end = to;
        while (start < end && text[start] >= 0 && text[start] <= ' ') {
            start++;
        }
        while (end > start && text[end - 1] >= 0 && text[end - 1] <= ' ') {
            end--;
        }
        for (int i = 0; i < FIELD_NAMES.size(); i++) {
            if (isText(start, end, FIELD_NAMES.get(i))) {
                return FIELD_NAMES.get(i);
            }
        }
        return null;
    }

    private boolean isText(int from, int to, String expected) {
        boolean isEqual = to - from == expected.length();
        for (int i = 0; isEqual && i < expected.length(); i++) {
            isEqual = text[from + i] == expected.charAt(i);
        }
        return isEqual;
    }

    /** Sets a field sent outside the text, such as a query attribute; it overrides the field in the comment. */
    public void set(String name, String value) {
        if (FIELD_NAMES.contains(name)) {
            fields.put(name, value);
        }
    }

    /** The value of a field that is read, or null. */
    public String field(String name) {
        return fields.get(name);
    }

    /** Length of the statement in bytes. */
    public int size() {
        return text.length;
    }

    /**
     * The session's key: the value of the first quoted literal, or a digest of it if it is long; null if there is none
     * or if the text is cut. Keys are kept after the request has ended, so clients must not choose their length.
     */
    public String sessionKey() {
        return sql.isCut() ? null : bounded(sql.firstLiteral());
    }

    /** Whether the text ends within a literal, a quoted name or a block comment. */
    public boolean isCut() {
        return sql.isCut();
    }

    /** The number of placeholders. */
    public int placeholderCount() {
        return sql.placeholders();
    }

    /** The number of placeholders before the first quoted literal; all of them if there is no literal. */
    public int placeholdersBeforeLiteral() {
        return sql.placeholdersBeforeLiteral();
    }

    private static String bounded(String key) {
        return key == null || key.length() <= MAX_SESSION_KEY_CHARS ? key : digest(key);
    }

    private static String digest(String text) {
        try {
            byte[] hash = MessageDigest.getInstance("SHA-256").digest(text.getBytes(UTF_8));
            return Base64.getEncoder().encodeToString(hash);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }

    /** The statement with the remaining time as the value of {@code d}, in milliseconds, at least 1. */
    public byte[] bytes(long remainingMicros) {
        if (timeoutStart == NONE) {
            return text;
        }
        byte[] timeout =
                Long.toString(Math.max(1, remainingMicros / MICROS_PER_MILLI)).getBytes(US_ASCII);
        byte[] out = new byte[text.length - (timeoutEnd - timeoutStart) + timeout.length];
        System.arraycopy(text, 0, out, 0, timeoutStart);
        System.arraycopy(timeout, 0, out, timeoutStart, timeout.length);
        System.arraycopy(text, timeoutEnd, out, timeoutStart + timeout.length, text.length - timeoutEnd);
        return out;
    }

    /**
     * Builds the request from the statement's fields.
     *
     * @param session the session's key, or null to use {@link #sessionKey}
     * @param payload what the backend sends
     * @throws InvalidStatementException if a required field is missing or a value is invalid
     */
    public ClientRequest toRequest(
            List<RequestClass> classes, long arrivedAtMicros, String session, String protocol, Object payload)
            throws InvalidStatementException {
        int classIndex = classIndex(classes);
        String id = fields.get("id");
        if (id == null || id.isEmpty() || id.length() > MAX_ID_CHARS) {
            throw new InvalidStatementException("field id is missing or too long");
        }
        long timeoutMillis = number("d");
        long group = number("cluster");
        // Field d is the client's timeout, which must be greater than 0.
        if (timeoutMillis <= 0) {
            throw new InvalidStatementException("field d is missing or no time to wait");
        }
        if (group < 0 || group > Integer.MAX_VALUE) {
            throw new InvalidStatementException("field cluster is missing or no group");
        }
        // Limited to the class's deadline: a client that states a longer timeout would occupy its slot indefinitely.
        long maxMillis = Math.max(classes.get(classIndex).deadlineMicros() / MICROS_PER_MILLI, 1);
        return new ClientRequest(
                id,
                classIndex,
                "1".equals(fields.get("r")),
                session != null ? bounded(session) : sessionKey(),
                Math.max(0, number("after")) * MICROS_PER_MILLI,
                (int) group,
                arrivedAtMicros,
                arrivedAtMicros + Math.min(timeoutMillis, maxMillis) * MICROS_PER_MILLI,
                protocol,
                payload);
    }

    private int classIndex(List<RequestClass> classes) throws InvalidStatementException {
        String name = fields.get("c");
        for (int i = 0; i < classes.size(); i++) {
            if (classes.get(i).name().equals(name)) {
                return i;
            }
        }
        throw new InvalidStatementException(name == null ? "field c, the class, is missing" : "field c names no class");
    }

    /** A field's value as a whole number, or {@link #NONE} if the field is missing. */
    private long number(String name) throws InvalidStatementException {
        String value = fields.get(name);
        if (value == null) {
            return NONE;
        }
        if (!NUMBER.matcher(value).matches()) {
            throw new InvalidStatementException("field " + name + " is no number");
        }
        return Long.parseLong(value);
    }
}
