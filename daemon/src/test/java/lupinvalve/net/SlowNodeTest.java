package lupinvalve.net;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static java.nio.charset.StandardCharsets.UTF_8;
import static lupinvalve.net.HeldCore.readAnswer;
import static lupinvalve.net.HeldCore.selectQuery;
import static lupinvalve.net.HeldCore.sendQuery;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import lupinvalve.core.DiscoveredEndpoint;
import lupinvalve.integration.World;
import lupinvalve.pg.PgFront;
import lupinvalve.routing.Endpoint;
import lupinvalve.routing.EndpointState;
import org.junit.jupiter.api.Test;

/** Db nodes that write an answer slowly, or read a request slowly. */
class SlowNodeTest {
    private static final int VALUE_BYTES = 30_000;
    private static final int QUICK_ANSWERS = 60;
    private static final int LARGE_BYTES = 900_000;

    /** What a db node does with the statement that it has begun to receive. */
    private interface Speaker {
        void speak(DataInputStream in, DataOutputStream out) throws Exception;
    }

    private static DiscoveredEndpoint node(String id, boolean primary, AtomicInteger statements, Speaker speaker)
            throws IOException {
        ServerSocket server = new ServerSocket();
        server.setReceiveBufferSize(16 << 10);
        server.bind(new java.net.InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        World.thread(() -> {
            while (true) {
                Socket socket = server.accept();
                socket.setTcpNoDelay(true);
                World.thread(() -> {
                    DataInputStream in = new DataInputStream(socket.getInputStream());
                    DataOutputStream out = new DataOutputStream(socket.getOutputStream());
                    in.skipNBytes(in.readInt() - 4L);
                    out.write(message('R', new byte[4]));
                    out.write(message('Z', "I".getBytes(UTF_8)));
                    while (in.read() == 'Q') {
                        int length = in.readInt() - 4;
                        if (length < 20) {
                            // A health check.
                            in.skipNBytes(length);
                            out.write(answer("x0=" + System.currentTimeMillis() / 1000.0 + ",x1=" + (primary ? 1 : 0)));
                            out.write(message('Z', "I".getBytes(UTF_8)));
                            continue;
                        }
                        statements.incrementAndGet();
                        if (length < LARGE_BYTES) {
                            in.skipNBytes(length);
                        }
                        speaker.speak(in, out);
                    }
                });
            }
        });
        return new DiscoveredEndpoint(
                new Endpoint(id, 1, 0, EndpointState.LIVE, primary, 0),
                Map.of(PgFront.PROTOCOL, "127.0.0.1:" + server.getLocalPort()));
    }

    private static byte[] message(char type, byte[] body) {
        return java.nio.ByteBuffer.allocate(1 + Integer.BYTES + body.length)
                .put((byte) type)
                .putInt(Integer.BYTES + body.length)
                .put(body)
                .array();
    }

    /** RowDescription, DataRow and CommandComplete. */
    private static byte[] answer(String value) throws IOException {
        java.io.ByteArrayOutputStream bytes = new java.io.ByteArrayOutputStream();
        bytes.write(message('T', "\0\1blob\0\0\0\0\0\0\0\0\0\0\31\377\377\377\377\377\377\0\0".getBytes(ISO_8859_1)));
        byte[] row = java.nio.ByteBuffer.allocate(2 + Integer.BYTES + value.length())
                .putShort((short) 1)
                .putInt(value.length())
                .put(value.getBytes(UTF_8))
                .array();
        bytes.write(message('D', row));
        bytes.write(message('C', "SELECT 1\0".getBytes(UTF_8)));
        return bytes.toByteArray();
    }

    /** Guards against attempts that are given up while their answer is arriving. */
    @Test
    void anAnswerThatIsBeingWrittenIsNotCutOffWhileItsRequestHasTime() throws Exception {
        AtomicInteger statements = new AtomicInteger();
        Speaker slowly = (in, out) -> {
            byte[] answer = answer("v".repeat(VALUE_BYTES));
            int pieceBytes = answer.length / 9;
            for (int i = 0; i < answer.length; i += pieceBytes) {
                out.write(answer, i, Math.min(pieceBytes, answer.length - i));
                Thread.sleep(statements.get() > QUICK_ANSWERS ? 100 : 0);
            }
            out.write(message('S', ("as_of\0" + System.currentTimeMillis() + "\0").getBytes(UTF_8)));
            out.write(message('S', "rank\0copy\0".getBytes(UTF_8)));
            out.write(message('Z', "I".getBytes(UTF_8)));
        };
        try (HeldCore pooler = new HeldCore(
                        text -> text, node("r", false, statements, slowly), node("q", false, statements, slowly));
                Socket client = pooler.client()) {
            // The pooler learns that answers are quick here, so that it gives attempts up early.
            for (int i = 0; i <= QUICK_ANSWERS; i++) {
                sendQuery(client, selectQuery("a" + i, "own-order-view", 1800));
                assertEquals(List.of("T", "D", "C"), readAnswer(client));
            }
            assertEquals(QUICK_ANSWERS + 1, statements.get());
        }
    }

    /** Guards against final answers that wait until a db node has read the rest of a large request. */
    @Test
    void theFinalAnswerComesInTimeWhereADbNodeReadsALargeRequestSlowly() throws Exception {
        Speaker slowly = (in, out) -> {
            byte[] piece = new byte[1_000];
            while (in.read(piece) >= 0) {
                Thread.sleep(50);
            }
        };
        AtomicInteger statements = new AtomicInteger();
        try (HeldCore pooler = new HeldCore(
                        text -> text, node("p", true, statements, slowly), node("r", false, statements, slowly));
                Socket client = pooler.client()) {
            String large = "9f".repeat(LARGE_BYTES / 2);
            for (String query : List.of(
                    HeldCore.insertQuery("a", 700).replace("\\x9f", "\\x" + large),
                    selectQuery("b", "own-order-view", 700).replace("'k1'", "'" + large + "'"))) {
                long startNanos = System.nanoTime();
                client.getOutputStream().write(message('Q', (query + "\0").getBytes(UTF_8)));
                List<String> answer = readAnswer(client);
                long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
                assertTrue(answer.equals(List.of("58000")) || answer.equals(List.of("53300")), answer.toString());
                assertTrue(millis < 1_200, "answered after " + millis + " ms");
            }
        }
    }
}
