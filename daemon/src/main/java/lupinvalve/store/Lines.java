package lupinvalve.store;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import lupinvalve.net.Framer;

/** The store's form in files and between replicas: one JSON object to a line. */
final class Lines implements Framer {
    /** One line: an entry, or a replica's greeting, or a beat where all is null. */
    record Line(String key, Value value, String hello, String secret) {}

    static final byte[] BEAT = "{}\n".getBytes(java.nio.charset.StandardCharsets.US_ASCII);
    private static final int LINE_MOST = 1 << 20;
    private static final JsonFactory JSON = new JsonFactory();

    @Override
    public int cut(byte[] bytes, int from, int to, List<byte[]> out) throws Malformed {
        int start = from;
        for (int i = from; i < to; i++) {
            if (bytes[i] == '\n') {
                out.add(java.util.Arrays.copyOfRange(bytes, start, i));
                start = i + 1;
            }
        }
        if (to - start > LINE_MOST) {
            throw new Malformed("line too long");
        }
        return start;
    }

    static byte[] entry(String key, Value value) {
        return write(out -> {
            out.writeStringField("key", key);
            if (value instanceof Value.Commit commit) {
                out.writeNumberField("commit", commit.position());
            } else if (value instanceof Value.Document document) {
                out.writeNumberField("revision", document.revision());
                out.writeStringField("by", document.replica());
                out.writeBinaryField("content", document.content());
            }
        });
    }

    static byte[] hello(String replica, String secret) {
        return write(out -> {
            out.writeStringField("hello", replica);
            out.writeStringField("secret", secret);
        });
    }

    private interface Fields {
        void to(JsonGenerator out) throws IOException;
    }

    private static byte[] write(Fields fields) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (JsonGenerator out = JSON.createGenerator(bytes)) {
            out.writeStartObject();
            fields.to(out);
            out.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        bytes.write('\n');
        return bytes.toByteArray();
    }

    static Line read(byte[] bytes) throws IOException {
        String key = null;
        String hello = null;
        String secret = "";
        String by = "";
        Long commit = null;
        Long revision = null;
        byte[] content = new byte[0];
        try (JsonParser in = JSON.createParser(bytes)) {
            if (in.nextToken() != JsonToken.START_OBJECT) {
                throw new IOException("store: not an object");
            }
            while (in.nextToken() == JsonToken.FIELD_NAME) {
                String name = in.currentName();
                in.nextToken();
                switch (name) {
                    case "key" -> key = in.getValueAsString();
                    case "commit" -> commit = in.getLongValue();
                    case "revision" -> revision = in.getLongValue();
                    case "by" -> by = in.getValueAsString("");
                    case "content" -> content = in.getBinaryValue();
                    case "hello" -> hello = in.getValueAsString();
                    case "secret" -> secret = in.getValueAsString("");
                    default -> in.skipChildren();
                }
            }
        }
        Value value = commit != null ? new Value.Commit(commit)
                : revision != null ? new Value.Document(revision, by, content) : null;
        if (key != null && value == null) {
            throw new IOException("store: an entry without value");
        }
        return new Line(key, value, hello, secret);
    }
}
