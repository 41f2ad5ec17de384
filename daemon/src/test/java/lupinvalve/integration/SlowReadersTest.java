package lupinvalve.integration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import lupinvalve.config.OperatorConfig;
import org.junit.jupiter.api.Test;

/** Guards the process's memory against what it keeps for clients that read slowly. */
class SlowReadersTest {
    private static final int SLOW_CLIENTS = 50;
    /** Commands that a slow client sends at once; a connection may have 64 waiting. */
    private static final int COMMANDS_AT_ONCE = 62;

    private static final int ROUNDS = 3;
    private static final int VALUE_BYTES = 60_000;
    private static final int RECEIVE_BUFFER_BYTES = 4096;
    private static final int SLOW_READ_BYTES = 2_000;
    private static final long SLOW_READ_PAUSE_MILLIS = 100;
    /** So that the db nodes keep up with the commands. */
    private static final long COMMANDS_PAUSE_MILLIS = 60;

    private static final int DEADLINE_MILLIS = 2_000;
    /** Up to half a second after its deadline an answer counts as given; time limits on sockets are 50 ms longer. */
    private static final long LATEST_ANSWER_MILLIS = DEADLINE_MILLIS + 550;

    private final AtomicInteger lastId = new AtomicInteger();
    private final AtomicBoolean ended = new AtomicBoolean();
    private final AtomicReference<IOException> sendFailure = new AtomicReference<>();

    private String read() {
        return PlatformTest.read("r" + lastId.incrementAndGet(), DEADLINE_MILLIS);
    }

    private byte[] readsAtOnce() throws IOException {
        ByteArrayOutputStream commands = new ByteArrayOutputStream();
        for (int i = 0; i < COMMANDS_AT_ONCE; i++) {
            commands.write(World.query(read()));
        }
        return commands.toByteArray();
    }

    private Socket slowClient(int port) throws IOException {
        Socket socket = new Socket();
        socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
        socket.connect(new InetSocketAddress("127.0.0.1", port));
        socket.getOutputStream().write(World.startup());
        World.thread(() -> readSlowly(socket.getInputStream()));
        return socket;
    }

    private void readSlowly(InputStream in) throws IOException, InterruptedException {
        byte[] some = new byte[SLOW_READ_BYTES];
        while (!ended.get() && in.read(some) >= 0) {
            Thread.sleep(SLOW_READ_PAUSE_MILLIS);
        }
    }

    private void sendRounds(int port, List<Socket> clients) {
        try {
            for (int i = 0; i < ROUNDS * SLOW_CLIENTS && !ended.get(); i++) {
                if (i < SLOW_CLIENTS) {
                    clients.add(slowClient(port));
                }
                clients.get(i % SLOW_CLIENTS).getOutputStream().write(readsAtOnce());
                Thread.sleep(COMMANDS_PAUSE_MILLIS);
            }
        } catch (IOException e) {
            sendFailure.set(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Guards against an OutOfMemoryError by many short answers that their clients have not read: none of them is long,
     * and no client has asked for much, but all of them together are several times the heap.
     */
    @Test
    void unreadShortAnswersOfManyClientsDoNotExhaustTheHeap() throws Exception {
        DbNode[] nodes = {new DbNode("s-1", true), new DbNode("s-2", false), new DbNode("s-3", false)};
        for (DbNode node : nodes) {
            node.value = "v".repeat(VALUE_BYTES);
        }
        List<Socket> slowClients = new CopyOnWriteArrayList<>();
        try (World world = new World(OperatorConfig.NONE, nodes);
                Program program = Program.serve(world.config(world.discovery, 1024))) {
            String line = program.until("listens on");
            int port = Integer.parseInt(line.substring(line.lastIndexOf(':') + 1));
            program.readLog();
            Thread sender = new Thread(() -> sendRounds(port, slowClients));
            sender.start();
            int served = 0;
            int asked = 0;
            while (sender.isAlive()) {
                asked++;
                long startNanos = System.nanoTime();
                try (Socket usual = World.raw(port, read())) {
                    List<String> answer = PlatformTest.readMessages(usual, 'Z', 2);
                    served += answer.contains("D") ? 1 : 0;
                    assertEquals("Z", answer.get(answer.size() - 1), "usual request " + asked + " has an answer");
                }
                long tookMillis = (System.nanoTime() - startNanos) / 1_000_000;
                assertTrue(tookMillis <= LATEST_ANSWER_MILLIS, "usual request " + asked + " took " + tookMillis);
            }
            assertTrue(program.isAlive(), "the process has ended");
            assertNull(sendFailure.get(), () -> "a slow client's connection has ended: " + program.lines());
            assertTrue(served > 0 && served >= asked * 9 / 10, "served " + served + " of " + asked + " usual requests");
        } finally {
            ended.set(true);
            for (Socket client : slowClients) {
                client.close();
            }
        }
    }
}
