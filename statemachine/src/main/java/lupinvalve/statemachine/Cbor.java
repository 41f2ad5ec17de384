package lupinvalve.statemachine;

import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import com.fasterxml.jackson.dataformat.cbor.CBORGenerator;
import com.fasterxml.jackson.dataformat.cbor.CBORParser;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;

/** Values one after another in CBOR (RFC 8949; a sequence as in RFC 8742), as files and the wire have them. */
public final class Cbor {
    private static final CBORFactory FACTORY = new CBORFactory();

    private Cbor() {}

    /** Writes values; what went wrong in memory is a fault of the program. */
    public static final class Writer {
        private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        private final CBORGenerator to;

        public Writer() {
            try {
                to = FACTORY.createGenerator(bytes);
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }

        private interface Write {
            void run() throws IOException;
        }

        private Writer write(Write write) {
            try {
                write.run();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
            return this;
        }

        public Writer number(long n) {
            return write(() -> to.writeNumber(n));
        }

        public Writer text(String s) {
            return write(() -> to.writeString(s));
        }

        public Writer bytes(byte[] b) {
            return write(() -> to.writeBinary(b));
        }

        public Writer flag(boolean b) {
            return write(() -> to.writeBoolean(b));
        }

        public byte[] toByteArray() {
            write(to::close);
            return bytes.toByteArray();
        }
    }

    /** Reads values; throws where another kind stands, or none. */
    public static final class Reader {
        private final CBORParser from;

        public Reader(byte[] bytes) throws IOException {
            from = FACTORY.createParser(bytes);
        }

        private void next(JsonToken wanted) throws IOException {
            JsonToken token = from.nextToken();
            if (token != wanted) {
                throw new IOException("CBOR: " + token + " in place of " + wanted);
            }
        }

        public long number() throws IOException {
            next(JsonToken.VALUE_NUMBER_INT);
            return from.getLongValue();
        }

        /** A number of things that follow. */
        public int count(int most) throws IOException {
            long n = number();
            if (n < 0 || n > most) {
                throw new IOException("CBOR: a count of " + n);
            }
            return (int) n;
        }

        public String text() throws IOException {
            next(JsonToken.VALUE_STRING);
            return from.getText();
        }

        public byte[] bytes() throws IOException {
            next(JsonToken.VALUE_EMBEDDED_OBJECT);
            return from.getBinaryValue();
        }

        public boolean flag() throws IOException {
            JsonToken token = from.nextToken();
            if (token != JsonToken.VALUE_TRUE && token != JsonToken.VALUE_FALSE) {
                throw new IOException("CBOR: " + token + " in place of a truth value");
            }
            return token == JsonToken.VALUE_TRUE;
        }

        /** Bytes, or none where all has been read. */
        public byte[] bytesOrEmpty() throws IOException {
            JsonToken token = from.nextToken();
            if (token != null && token != JsonToken.VALUE_EMBEDDED_OBJECT) {
                throw new IOException("CBOR: " + token + " in place of bytes or the end");
            }
            return token == null ? new byte[0] : from.getBinaryValue();
        }

        /** Whether all has been read. */
        public boolean atEnd() throws IOException {
            return from.nextToken() == null;
        }
    }
}
