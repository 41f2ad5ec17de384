package lupinvalve.drills;

import static java.nio.charset.StandardCharsets.US_ASCII;
import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.BufferedReader;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;

/** One call that a pooler made to discovery, and what can be said to it. */
final class DiscoveryCall implements Closeable {
    /**
     * How long is listened for the caller's end: it is there at once on loopback, but a wait of 0 would be one for
     * ever.
     */
    private static final int LISTEN_MILLIS = 1;
    /** Whether it asks to be told of changes too. */
    final boolean follows;

    private final Socket socket;
    private final OutputStream out;

    /** Reads what is asked. */
    DiscoveryCall(Socket socket) throws IOException {
        this.socket = socket;
        out = socket.getOutputStream();
        BufferedReader in = new BufferedReader(new InputStreamReader(socket.getInputStream(), US_ASCII));
        String head = in.readLine();
        String line = head;
        while (line != null && !line.isEmpty()) {
            // The other headers say nothing that is needed here.
            line = in.readLine();
        }
        follows = head != null && head.contains("follow=1");
    }

    /** Whether the caller has ended its connection: what is written from then on reaches nobody. */
    boolean givenUp() {
        try {
            socket.setSoTimeout(LISTEN_MILLIS);
            return socket.getInputStream().read() < 0;
        } catch (SocketTimeoutException e) {
            return false;
        } catch (IOException e) {
            return true;
        }
    }

    /** Begins an answer of chunks. */
    void begin() throws IOException {
        out.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes(US_ASCII));
    }

    /** One more chunk of the answer. */
    void chunk(String line) throws IOException {
        byte[] bytes = line.getBytes(UTF_8);
        out.write((Integer.toHexString(bytes.length) + "\r\n").getBytes(US_ASCII));
        out.write(bytes);
        out.write("\r\n".getBytes(US_ASCII));
    }

    /** Ends the answer and the call. */
    void end() throws IOException {
        out.write("0\r\n\r\n".getBytes(US_ASCII));
        close();
    }

    /** Says no. */
    void refuse() throws IOException {
        out.write("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
                .getBytes(US_ASCII));
        close();
    }

    /** Ends the call as one whose end has gone. */
    void reset() throws IOException {
        socket.setSoLinger(true, 0);
        close();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
