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

/** A discovery and a primary with a replica, as little of each as a rehearsal needs. Loopback only. */
public final class StandIns implements Closeable {
    private interface Speaker {
        void speak(InputStream in, OutputStream out) throws IOException;
    }

    private final List<ServerSocket> servers = new ArrayList<>();
    private final String list;

    public StandIns() throws IOException {
        StringBuilder members = new StringBuilder();
        for (String rank : List.of("source", "copy")) {
            int port = serve((in, out) -> node(in, out, rank.equals("source")));
            members.append(members.length() == 0 ? "" : ",")
                    .append("{\"id\":\"")
                    .append(rank)
                    .append("\",\"host_port\":\"127.0.0.1:")
                    .append(port)
                    .append("\",\"cell\":1,\"phase\":\"in_service\",\"up_since_ms\":0}");
        }
        list = "{\"revision\":1,\"complete\":true,\"members\":[" + members + "]}\n";
    }

    /** Starts discovery and gives its address. */
    public String discovery() throws IOException {
        return "127.0.0.1:"
                + serve((in, out) -> {
                    out.write(("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                                    + Integer.toHexString(list.length()) + "\r\n" + list + "\r\n")
                            .getBytes(UTF_8));
                    // The watch stays open until its reader ends it.
                    in.readAllBytes();
                });
    }

    private int serve(Speaker speaker) throws IOException {
        ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        servers.add(server);
        thread(() -> {
            while (!server.isClosed()) {
                Socket socket = server.accept();
                thread(() -> {
                    try (socket) {
                        speaker.speak(socket.getInputStream(), socket.getOutputStream());
                    }
                });
            }
        });
        return server.getLocalPort();
    }

    private interface Work {
        void run() throws IOException;
    }

    private static void thread(Work work) {
        Thread thread = new Thread(
                () -> {
                    try {
                        work.run();
                    } catch (IOException e) {
                        Log.debug("stand-in: %s", e.getMessage());
                    }
                },
                "stand-in");
        thread.setDaemon(true);
        thread.start();
    }

    private static void node(InputStream in, OutputStream out, boolean primary) throws IOException {
        NodeScript script = new NodeScript(primary);
        byte[] read = new byte[8192];
        for (int count = in.read(read); count > 0; count = in.read(read)) {
            out.write(script.answer(Arrays.copyOf(read, count)));
        }
    }

    @Override
    public void close() throws IOException {
        for (ServerSocket server : servers) {
            server.close();
        }
    }
}
