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
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.List;

/**
 * A client's connection to a pooler. An end in order is an {@link EOFException}, a reset any other {@link IOException},
 * an answer that does not come a {@link java.net.SocketTimeoutException}.
 */
final class SqlConnection implements Closeable {
    private static final int CONNECT_MILLIS = 1_000;
    private static final int PROTOCOL = 3 << 16;
    private static final int HEAD = 5;
    private static final int CHUNK = 16 << 10;
    private static final int SLOW_WINDOW = 16 << 10;

    /** What a statement was answered: a value, or an error's code. */
    record Answer(String value, String code) {}

    private final SocketChannel channel = SocketChannel.open();
    private byte[] received = new byte[CHUNK];
    private int length;
    private boolean isEnded;
    private IOException broken;
    private long pauseMillis;

    /**
     * Connects, and logs in.
     *
     * @param silenceMillis how long nothing may come before an answer counts as missing
     * @param isSlow whether little is taken from the network before it is read
     */
    SqlConnection(int port, int silenceMillis, boolean isSlow) throws IOException {
        try {
            channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
            if (isSlow) {
                channel.setOption(StandardSocketOptions.SO_RCVBUF, SLOW_WINDOW);
            }
            channel.socket().connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), CONNECT_MILLIS);
            channel.socket().setSoTimeout(silenceMillis);
            write(startup());
            answer();
        } catch (IOException | RuntimeException e) {
            channel.close();
            throw e;
        }
    }

    private static byte[] startup() throws IOException {
        byte[] names = "user\0api\0database\0ledger\0\0".getBytes(UTF_8);
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(bytes);
        out.writeInt(2 * Integer.BYTES + names.length);
        out.writeInt(PROTOCOL);
        out.write(names);
        return bytes.toByteArray();
    }

    /** From now on it rests so long before each further piece of an answer that it reads. */
    void readsSlowly(long pauseMillisAPiece) {
        pauseMillis = pauseMillisAPiece;
    }

    /** Writes all of the statements at once. */
    void send(List<String> statements) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(bytes);
        for (String statement : statements) {
            byte[] text = (statement + "\0").getBytes(UTF_8);
            out.write('Q');
            out.writeInt(Integer.BYTES + text.length);
            out.write(text);
        }
        write(bytes.toByteArray());
    }

    private void write(byte[] bytes) throws IOException {
        ByteBuffer buffer = ByteBuffer.wrap(bytes);
        while (buffer.hasRemaining()) {
            channel.write(buffer);
        }
    }

    /**
     * Whether the connection's end, in order or by a reset, has come by now; what has come before it is kept. Asked
     * right after a write, a yes says that the end may have been there before what was written.
     */
    boolean hasEnded() throws IOException {
        channel.configureBlocking(false);
        try {
            for (int count = 1; count > 0 && !isEnded; ) {
                makeRoom();
                count = channel.read(ByteBuffer.wrap(received, length, received.length - length));
                took(count);
            }
        } catch (IOException e) {
            broken = e;
        }
        channel.configureBlocking(true);
        return isEnded || broken != null;
    }

    private void makeRoom() {
        if (received.length - length < CHUNK) {
            received = java.util.Arrays.copyOf(received, received.length * 2);
        }
    }

    private void took(int count) {
        isEnded |= count < 0;
        length += Math.max(0, count);
    }

    /** Reads up to the end of the next answer. */
    Answer answer() throws IOException {
        String value = null;
        String code = null;
        while (true) {
            byte[] message = message();
            switch (message[0]) {
                case 'D' -> value = new String(message, HEAD + 6, message.length - HEAD - 6, UTF_8);
                case 'E' -> code = code(message);
                case 'Z' -> {
                    return new Answer(value, code);
                }
                default -> {
                    // Nothing that a client looks at.
                }
            }
        }
    }

    private byte[] message() throws IOException {
        atLeast(HEAD);
        int size = 1 + ByteBuffer.wrap(received, 1, Integer.BYTES).getInt();
        atLeast(size);
        byte[] message = java.util.Arrays.copyOf(received, size);
        System.arraycopy(received, size, received, 0, length - size);
        length -= size;
        return message;
    }

    private void atLeast(int size) throws IOException {
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
            took(in.read(received, length, Math.min(CHUNK, received.length - length)));
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

    private static String code(byte[] error) {
        for (String field : new String(error, HEAD, error.length - HEAD, UTF_8).split("\0")) {
            if (field.startsWith("C")) {
                return field.substring(1);
            }
        }
        return "";
    }

    /** Goes away without a word: in order, or by a reset. */
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
