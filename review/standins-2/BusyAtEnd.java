import java.io.BufferedInputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.atomic.AtomicInteger;

/** A planned restart while clients always have a second request on its way on each connection. */
final class BusyAtEnd {
    private static final int CONNECTIONS = 6;
    private static final int REQUESTS_AT_ONCE = 2;
    /** The longest deadline of the settings, 2 s, and 0.7 s. */
    private static final long KILL_AFTER_MILLIS = 2700;

    private static volatile long termAtMillis = Long.MAX_VALUE;
    private static volatile long endAtMillis = Long.MAX_VALUE;

    private record Sent(long atMillis, String id) {}

    /** One connection with two requests on their way at any time. */
    private static final class Client {
        final ConcurrentLinkedDeque<Sent> open = new ConcurrentLinkedDeque<>();
        final AtomicInteger served = new AtomicInteger();
        final AtomicInteger other = new AtomicInteger();
        /** How the connection ended: by FIN, by a reset, or "" while it is open. */
        volatile String end = "";

        void run(int port) {
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress(Kit.HOST, port), 1000);
                socket.setTcpNoDelay(true);
                DataInputStream in = new DataInputStream(new BufferedInputStream(socket.getInputStream()));
                DataOutputStream out = new DataOutputStream(socket.getOutputStream());
                byte[] body = "user\0api\0database\0ledger\0\0".getBytes(StandardCharsets.UTF_8);
                out.writeInt(body.length + 8);
                out.writeInt(196608);
                out.write(body);
                read(in);
                while (System.currentTimeMillis() < endAtMillis) {
                    while (open.size() < REQUESTS_AT_ONCE) {
                        send(out);
                    }
                    char kind = read(in);
                    open.pollFirst();
                    (kind == 'C' ? served : other).incrementAndGet();
                }
                while (!open.isEmpty()) {
                    read(in);
                    open.pollFirst();
                }
            } catch (IOException e) {
                end = e.toString();
            }
        }

        private void send(DataOutputStream out) throws IOException {
            String id = Kit.newId();
            byte[] text = ("SELECT blob FROM rows WHERE handle = 'k' /* id=" + id
                            + ",c=bag-status,t=almaty-branch,d=2000,cluster=1 */").getBytes(StandardCharsets.UTF_8);
            byte[] message = new byte[text.length + 6];
            message[0] = 'Q';
            message[3] = (byte) (text.length + 5 >> 8);
            message[4] = (byte) (text.length + 5);
            System.arraycopy(text, 0, message, 5, text.length);
            out.write(message);
            open.addLast(new Sent(System.currentTimeMillis(), id));
        }

        /** Reads one whole answer; returns C if it was served, E if not. */
        private static char read(DataInputStream in) throws IOException {
            char kind = 'E';
            while (true) {
                int type = in.readByte();
                in.skipNBytes(in.readInt() - 4);
                kind = type == 'C' ? 'C' : kind;
                if (type == 'Z') {
                    return kind;
                }
            }
        }
    }

    public static void main(String[] args) throws Exception {
        Kit.main(args[0], BusyAtEnd::run);
    }

    private static boolean run() throws Exception {
        Kit.Ledger ledger = new Kit.Ledger();
        List<Kit.PgNode> nodes = new ArrayList<>();
        for (int i = 1; i <= 3; i++) {
            Kit.PgNode node = new Kit.PgNode("n" + i, ledger, i == 1, i == 1 ? 0 : 10);
            node.workMillis = 40;
            nodes.add(node);
        }
        Kit.Discovery discovery = new Kit.Discovery(nodes);
        int port = Kit.freePort();
        Process pooler = Kit.pooler("n0", Kit.config("n0", port, discovery.port), null);
        if (!Kit.awaitReady(port, 20_000)) {
            throw new IllegalStateException("the pooler is not ready");
        }
        List<Client> clients = new ArrayList<>();
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < CONNECTIONS; i++) {
            Client client = new Client();
            clients.add(client);
            threads.add(Kit.start(() -> client.run(port)));
        }
        Kit.sleep(4000);
        Kit.note("served so far: %d", clients.stream().mapToInt(client -> client.served.get()).sum());
        if (!Kit.TROUBLE) {
            endAtMillis = System.currentTimeMillis() + 3000;
            for (Thread thread : threads) {
                thread.join(5000);
            }
        } else {
            termAtMillis = System.currentTimeMillis();
            pooler.destroy();
            Kit.note("SIGTERM");
            while (pooler.isAlive() && System.currentTimeMillis() < termAtMillis + KILL_AFTER_MILLIS) {
                Kit.sleep(5);
            }
            if (pooler.isAlive()) {
                Kit.note("SIGKILL: the program has not ended after %d ms", System.currentTimeMillis() - termAtMillis);
                pooler.destroyForcibly().waitFor();
            } else {
                Kit.note("the program ended with %d after %d ms", pooler.exitValue(), System.currentTimeMillis() - termAtMillis);
            }
            for (Thread thread : threads) {
                thread.join(2000);
            }
        }
        int lost = 0;
        for (Client client : clients) {
            StringBuilder open = new StringBuilder();
            for (Sent sent : client.open) {
                long after = sent.atMillis() - termAtMillis;
                open.append(String.format(" %s sent %d ms after SIGTERM", sent.id(), after));
                lost += after > 700 ? 1 : 0;
            }
            Kit.note("connection: %d served, %d other answers, ended %s, without an answer:%s", client.served.get(),
                    client.other.get(), client.end, open);
        }
        Kit.note("%d requests were lost", lost);
        Kit.recordLog("n0", "shutting", "ended", "stopped");
        return lost == 0;
    }
}
