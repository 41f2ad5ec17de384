package lupinvalve.discovery;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * Splits a stream into complete JSON objects, however they are spread over reads and lines. Empty lines between them
 * are heartbeats; one within an object means that its rest is missing and something else has begun. Not thread-safe.
 */
final class JsonObjectSplitter {
    private final ByteArrayOutputStream partial = new ByteArrayOutputStream();
    private final int maxObjectBytes;
    private int depth;
    private boolean inString;
    private boolean escaped;
    private boolean lineStarts;

    /** @param maxObjectBytes length at which an object is an error */
    JsonObjectSplitter(int maxObjectBytes) {
        this.maxObjectBytes = maxObjectBytes;
    }

    /**
     * Adds bytes and returns the objects that they complete.
     *
     * @throws IOException if the stream is no sequence of objects or one is too long
     */
    List<byte[]> take(byte[] bytes) throws IOException {
        List<byte[]> complete = new ArrayList<>(1);
        for (byte next : bytes) {
            boolean blank = next == ' ' || next == '\t' || next == '\r';
            if (depth == 0 && (blank || next == '\n')) {
                continue;
            }
            if (depth == 0 && next != '{') {
                throw new IOException("an object starts with byte " + next);
            }
            if (next == '\n' && (inString || lineStarts)) {
                throw new IOException("an object that breaks off");
            }
            lineStarts = next == '\n' || lineStarts && blank;
            updateDepth(next);
            partial.write(next);
            if (depth == 0) {
                complete.add(partial.toByteArray());
                partial.reset();
            } else if (partial.size() > maxObjectBytes) {
                throw new IOException("answer too long");
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

    /** Whether an object has begun and is not complete. */
    boolean unfinished() {
        return depth > 0;
    }
}
