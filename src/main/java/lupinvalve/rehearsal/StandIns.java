package lupinvalve.rehearsal;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.BufferedOutputStream;
import java.io.Closeable;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import lupinvalve.log.Log;

/** A discovery and a primary with a replica, as little of each as a rehearsal needs. Loopback only. */
public final class StandIns implements Closeable {
    private interface Speaker {
        void speak(DataInputStream in, DataOutputStream out) throws IOException;
    }

    private final List<ServerSocket> servers = new ArrayList<>();
    private final String list;

    public StandIns() throws IOException {
        StringBuilder members = new StringBuilder();
        for (String rank : List.of("source", "copy")) {
            int port = serve((in, out) -> node(in, out, rank));
            members.append(members.length() == 0 ? "" : ",").append("{\"id\":\"").append(rank)
                    .append("\",\"host_port\":\"127.0.0.1:").append(port)
                    .append("\",\"cell\":1,\"phase\":\"in_service\",\"up_since_ms\":0}");
        }
        list = "{\"revision\":1,\"complete\":true,\"members\":[" + members + "]}\n";
    }

    /** Starts discovery and gives its address. */
    public String discovery() throws IOException {
        return "127.0.0.1:" + serve((in, out) -> {
            out.write(("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(list.length())
                    + "\r\n" + list + "\r\n").getBytes(UTF_8));
            out.flush();
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
                        speaker.speak(new DataInputStream(socket.getInputStream()),
                                new DataOutputStream(new BufferedOutputStream(socket.getOutputStream())));
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
        Thread thread = new Thread(() -> {
            try {
                work.run();
            } catch (IOException e) {
                Log.debug("stand-in: %s", e.getMessage());
            }
        }, "stand-in");
        thread.setDaemon(true);
        thread.start();
    }

    private static void node(DataInputStream in, DataOutputStream out, String rank) throws IOException {
        in.skipNBytes(in.readInt() - 4);
        message(out, 'R', new byte[4]);
        message(out, 'Z', new byte[] {'I'});
        out.flush();
        while (in.read() == 'Q') {
            boolean write = new String(in.readNBytes(in.readInt() - 4), UTF_8).startsWith("INSERT");
            if (write && rank.equals("copy")) {
                message(out, 'E', "SERROR\0C25006\0Mno primary\0\0".getBytes(UTF_8));
            } else {
                message(out, 'T', ("\0\1blob\0\0\0\0\0\0\0\0\0\0\31\377\377\377\377\377\377\0\0").getBytes(ISO_8859_1));
                message(out, 'D', "\0\1\0\0\0\3row".getBytes(UTF_8));
                message(out, 'C', "SELECT 1\0".getBytes(UTF_8));
            }
            message(out, 'S', ("as_of\0" + System.currentTimeMillis() + "\0").getBytes(UTF_8));
            message(out, 'S', ("rank\0" + rank + "\0").getBytes(UTF_8));
            message(out, 'Z', new byte[] {'I'});
            out.flush();
        }
    }

    private static void message(DataOutputStream out, char type, byte[] body) throws IOException {
        out.write(type);
        out.writeInt(body.length + 4);
        out.write(body);
    }

    @Override
    public void close() throws IOException {
        for (ServerSocket server : servers) {
            server.close();
        }
    }
}
