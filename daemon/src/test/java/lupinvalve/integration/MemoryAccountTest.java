package lupinvalve.integration;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.net.Socket;
import java.sql.Connection;
import java.util.ArrayList;
import java.util.List;
import lupinvalve.maintenance.MemoryBudgets;
import org.junit.jupiter.api.Test;

/** Guards against memory that stays counted after its connection: the pooler would refuse more and more requests. */
class MemoryAccountTest {
    private static final int LONG_VALUE_BYTES = 1 << 20;
    private static final int SHORT_VALUE_BYTES = 30_000;
    private static final int TIMEOUT_MILLIS = 900;

    private final DbNode primary = new DbNode("s-1", true);
    private final DbNode replica = new DbNode("s-2", false);
    private int lastId;

    MemoryAccountTest() throws IOException {}

    private String read() {
        return PlatformTest.read("r" + ++lastId, TIMEOUT_MILLIS);
    }

    private String booking() {
        return PlatformTest.booking("b" + ++lastId, TIMEOUT_MILLIS);
    }

    private static void awaitNothingTaken(MemoryBudgets memory) throws InterruptedException {
        World.await(
                "nothing is taken any more: " + memory,
                () -> memory.answers().unreadBytes() == 0
                        && memory.answers().incomingBytes() == 0
                        && memory.commands().takenBytes() == 0
                        && memory.unprocessedInput().takenBytes() == 0);
    }

    private void assertReleasedAfter(int valueBytes) throws Exception {
        primary.value = "v".repeat(valueBytes);
        replica.value = primary.value;
        try (World world = PlatformTest.newWorld(primary, replica)) {
            MemoryBudgets memory = world.daemon.memory();
            // Clients that read all, and answers of each ending.
            for (DbNode.Makes makes : DbNode.Makes.values()) {
                replica.script.add(makes);
                try (Connection client = world.pg()) {
                    PlatformTest.queryOutcome(client, read());
                    PlatformTest.queryOutcome(client, booking());
                }
            }
            // Clients that leave while answers are on their way or unread.
            int bookingsBefore = primary.runs.size();
            List<Socket> clients = new ArrayList<>();
            for (int i = 0; i < 8; i++) {
                clients.add(world.raw(read(), booking(), read(), "", "", booking()));
            }
            World.await("bookings have run", () -> primary.runs.size() >= bookingsBefore + clients.size());
            for (Socket client : clients) {
                client.close();
            }
            awaitNothingTaken(memory);
            try (Connection client = world.pg()) {
                assertEquals(primary.value, PlatformTest.queryOutcome(client, booking()));
            }
            awaitNothingTaken(memory);
        }
    }

    @Test
    void nothingStaysCountedForShortAnswers() throws Exception {
        assertReleasedAfter(SHORT_VALUE_BYTES);
    }

    @Test
    void nothingStaysCountedForStreamedAnswers() throws Exception {
        assertReleasedAfter(LONG_VALUE_BYTES);
    }
}
