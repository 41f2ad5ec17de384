package lupinvalve.rig;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.BufferedOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicLong;

/** Clients of all poolers, a session each, which ask one thing after another and tell the book what came of it. */
final class SqlClients {
    private static final int DEADLINE = 2_000, SLACK = 500, CONNECT = 1_000, PAUSE_MOST = 30;
    /** One request in so many is left by its client, within so many ms. */
    private static final int LEAVES = 20, LEAVES_WITHIN = 60;
    private final Book book;
    private final Timing timing;
    private final int groups;
    private final AtomicLong numbers = new AtomicLong();
    private final List<Thread> threads = new ArrayList<>();
    private volatile boolean over;

    SqlClients(Book book, Timing timing, int groups) {
        this.book = book;
        this.timing = timing;
        this.groups = groups;
    }

    /** Starts so many clients of a pooler. */
    void start(String pooler, int port, int count, long seed) {
        for (int i = 0; i < count; i++) {
            Random random = new Random(seed * 31 + i);
            threads.add(Threads.start("client of " + pooler, () -> {
                while (!over) {
                    try (Socket socket = new Socket()) {
                        socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), CONNECT);
                        session(socket, pooler, random);
                    } catch (IOException e) {
                        Thread.sleep(20);
                    }
                }
            }));
        }
    }

    /** Whether a pooler takes clients. */
    static boolean takes(int port) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), CONNECT);
            socket.setSoTimeout(CONNECT);
            greet(socket);
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    private static DataInputStream greet(Socket socket) throws IOException {
        byte[] names = "user\0api\0database\0ledger\0\0".getBytes(UTF_8);
        DataOutputStream out = new DataOutputStream(new BufferedOutputStream(socket.getOutputStream()));
        out.writeInt(8 + names.length);
        out.writeInt(3 << 16);
        out.write(names);
        out.flush();
        DataInputStream in = new DataInputStream(socket.getInputStream());
        answer(in);
        return in;
    }

    private record Answer(String value, String code) {}

    private static Answer answer(DataInputStream in) throws IOException {
        String value = null;
        String code = null;
        while (true) {
            int type = in.readUnsignedByte();
            byte[] body = in.readNBytes(in.readInt() - 4);
            switch (type) {
                case 'D' -> value = new String(body, 6, body.length - 6, UTF_8);
                case 'E' -> code = code(body);
                case 'Z' -> {
                    return new Answer(value, code);
                }
                default -> {
                    // Nothing that a client looks at.
                }
            }
        }
    }

    private static String code(byte[] error) {
        for (String field : new String(error, UTF_8).split("\0")) {
            if (field.startsWith("C")) {
                return field.substring(1);
            }
        }
        return "";
    }

    private void session(Socket socket, String pooler, Random random) throws IOException, InterruptedException {
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(DEADLINE + SLACK);
        DataInputStream in = greet(socket);
        DataOutputStream out = new DataOutputStream(new BufferedOutputStream(socket.getOutputStream()));
        int group = random.nextInt(groups);
        long after = 0;
        while (!over) {
            String id = "q" + numbers.incrementAndGet();
            boolean write = random.nextInt(4) == 0;
            boolean own = !write && random.nextBoolean();
            String text = (write ? "INSERT INTO rows (handle, blob) VALUES ('s" + group + "', '\\x9f') RETURNING blob"
                    : "SELECT blob FROM rows WHERE handle = 's" + group + "'") + " /* id=" + id + ",c="
                    + (write ? "pickup-booking" : own ? "own-order-view" : "bag-status") + ",t=almaty-branch,d=" + DEADLINE
                    + ",cluster=" + group + (own && after > 0 ? ",after=" + after : "") + " */\0";
            byte[] bytes = text.getBytes(UTF_8);
            book.asked(id, pooler, write, System.currentTimeMillis());
            Book.Ending ending = Book.Ending.NOT_TAKEN;
            try {
                out.write('Q');
                out.writeInt(4 + bytes.length);
                out.write(bytes);
                out.flush();
                ending = Book.Ending.CLOSED;
                if (random.nextInt(LEAVES) == 0) {
                    Thread.sleep(random.nextInt(LEAVES_WITHIN));
                    ending = Book.Ending.LEFT;
                    socket.setSoLinger(random.nextBoolean(), 0);
                    socket.close();
                    timing.left(id, System.currentTimeMillis());
                    return;
                }
                Answer answer = answer(in);
                boolean refused = "53300".equals(answer.code) || "57P03".equals(answer.code);
                ending = answer.code == null && answer.value != null ? Book.Ending.SERVED
                        : refused ? Book.Ending.REFUSED : Book.Ending.FAILED;
                if (ending == Book.Ending.SERVED && write) {
                    after = Long.parseLong(answer.value);
                } else if (ending == Book.Ending.SERVED && own && Long.parseLong(answer.value) < after) {
                    book.stale(id, after, Long.parseLong(answer.value));
                }
            } catch (SocketTimeoutException e) {
                ending = Book.Ending.SILENT;
                throw e;
            } finally {
                book.ended(id, ending, System.currentTimeMillis());
            }
            Thread.sleep(1 + random.nextInt(PAUSE_MOST));
        }
    }

    void stop() throws InterruptedException {
        over = true;
        for (Thread thread : threads) {
            thread.join(DEADLINE + 2 * SLACK);
        }
    }
}
