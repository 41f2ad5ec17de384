import java.io.BufferedOutputStream;
import java.io.BufferedReader;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A toy installation for trying out lupinvalve: a discovery service, and one group of a primary and two replicas, which
 * apply writes with a lag of 50 ms and 400 ms. Run it with {@code java example/ToyServer.java [discovery port]}.
 */
public final class ToyServer {
    private record Row(String blob, long committedMillis) {}

    private static final Map<String, Row> ROWS = new ConcurrentHashMap<>();

    private interface Speaker {
        void speak(Socket socket) throws IOException;
    }

    public static void main(String[] args) throws IOException {
        int[] lags = {0, 50, 400};
        StringBuilder members = new StringBuilder();
        for (int i = 0; i < lags.length; i++) {
            int lag = lags[i];
            String name = "toy-" + i;
            ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
            serve(server, socket -> node(socket, name, lag));
            members.append(i == 0 ? "" : ",")
                    .append("{\"id\":\"")
                    .append(name)
                    .append("\",\"host_port\":\"127.0.0.1:")
                    .append(server.getLocalPort())
                    .append("\",\"cell\":1,\"phase\":\"in_service\",\"rank\":\"")
                    .append(i == 0 ? "source" : "copy")
                    .append("\",\"up_since_ms\":0}");
        }
        ServerSocket discovery = new ServerSocket(
                args.length > 0 ? Integer.parseInt(args[0]) : 8500, 50, InetAddress.getLoopbackAddress());
        String list = "{\"revision\":1,\"complete\":true,\"members\":[" + members + "]}\n";
        serve(discovery, socket -> watch(socket, list));
        System.out.println("discovery on 127.0.0.1:" + discovery.getLocalPort() + ", group 1");
    }

    private static void serve(ServerSocket server, Speaker speaker) {
        new Thread(() -> {
                    while (true) {
                        try {
                            Socket socket = server.accept();
                            new Thread(() -> {
                                        try (socket) {
                                            speaker.speak(socket);
                                        } catch (IOException e) {
                                            System.out.println("closed: " + e.getMessage());
                                        }
                                    })
                                    .start();
                        } catch (IOException e) {
                            System.out.println("no longer accepting: " + e.getMessage());
                            return;
                        }
                    }
                })
                .start();
    }

    // ---- discovery: the endpoint list, and a heartbeat every 2 s ----

    private static void watch(Socket socket, String list) throws IOException {
        BufferedReader in =
                new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
        while (!in.readLine().isEmpty()) {
            // The request's headers are not needed.
            continue;
        }
        OutputStream out = socket.getOutputStream();
        out.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        chunk(out, list);
        while (true) {
            try {
                Thread.sleep(2000);
            } catch (InterruptedException e) {
                return;
            }
            chunk(out, "\n");
        }
    }

    private static void chunk(OutputStream out, String text) throws IOException {
        out.write((Integer.toHexString(text.length()) + "\r\n" + text + "\r\n").getBytes(StandardCharsets.US_ASCII));
    }

    // ---- a db node: PostgreSQL's protocol, version 3, simple queries ----

    private static void node(Socket socket, String name, int lag) throws IOException {
        DataInputStream in = new DataInputStream(socket.getInputStream());
        DataOutputStream out = new DataOutputStream(new BufferedOutputStream(socket.getOutputStream()));
        in.skipNBytes(in.readInt() - 4);
        message(out, 'R', new byte[4]);
        ready(out);
        while (in.read() == 'Q') {
            byte[] body = in.readNBytes(in.readInt() - 4);
            String query = new String(body, 0, body.length - 1, StandardCharsets.UTF_8);
            long asOf = System.currentTimeMillis() - lag;
            System.out.println(name + ": " + query);
            if (query.startsWith("SHOW vitals")) {
                row(out, "x0=" + asOf / 1000.0 + ",x1=" + (lag == 0 ? 1 : 0));
            } else if (query.startsWith("INSERT") && lag > 0) {
                error(out, "25006");
            } else if (query.startsWith("INSERT")) {
                String[] quoted = query.split("'");
                ROWS.put(quoted[1], new Row(quoted[3], asOf));
                row(out, quoted[3]);
            } else if (after(query) > asOf) {
                error(out, "72000");
            } else {
                String[] quoted = query.split("'");
                Row found = quoted.length > 1 ? ROWS.get(quoted[1]) : null;
                row(out, found == null || found.committedMillis() > asOf ? "(nothing)" : found.blob());
            }
            message(out, 'S', ("as_of\0" + asOf + "\0").getBytes(StandardCharsets.UTF_8));
            message(out, 'S', ("rank\0" + (lag == 0 ? "source" : "copy") + "\0").getBytes(StandardCharsets.UTF_8));
            ready(out);
        }
    }

    private static long after(String query) {
        int at = query.indexOf("after=");
        return at < 0 ? 0 : Long.parseLong(query.substring(at + 6).split("[^0-9]")[0]);
    }

    private static void row(DataOutputStream out, String value) throws IOException {
        message(
                out,
                'T',
                ("\0\1blob\0\0\0\0\0\0\0\0\0\0\31\377\377\377\377\377\377\0\0").getBytes(StandardCharsets.ISO_8859_1));
        byte[] bytes = value.getBytes(StandardCharsets.UTF_8);
        out.write('D');
        out.writeInt(10 + bytes.length);
        out.writeShort(1);
        out.writeInt(bytes.length);
        out.write(bytes);
        message(out, 'C', "SELECT 1\0".getBytes(StandardCharsets.UTF_8));
    }

    private static void error(DataOutputStream out, String code) throws IOException {
        message(out, 'E', ("SERROR\0C" + code + "\0Mnot here\0\0").getBytes(StandardCharsets.UTF_8));
    }

    private static void ready(DataOutputStream out) throws IOException {
        message(out, 'Z', new byte[] {'I'});
        out.flush();
    }

    private static void message(DataOutputStream out, char type, byte[] body) throws IOException {
        out.write(type);
        out.writeInt(body.length + 4);
        out.write(body);
    }
}
