package lupinvalve.replication;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** Writes JSON for operators, and masks secrets in it. Thread-safe. */
final class Json {
    private static final JsonFactory JSON = new JsonFactory();
    private static final String MASKED = "***";

    private Json() {}

    /** Writes the fields of an object. */
    interface Fields {
        void write(JsonGenerator out) throws IOException;
    }

    /** An object with these fields. */
    static String object(Fields fields) {
        StringWriter text = new StringWriter();
        try (JsonGenerator out = JSON.createGenerator(text)) {
            out.writeStartObject();
            fields.write(out);
            out.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return text.toString();
    }

    /** An object with additional fields after its own. */
    static String withFields(String object, Fields additional) {
        StringWriter text = new StringWriter();
        try (JsonParser in = JSON.createParser(object);
                JsonGenerator out = JSON.createGenerator(text)) {
            for (JsonToken token = in.nextToken(); token != null; token = in.nextToken()) {
                if (token == JsonToken.END_OBJECT && in.getParsingContext().inRoot()) {
                    additional.write(out);
                }
                out.copyCurrentEvent(in);
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return text.toString();
    }

    /** A document with its secrets masked: values of fields whose name has password or secret in it, or ends in key. */
    static String masked(byte[] document) throws IOException {
        StringWriter text = new StringWriter();
        try (JsonParser in = JSON.createParser(document);
                JsonGenerator out = JSON.createGenerator(text)) {
            for (JsonToken token = in.nextToken(); token != null; token = in.nextToken()) {
                String name = in.currentName() == null ? "" : in.currentName().toLowerCase(Locale.ROOT);
                boolean secret = name.contains("password") || name.contains("secret") || name.endsWith("key");
                if (secret && token.isScalarValue() && token != JsonToken.VALUE_NULL) {
                    out.writeString(MASKED);
                } else {
                    out.copyCurrentEvent(in);
                }
            }
        }
        return text.toString();
    }

    /** A document unchanged, with its secrets. */
    static String text(byte[] document) {
        return new String(document, StandardCharsets.UTF_8);
    }
}
