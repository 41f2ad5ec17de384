package lupinvalve.warmup;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import lupinvalve.log.Log;

/**
 * Stub servers on loopback for a warm-up: discovery, a primary and a replica. Each connection is handled by a separate
 * thread; {@link #close} stops accepting connections.
 */
public final class StubServers implements Closeable {
    private interface ConnectionHandler {
        void handle(InputStream in, OutputStream out) throws IOException;
    }

    private static final int ACCEPT_BACKLOG_COUNT = 50;
    private static final int READ_BUFFER_BYTES = 8192;

    private final List<ServerSocket> servers = new ArrayList<>();
    private final String endpointList;

    /** Starts the db nodes that the server of {@link #discovery} lists. */
    public StubServers() throws IOException {
        StringBuilder members = new StringBuilder();
        for (String rank : List.of("source", "copy")) {
            int port = serve((in, out) -> serveDbNode(in, out, rank.equals("source")));
            members.append(members.length() == 0 ? "" : ",")
                    .append("{\"id\":\"")
                    .append(rank)
                    .append("\",\"host_port\":\"127.0.0.1:")
                    .append(port)
                    .append("\",\"cell\":1,\"phase\":\"in_service\",\"up_since_ms\":0}");
        }
        endpointList = "{\"revision\":1,\"complete\":true,\"members\":[" + members + "]}\n";
    }

    /** Starts a discovery server and returns its address as host:port. */
    public String discovery() throws IOException {
        return "127.0.0.1:"
                + serve((in, out) -> {
                    out.write(("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                                    + Integer.toHexString(endpointList.length()) + "\r\n" + endpointList + "\r\n")
                            .getBytes(UTF_8));
                    // Waits for the end of the connection: the watch stays open until the client closes it.
                    in.readAllBytes();
                });
    }

    private int serve(ConnectionHandler handler) throws IOException {
        ServerSocket server = new ServerSocket(0, ACCEPT_BACKLOG_COUNT, InetAddress.getLoopbackAddress());
        servers.add(server);
        startThread(() -> {
            while (!server.isClosed()) {
                Socket socket = server.accept();
                startThread(() -> {
                    try (socket) {
                        handler.handle(socket.getInputStream(), socket.getOutputStream());
                    }
                });
            }
        });
        return server.getLocalPort();
    }

    private interface IoTask {
        void run() throws IOException;
    }

    private static void startThread(IoTask task) {
        Thread thread = new Thread(
                () -> {
                    try {
                        task.run();
                    } catch (IOException e) {
                        Log.debug("stub server: closing a connection or listener: %s", e.getMessage());
                    }
                },
                "stub-server");
        thread.setDaemon(true);
        thread.start();
    }

    private static void serveDbNode(InputStream in, OutputStream out, boolean primary) throws IOException {
        NodeScript script = new NodeScript(primary);
        byte[] buffer = new byte[READ_BUFFER_BYTES];
        for (int length = in.read(buffer); length > 0; length = in.read(buffer)) {
            out.write(script.answer(Arrays.copyOf(buffer, length)));
        }
    }

    @Override
    public void close() throws IOException {
        for (ServerSocket server : servers) {
            server.close();
        }
    }
}
