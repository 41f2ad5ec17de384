package lupinvalve.mysql;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import lupinvalve.integration.DbNode;
import lupinvalve.integration.World;
import lupinvalve.maintenance.ByteBudget;
import org.junit.jupiter.api.Test;

/** MySQL commands without an answer, sent ahead: beyond each bound, none gets an answer, and none is half executed. */
class MysqlPipelineTest {
    private static final int MAX_WAITING = 64;
    private static final int BOOKINGS = 40;
    private static final String VALUE = "x".repeat(200);
    /** The first statement that a client prepares. */
    private static final long STATEMENT = 1;

    private static final String REJECTED = "1226";
    private static final String UNKNOWN_STATEMENT = "1243";
    private static final byte[] PING = RawMysqlClient.command(Protocol.COM_PING, "");

    private final DbNode primary = new DbNode("s-1", true);
    private final DbNode replica = new DbNode("s-2", false);

    MysqlPipelineTest() throws Exception {
        new MysqlPort(primary, true);
        new MysqlPort(replica, true);
    }

    private World world() throws Exception {
        return new World(MysqlPort.operatorConfig(), primary, replica);
    }

    private static RawMysqlClient client(World world) throws Exception {
        return new RawMysqlClient(world.daemon.mysqlAddress(), "portal", "towel");
    }

    private static byte[] prepare(int number) {
        return RawMysqlClient.command(
                Protocol.COM_STMT_PREPARE,
                "INSERT INTO rows VALUES (?, ?) RETURNING blob /* id=p" + number
                        + ",c=pickup-booking,t=acme,d=5000,cluster=1 */");
    }

    private static byte[] longData(String value) {
        return RawMysqlClient.longData(STATEMENT, value.getBytes(StandardCharsets.UTF_8));
    }

    private static byte[] execute(String handle) {
        return RawMysqlClient.execute(STATEMENT, handle);
    }

    /** Prepares a statement, and sends commands in one write behind a booking that the primary holds back. */
    private List<String> answersBehindAHeldBooking(RawMysqlClient client, int answers, List<byte[]> commands)
            throws Exception {
        client.send(prepare(1));
        assertEquals(List.of("ok"), client.answers(1));
        CountDownLatch released = new CountDownLatch(1);
        primary.hold = released;
        List<byte[]> all = new ArrayList<>(List.of(longData(VALUE), execute("held")));
        all.addAll(commands);
        client.send(all.toArray(new byte[0][]));
        World.await("the held booking runs", () -> primary.runs.containsKey("p1"));
        // What was sent in the same write has been read once a later connection is served.
        Thread.sleep(300);
        released.countDown();
        List<String> received = client.answers(1 + answers);
        assertEquals("rows", received.get(0));
        return received.subList(1, received.size());
    }

    private long executions(String handle) {
        return primary.seen.stream()
                .filter(statement -> statement.endsWith(" <" + handle + "> <" + VALUE + ">"))
                .count();
    }

    /**
     * Guards against answers to COM_STMT_SEND_LONG_DATA: behind them each answer is that of another command, and
     * bookings that run are told that they were refused.
     */
    @Test
    void bookingsBeyondTheLimitAreRejectedAndRunOnceWhenRepeated() throws Exception {
        // With a ping before them, the limit falls between a booking's value and its execution.
        for (int pings = 0; pings < 2; pings++) {
            primary.seen.clear();
            primary.runs.clear();
            try (World world = world();
                    RawMysqlClient client = client(world)) {
                List<byte[]> commands = new ArrayList<>(Collections.nCopies(pings, PING));
                List<String> expected = new ArrayList<>(Collections.nCopies(pings, "ok"));
                int accepted = (MAX_WAITING - pings) / 2;
                for (int i = 0; i < BOOKINGS; i++) {
                    commands.add(longData(VALUE));
                    commands.add(execute("b" + i));
                    expected.add(i < accepted ? "rows" : REJECTED);
                }
                assertEquals(expected, answersBehindAHeldBooking(client, pings + BOOKINGS, commands));
                for (int i = accepted; i < BOOKINGS; i++) {
                    client.send(longData(VALUE), execute("b" + i));
                    assertEquals(List.of("rows"), client.answers(1));
                }
                for (int i = 0; i < BOOKINGS; i++) {
                    assertEquals(1, executions("b" + i), "executions of booking " + i + ": " + primary.seen);
                }
                assertEquals(1 + BOOKINGS, primary.seen.size());
            }
        }
    }

