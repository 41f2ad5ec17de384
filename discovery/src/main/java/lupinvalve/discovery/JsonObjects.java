package lupinvalve.discovery;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * Cuts a stream into whole JSON objects, however they are spread over reads and lines. Empty lines between them are
 * beats; one within an object means that its rest is missing and something else has begun.
 */
final class JsonObjects {
    private final ByteArrayOutputStream begun = new ByteArrayOutputStream();
    private final int most;
    private int depth;
    private boolean inString, escaped, lineStarts;

    /** @param most bytes of one object */
    JsonObjects(int most) {
        this.most = most;
    }

    /** The objects that are whole by now. */
    List<byte[]> take(byte[] bytes) throws IOException {
        List<byte[]> whole = new ArrayList<>(1);
        for (byte b : bytes) {
            boolean blank = b == ' ' || b == '\t' || b == '\r';
            if (depth == 0 && (blank || b == '\n')) {
                continue;
            }
            if (depth == 0 && b != '{') {
                throw new IOException("an object starts with byte " + b);
            }
            if (b == '\n' && (inString || lineStarts)) {
                throw new IOException("an object that breaks off");
            }
            lineStarts = b == '\n' || lineStarts && blank;
            nest(b);
            begun.write(b);
            if (depth == 0) {
                whole.add(begun.toByteArray());
                begun.reset();
            } else if (begun.size() > most) {
                throw new IOException("answer too long");
            }
        }
        return whole;
    }

    private void nest(byte b) {
        if (inString) {
            inString = escaped || b != '"';
            escaped = !escaped && b == '\\';
        } else if (b == '"') {
            inString = true;
        } else if (b == '{' || b == '[') {
            depth++;
        } else if (b == '}' || b == ']') {
            depth--;
        }
    }

    /** Whether an object has begun and is not whole. */
    boolean unfinished() {
        return depth > 0;
    }
}
