package lupinvalve.drills;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicLong;

/** One client that sends a kind of input at full speed, on one connection or on ever new ones, until it is stopped. */
final class FloodClient {
    private static final int CONNECT_MILLIS = 3_000;
    private static final int ANSWER_MILLIS = 3_000;
    private static final int JOIN_MILLIS = 5_000;
    private static final int READ_BYTES = 64 << 10;
    private static final long RECONNECT_MILLIS = 2;
    private static final int SLOW_BYTES = 2_000;
    private static final long SLOW_REST_MILLIS = 100;
    private static final byte READY_FOR_QUERY = 'Z';

    private final FloodKind kind;
    private final int port;
    private final AtomicLong bytesSent;
    private final AtomicLong connections;
    private final Thread thread;
    private volatile boolean over;
    private volatile Socket current;

    FloodClient(FloodKind kind, int port, AtomicLong bytesSent, AtomicLong connections) {
        this.kind = kind;
        this.port = port;
        this.bytesSent = bytesSent;
        this.connections = connections;
        thread = Threads.start("flood", this::run);
    }

    private void run() throws InterruptedException {
        while (!over) {
            try (Socket socket = new Socket()) {
                current = socket;
                socket.setTcpNoDelay(true);
                socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), CONNECT_MILLIS);
                connections.incrementAndGet();
                use(socket);
            } catch (IOException e) {
                // The pooler has ended the connection, or did not answer.
                Thread.sleep(RECONNECT_MILLIS);
            }
        }
    }

    private void use(Socket socket) throws IOException {
        socket.setSoTimeout(ANSWER_MILLIS);
        if (kind.front() == FloodKind.Front.MYSQL && kind.logsIn()) {
            MysqlLoginClient.logIn(socket);
        } else if (kind.logsIn()) {
            socket.getOutputStream().write(SqlConnection.startupMessage());
        }
        switch (kind.use()) {
            case COME_AND_LEAVE -> write(socket, kind.block());
            case COME_AND_GO -> {
                write(socket, kind.block());
                readAnswer(socket.getInputStream());
            }
            case IN_TURNS -> sendInTurns(socket);
            case WRITE_AND_STAY -> {
                socket.setSoTimeout(0);
                write(socket, kind.block());
                drain(socket, READ_BYTES, 0);
            }
            default -> stay(socket);
        }
    }

    private void write(Socket socket, byte[] bytes) throws IOException {
        socket.getOutputStream().write(bytes);
        bytesSent.addAndGet(bytes.length);
    }

    private void sendInTurns(Socket socket) throws IOException {
        // The login's ReadyForQuery comes before those of the first batch.
        int due = 1;
        InputStream in = new java.io.BufferedInputStream(socket.getInputStream(), READ_BYTES);
        while (!over) {
            write(socket, kind.block());
            for (due += kind.answersOfBlock(); due > 0; due--) {
                readMessages(in);
            }
        }
    }

    /** Reads messages up to the next ReadyForQuery. */
    private static void readMessages(InputStream in) throws IOException {
        java.io.DataInputStream data = new java.io.DataInputStream(in);
        byte type;
        do {
            type = data.readByte();
            data.skipNBytes(data.readInt() - (long) Integer.BYTES);
        } while (type != READY_FOR_QUERY);
    }

    private void stay(Socket socket) throws IOException {
        socket.setSoTimeout(0);
        if (kind.use() != FloodKind.Use.STAY_UNREAD) {
            boolean isSlow = kind.use() == FloodKind.Use.STAY_SLOW_READING;
            Threads.start(
                    "flood reader",
                    () -> drain(socket, isSlow ? SLOW_BYTES : READ_BYTES, isSlow ? SLOW_REST_MILLIS : 0));
        }
        OutputStream out = socket.getOutputStream();
        byte[] block = kind.block();
        while (!over) {
            if (kind.use() == FloodKind.Use.STAY_BYTEWISE) {
                for (int i = 0; i < block.length && !over; i++) {
                    out.write(block[i]);
                }
                bytesSent.addAndGet(block.length);
            } else if (kind.use() == FloodKind.Use.STAY_SLOW_WRITING) {
                writeSlowly(out, block);
            } else {
                write(socket, block);
                block = kind.isRenewed() ? kind.block() : block;
            }
        }
    }

    private void writeSlowly(OutputStream out, byte[] block) throws IOException {
        for (int i = 0; i < block.length && !over; i += SLOW_BYTES) {
            out.write(block, i, Math.min(SLOW_BYTES, block.length - i));
            rest(SLOW_REST_MILLIS);
        }
        bytesSent.addAndGet(block.length);
    }

    private static void drain(Socket socket, int pieceBytes, long restMillis) throws IOException {
        InputStream in = socket.getInputStream();
        byte[] bytes = new byte[pieceBytes];
        int count = 0;
        while (count >= 0) {
            count = in.read(bytes);
            rest(restMillis);
        }
    }

    private static void rest(long millis) throws IOException {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new java.io.InterruptedIOException();
        }
    }

    /** Reads until the pooler has closed the connection, or has answered the login and an empty statement. */
    private void readAnswer(InputStream in) throws IOException {
        if (kind.front() == FloodKind.Front.PG && kind == FloodKind.CONNECT) {
            readMessages(in);
            readMessages(in);
            return;
        }
        ByteArrayOutputStream received = new ByteArrayOutputStream();
        for (int next = in.read(); next >= 0 && received.size() < READ_BYTES; next = in.read()) {
            received.write(next);
        }
    }

    /** Ends the flood of this client; waits for its thread. */
    void stop() throws IOException, InterruptedException {
        over = true;
        Socket socket = current;
        if (socket != null) {
            socket.close();
        }
        thread.join(JOIN_MILLIS);
    }
}
