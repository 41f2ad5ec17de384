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

/** One HTTP call of a pooler to discovery, with the ways to answer it. */
final class DiscoveryCall implements Closeable {
    /** How long to read for the caller's FIN. On loopback it is there at once; 0 would mean to wait without a limit. */
    private static final int READ_TIMEOUT_MILLIS = 1;
    /** Whether the caller requested a watch, so that changes are sent as well. */
    final boolean isWatch;

    private final Socket socket;
    private final OutputStream out;

    /** Reads the request. */
    DiscoveryCall(Socket socket) throws IOException {
        this.socket = socket;
        out = socket.getOutputStream();
        BufferedReader in = new BufferedReader(new InputStreamReader(socket.getInputStream(), US_ASCII));
        String requestLine = in.readLine();
        String line = requestLine;
        while (line != null && !line.isEmpty()) {
            // Headers have no effect here.
            line = in.readLine();
        }
        isWatch = requestLine != null && requestLine.contains("follow=1");
    }

    /** Whether the caller has closed its connection, so that it would not read what is written now. */
    boolean isClosedByCaller() {
        try {
            socket.setSoTimeout(READ_TIMEOUT_MILLIS);
            return socket.getInputStream().read() < 0;
        } catch (SocketTimeoutException e) {
            return false;
        } catch (IOException e) {
            return true;
        }
    }

    /** Writes the head of a chunked answer. */
    void begin() throws IOException {
        out.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes(US_ASCII));
    }

    /** Writes a chunk of the answer. */
    void chunk(String line) throws IOException {
        byte[] bytes = line.getBytes(UTF_8);
        out.write((Integer.toHexString(bytes.length) + "\r\n").getBytes(US_ASCII));
        out.write(bytes);
        out.write("\r\n".getBytes(US_ASCII));
    }

    /** Ends the answer and closes the connection. */
    void end() throws IOException {
        out.write("0\r\n\r\n".getBytes(US_ASCII));
        close();
    }

    /** Answers with status 503 and closes the connection. */
    void refuse() throws IOException {
        out.write("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
                .getBytes(US_ASCII));
        close();
    }

    /** Closes the connection by a reset. */
    void reset() throws IOException {
        socket.setSoLinger(true, 0);
        close();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