    /** Guards against an execution without the value that was sent for it and dropped. */
    @Test
    void anExecutionWhoseValueWasDroppedIsRejected() throws Exception {
        try (World world = world();
                RawMysqlClient client = client(world)) {
            List<byte[]> commands = new ArrayList<>(Collections.nCopies(MAX_WAITING, PING));
            commands.add(longData(VALUE));
            assertEquals(
                    Collections.nCopies(MAX_WAITING, "ok"), answersBehindAHeldBooking(client, MAX_WAITING, commands));
            client.send(execute("b"));
            assertEquals(List.of(REJECTED), client.answers(1));
            client.send(longData(VALUE), execute("b"));
            assertEquals(List.of("rows"), client.answers(1));
            assertEquals(1, executions("b"));
            assertEquals(2, primary.seen.size(), primary.seen.toString());
        }
    }

    /** Guards against an answer to COM_STMT_CLOSE, and against a statement that stays open for good. */
    @Test
    void aCloseBeyondTheLimitTakesEffectWithoutAnAnswer() throws Exception {
        try (World world = world();
                RawMysqlClient client = client(world)) {
            List<byte[]> commands = new ArrayList<>(Collections.nCopies(MAX_WAITING, PING));
            commands.add(RawMysqlClient.close(STATEMENT));
            commands.add(PING);
            List<String> expected = new ArrayList<>(Collections.nCopies(MAX_WAITING, "ok"));
            expected.add(REJECTED);
            assertEquals(expected, answersBehindAHeldBooking(client, MAX_WAITING + 1, commands));
            client.send(execute("b"), PING);
            assertEquals(List.of(UNKNOWN_STATEMENT, "ok"), client.answers(2));
        }
    }

    /** Guards against a goodbye that is answered and forgotten. */
    @Test
    void aGoodbyeBeyondTheLimitEndsTheConnection() throws Exception {
        try (World world = world();
                RawMysqlClient client = client(world)) {
            List<byte[]> commands = new ArrayList<>(Collections.nCopies(MAX_WAITING, PING));
            commands.add(RawMysqlClient.command(Protocol.COM_QUIT, ""));
            List<String> expected = new ArrayList<>(Collections.nCopies(MAX_WAITING, "ok"));
            expected.add("end");
            assertEquals(expected, answersBehindAHeldBooking(client, MAX_WAITING + 1, commands));
        }
    }

    /**
     * Guards against reading that goes on up to a second late each time that it was paused, where no other connection
     * wakes the I/O thread.
     */
    @Test
    void inputThatComesFasterThanItIsProcessedIsReadWithoutPauses() throws Exception {
        try (World world = world();
                RawMysqlClient client = client(world)) {
            byte[] piece = RawMysqlClient.longData(STATEMENT, new byte[262_000]);
            long startNanos = System.nanoTime();
            for (int i = 0; i < 80; i++) {
                client.send(piece);
                if (i % 4 == 3) {
                    client.send(PING);
                    assertEquals(List.of("ok"), client.answers(1));
                }
            }
            long tookMillis = (System.nanoTime() - startNanos) / 1_000_000;
            assertTrue(tookMillis < 5_000, tookMillis + " ms for 21 MB");
        }
    }

    /** Guards against an OutOfMemoryError by values that clients send ahead for statements that they do not execute. */
    @Test
    void valuesSentAheadAreBoundedOverAllStatementsAndTheirExecutionsRejected() throws Exception {
        int statements = 40;
        try (World world = world();
                RawMysqlClient client = client(world)) {
            ByteBudget memory = world.daemon.memory().preparedStatements();
            byte[] piece = new byte[262_000];
            for (int id = 1; id <= statements; id++) {
                client.send(prepare(id));
                assertEquals(List.of("ok"), client.answers(1));
                for (int i = 0; i < 4; i++) {
                    client.send(RawMysqlClient.longData(id, piece));
                }
            }
            client.send(RawMysqlClient.execute(statements, "b"));
            assertEquals(List.of(REJECTED), client.answers(1));
            assertEquals(List.of(), primary.seen);
            assertTrue(memory.takenBytes() <= memory.limitBytes(), memory.takenBytes() + " bytes");
            assertTrue(memory.takenBytes() > memory.limitBytes() / 2, memory.takenBytes() + " bytes");
            client.send(RawMysqlClient.command(Protocol.COM_RESET_CONNECTION, ""));
            assertEquals(List.of("ok"), client.answers(1));
            World.await("all is released", () -> memory.takenBytes() == 0);
        }
    }
}
