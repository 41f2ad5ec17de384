package lupinvalve.drills;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.DataOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketTimeoutException;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.List;

/**
 * A client's connection to a pooler. A close by FIN is reported as {@link EOFException}, a reset as any other
 * {@link IOException}, a missing answer as {@link java.net.SocketTimeoutException}. Used by one thread.
 */
final class SqlConnection implements Closeable {
    private static final int CONNECT_MILLIS = 1_000;
    private static final int PROTOCOL_VERSION_3 = 3 << 16;
    private static final int HEADER_BYTES = 5;
    private static final int CHUNK_BYTES = 16 << 10;
    private static final int SLOW_RECEIVE_BUFFER_BYTES = 16 << 10;

    /** The pooler's machine did not accept the connection in time. */
    static final class UnconnectedException extends IOException {
        private static final long serialVersionUID = 1;

        UnconnectedException(SocketTimeoutException cause) {
            super(cause);
        }
    }

    /** The pooler has refused a connection by an error. */
    static final class RefusedException extends IOException {
        private static final long serialVersionUID = 1;
        /** The SQLSTATE of the error. */
        final String code;

        RefusedException(String code) {
            super(code);
            this.code = code;
        }
    }

    /** The answer to a statement: a value, or the SQLSTATE of an error. */
    record Answer(String value, String code) {}

    private final SocketChannel channel = SocketChannel.open();
    private byte[] received = new byte[CHUNK_BYTES];
    private int length;
    private boolean isEnded;
    private IOException broken;
    private long pauseMillis;

    /**
     * Connects and logs in.
     *
     * @param silenceMillis after how long without a byte an answer counts as missing
     * @param isSlow whether the socket has a small receive buffer
     */
    SqlConnection(int port, int silenceMillis, boolean isSlow) throws IOException {
        this(port, silenceMillis, isSlow, List.of());
    }

    /**
     * Connects, writes the startup message and statements behind it at once, and reads the answer to the former.
     *
     * @param statements their answers are read by {@link #readAnswer}
     */
    SqlConnection(int port, int silenceMillis, boolean isSlow, List<String> statements) throws IOException {
        try {
            channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
            if (isSlow) {
                channel.setOption(StandardSocketOptions.SO_RCVBUF, SLOW_RECEIVE_BUFFER_BYTES);
            }
            connect(port);
            channel.socket().setSoTimeout(silenceMillis);
            ByteArrayOutputStream first = new ByteArrayOutputStream();
            first.write(startupMessage());
            first.write(queries(statements));
            write(first.toByteArray());
            readAnswer();
        } catch (IOException | RuntimeException e) {
            channel.close();
            throw e;
        }
    }

    private void connect(int port) throws IOException {
        try {
            channel.socket().connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), CONNECT_MILLIS);
        } catch (SocketTimeoutException e) {
            throw new UnconnectedException(e);
        }
    }

    /** The first message of a client. */
    static byte[] startupMessage() throws IOException {
        byte[] names = "user\0api\0database\0ledger\0\0".getBytes(UTF_8);
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(bytes);
        out.writeInt(2 * Integer.BYTES + names.length);
        out.writeInt(PROTOCOL_VERSION_3);
        out.write(names);
        return bytes.toByteArray();
    }

    /** Sets how long to rest before each further read from the socket. */
    void setReadingPause(long millisPerPiece) {
        pauseMillis = millisPerPiece;
    }

    /** Sends all statements in one write. */
    void send(List<String> statements) throws IOException {
        write(queries(statements));
    }

    /** The Query messages of statements. */
    static byte[] queries(List<String> statements) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(bytes);
        for (String statement : statements) {
            byte[] text = (statement + "\0").getBytes(UTF_8);
            out.write('Q');
            out.writeInt(Integer.BYTES + text.length);
            out.write(text);
        }
        return bytes.toByteArray();
    }

    private void write(byte[] bytes) throws IOException {
        ByteBuffer buffer = ByteBuffer.wrap(bytes);
        while (buffer.hasRemaining()) {
            channel.write(buffer);
        }
    }

    /**
     * Whether the connection's end, by FIN or reset, has arrived; bytes that arrived before it are kept. If true right
     * after a write, the end may have arrived before the write.
     */
    boolean hasEnded() throws IOException {
        channel.configureBlocking(false);
        try {
            for (int count = 1; count > 0 && !isEnded; ) {
                makeRoom();
                count = channel.read(ByteBuffer.wrap(received, length, received.length - length));
                recordRead(count);
            }
        } catch (IOException e) {
            broken = e;
        }
        channel.configureBlocking(true);
        return isEnded || broken != null;
    }

    private void makeRoom() {
        if (received.length - length < CHUNK_BYTES) {
            received = java.util.Arrays.copyOf(received, received.length * 2);
        }
    }

    private void recordRead(int count) {
        isEnded |= count < 0;
        length += Math.max(0, count);
    }

    /** Reads up to the end of the next answer. */
    Answer readAnswer() throws IOException {
        String value = null;
        String code = null;
        while (true) {
            byte[] message;
            try {
                message = readMessage();
            } catch (EOFException e) {
                // After a fatal error no ReadyForQuery is needed.
                if (code != null) {
                    throw new RefusedException(code);
                }
                throw e;
            }
            switch (message[0]) {
                case 'D' -> value = new String(message, HEADER_BYTES + 6, message.length - HEADER_BYTES - 6, UTF_8);
                case 'E' -> code = errorCode(message);
                case 'Z' -> {
                    return new Answer(value, code);
                }
                default -> {
                    // Other messages don't matter to a client.
                }
            }
        }
    }

    private byte[] readMessage() throws IOException {
        readAtLeast(HEADER_BYTES);
        int size = 1 + ByteBuffer.wrap(received, 1, Integer.BYTES).getInt();
        readAtLeast(size);
        byte[] message = java.util.Arrays.copyOf(received, size);
        System.arraycopy(received, size, received, 0, length - size);
        length -= size;
        return message;
    }

    private void readAtLeast(int size) throws IOException {
        InputStream in = channel.socket().getInputStream();
        while (length < size) {
            if (broken != null) {
                throw broken;
            } else if (isEnded) {
                throw new EOFException();
            }
            if (pauseMillis > 0) {
                pause();
            }
            makeRoom();
            recordRead(in.read(received, length, Math.min(CHUNK_BYTES, received.length - length)));
        }
    }

    private void pause() throws IOException {
        try {
            Thread.sleep(pauseMillis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new java.io.InterruptedIOException();
        }
    }

    private static String errorCode(byte[] error) {
        for (String field : new String(error, HEADER_BYTES, error.length - HEADER_BYTES, UTF_8).split("\0")) {
            if (field.startsWith("C")) {
                return field.substring(1);
            }
        }
        return "";
    }

    /** Closes the connection without a Terminate message, by FIN or by a reset. */
    void leave(boolean byReset) throws IOException {
        if (byReset) {
            channel.setOption(StandardSocketOptions.SO_LINGER, 0);
        }
        channel.close();
    }

    @Override
    public void close() throws IOException {
        channel.close();
    }
}
