package lupinvalve.discovery;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * Splits a stream into complete JSON objects; a read or a line may end anywhere in an object. Empty lines between
 * objects are heartbeats. An empty line within an object means that the object was truncated. Not thread-safe.
 */
final class JsonObjectSplitter {
    private final ByteArrayOutputStream partial = new ByteArrayOutputStream();
    private final int maxObjectBytes;
    private int depth;
    private boolean inString;
    private boolean escaped;
    private boolean atLineStart;

    /** @param maxObjectBytes maximum length of an object */
    JsonObjectSplitter(int maxObjectBytes) {
        this.maxObjectBytes = maxObjectBytes;
    }

    /**
     * Appends bytes of the stream and returns the objects that they complete.
     *
     * @throws IOException if the stream is not a sequence of objects or an object is too long
     */
    List<byte[]> append(byte[] bytes) throws IOException {
        List<byte[]> complete = new ArrayList<>(1);
        for (byte next : bytes) {
            boolean blank = next == ' ' || next == '\t' || next == '\r';
            if (depth == 0 && (blank || next == '\n')) {
                continue;
            }
            if (depth == 0 && next != '{') {
                throw new IOException("expected the start of a JSON object, got byte " + next);
            }
            if (next == '\n' && (inString || atLineStart)) {
                throw new IOException("JSON object truncated after " + partial.size() + " bytes");
            }
            atLineStart = next == '\n' || atLineStart && blank;
            updateDepth(next);
            partial.write(next);
            if (depth == 0) {
                complete.add(partial.toByteArray());
                partial.reset();
            } else if (partial.size() > maxObjectBytes) {
                throw new IOException("JSON object exceeds " + maxObjectBytes + " bytes");
            }
        }
        return complete;
    }

    private void updateDepth(byte next) {
        if (inString) {
            inString = escaped || next != '"';
            escaped = !escaped && next == '\\';
        } else if (next == '"') {
            inString = true;
        } else if (next == '{' || next == '[') {
            depth++;
        } else if (next == '}' || next == ']') {
            depth--;
        }
    }

    /** Whether the stream so far ends within an object. */
    boolean isIncomplete() {
        return depth > 0;
    }
}
