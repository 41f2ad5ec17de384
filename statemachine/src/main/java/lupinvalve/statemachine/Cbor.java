package lupinvalve.statemachine;

import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import com.fasterxml.jackson.dataformat.cbor.CBORGenerator;
import com.fasterxml.jackson.dataformat.cbor.CBORParser;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;

/** Codec for CBOR sequences (RFC 8949, RFC 8742), the encoding of values in files and on the wire. */
public final class Cbor {
    private static final CBORFactory FACTORY = new CBORFactory();

    private Cbor() {}

    /** Writes a sequence to memory. Not thread-safe. */
    public static final class Writer {
        private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        private final CBORGenerator generator;

        /** Starts an empty sequence. */
        public Writer() {
            try {
                generator = FACTORY.createGenerator(bytes);
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }

        private interface WriteAction {
            void run() throws IOException;
        }

        /** Runs a write; as it goes to memory, an {@link IOException} can only be a programming error. */
        private Writer write(WriteAction action) {
            try {
                action.run();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
            return this;
        }

        /** Appends an integer. */
        public Writer number(long value) {
            return write(() -> generator.writeNumber(value));
        }

        /** Appends a string. */
        public Writer text(String value) {
            return write(() -> generator.writeString(value));
        }

        /** Appends a byte string. */
        public Writer bytes(byte[] value) {
            return write(() -> generator.writeBinary(value));
        }

        /** Appends a boolean. */
        public Writer flag(boolean value) {
            return write(() -> generator.writeBoolean(value));
        }

        /** The whole sequence; nothing can be appended afterwards. */
        public byte[] toByteArray() {
            write(generator::close);
            return bytes.toByteArray();
        }
    }

    /**
     * Reads a sequence value by value. Not thread-safe. Each method throws {@link DecodingException} if the next value
     * is of another type or missing, and another {@link IOException} if the bytes are not CBOR.
     */
    public static final class Reader {
        private final CBORParser parser;
        private int valueNumber;

        /** Starts at the first value. */
        public Reader(byte[] bytes) throws IOException {
            parser = FACTORY.createParser(bytes);
        }

        private JsonToken next() throws IOException {
            valueNumber++;
            return parser.nextToken();
        }

        private void expect(JsonToken expected) throws IOException {
            JsonToken token = next();
            if (token != expected) {
                throw unexpected(token, expected.toString());
            }
        }

        private DecodingException unexpected(JsonToken token, String expected) {
            return problem(token + " in place of " + expected);
        }

        private DecodingException problem(String description) {
            return new DecodingException(
                    description, valueNumber, parser.currentLocation().getByteOffset());
        }

        /** Reads an integer. */
        public long number() throws IOException {
            expect(JsonToken.VALUE_NUMBER_INT);
            return parser.getLongValue();
        }

        /** Reads a count of items or an ordinal; also throws if it is negative or above {@code max}. */
        public int count(int max) throws IOException {
            long count = number();
            if (count < 0 || count > max) {
                throw problem("a count of " + count + " where " + max + " is the most");
            }
            return (int) count;
        }

        /** Reads a string. */
        public String text() throws IOException {
            expect(JsonToken.VALUE_STRING);
            return parser.getText();
        }

        /** Reads a byte string. */
        public byte[] bytes() throws IOException {
            expect(JsonToken.VALUE_EMBEDDED_OBJECT);
            return parser.getBinaryValue();
        }

        /** Reads a boolean. */
        public boolean flag() throws IOException {
            JsonToken token = next();
            if (token != JsonToken.VALUE_TRUE && token != JsonToken.VALUE_FALSE) {
                throw unexpected(token, "a boolean");
            }
            return token == JsonToken.VALUE_TRUE;
        }

        /** Reads a byte string; returns an empty array at the end of the sequence. */
        public byte[] bytesOrEmpty() throws IOException {
            JsonToken token = next();
            if (token != null && token != JsonToken.VALUE_EMBEDDED_OBJECT) {
                throw unexpected(token, "bytes or the end");
            }
            return token == null ? new byte[0] : parser.getBinaryValue();
        }

        /** Whether the sequence has ended; skips one value if it has not. */
        public boolean atEnd() throws IOException {
            return next() == null;
        }
    }
}
