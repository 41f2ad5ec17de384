package lupinvalve.integration;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.sql.Connection;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import lupinvalve.cli.Daemon;
import lupinvalve.config.OperatorConfig;
import lupinvalve.replication.GroupClient;
import lupinvalve.replication.WireMessages;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A pooler that is a member of a group: what the group agrees on is what it does. */
class GroupStoryTest {
    @TempDir
    private Path shared;

    @TempDir
    private Path state;

    private OperatorConfig member(Map<String, String> members, long waitMicros) {
        return new OperatorConfig(
                0, null, new OperatorConfig.Store("test", "n0", state, "127.0.0.1:0", members, null, waitMicros), null);
    }

    private OperatorConfig alone() {
        return member(Map.of("n0", "127.0.0.1:1"), 0);
    }

    private static String ask(Daemon daemon, String call, String... words) throws Exception {
        List<byte[]> arguments = new ArrayList<>();
        for (String word : words) {
            arguments.add(word.getBytes(UTF_8));
        }
        GroupClient client = new GroupClient(
                "test", Map.of("n0", "127.0.0.1:" + daemon.storeAddress().getPort()), null);
        GroupClient.Result said = client.call(call, arguments, true, 10_000);
        assertEquals(WireMessages.Status.OK, said.status(), said.text());
        return said.text();
    }

    private static boolean says(World world, String call, String what) {
        try {
            return world.call(call).contains(what);
        } catch (java.io.IOException e) {
            throw new IllegalStateException(e);
        }
    }

    @Test
    void holdsBindTheRouterAndThePooler() throws Exception {
        DbNode out = new DbNode("s-2", false);
        try (World world = new World(1024, alone(), shared, new DbNode("s-1", true), out, new DbNode("s-3", false));
                Connection client = world.pg()) {
            ask(world.daemon, "hold", "node", "s-2", "new disk");
            World.await("held", () -> says(world, "counters", "servers_excluded=1\n"));
            int before = out.seen.size();
            for (int i = 0; i < 30; i++) {
                assertEquals("value", PlatformTest.end(client, PlatformTest.read("a" + i, 900)));
            }
            assertEquals(before, out.seen.size());
            // A call back by one of two ways leaves what the other one holds.
            assertEquals("ok\n", world.call("uncordon s-2"));
            assertTrue(says(world, "counters", "servers_excluded=1\n"));
            ask(world.daemon, "release", "node", "s-2");
            World.await("released", () -> says(world, "counters", "servers_excluded=0\n"));

            ask(world.daemon, "hold", "pooler", "n0", "deploy");
            World.await("sent away", () -> says(world, "health", "fail held by the group"));
            try (Socket asks = world.raw("")) {
                assertTrue(PlatformTest.messages(asks, 'Z', 2).contains("E57P03"));
            }
            ask(world.daemon, "release", "pooler", "n0");
            World.await("taken again", () -> says(world, "health", "ok"));
        }
    }

    @Test
    void aBookingsAnswerWaitsForAMajorityNoLongerThanItsBound() throws Exception {
        // The other founder never comes, so nothing is ever held by a majority.
        try (World world = new World(
                        1024,
                        member(Map.of("n0", "127.0.0.1:1", "n1", "127.0.0.1:1"), 300_000),
                        new DbNode("s-1", true));
                Connection client = world.pg()) {
            assertEquals("value", PlatformTest.end(client, PlatformTest.read("r", 900)));
            long start = System.nanoTime();
            assertEquals("value", PlatformTest.end(client, PlatformTest.booking("b", 2000)));
            long took = (System.nanoTime() - start) / 1_000_000;
            assertTrue(took >= 290 && took < 5000, took + " ms");
        }
    }

    @Test
    void aRestartServesBeforeDiscoveryAnswers() throws Exception {
        try (World world = new World(1024, alone(), new DbNode("s-1", true), new DbNode("s-2", false));
                Connection client = world.pg()) {
            assertEquals("value", PlatformTest.end(client, PlatformTest.booking("b", 900)));
            World.await("told of the db nodes", () -> {
                try {
                    return ask(world.daemon, "status").contains("\"listed_nodes\":2");
                } catch (Exception e) {
                    throw new IllegalStateException(e);
                }
            });
            world.daemon.stop();
            // Nobody answers at that address, and the file knows no db nodes.
            Daemon again = World.daemon(
                    Files.readString(Path.of("example/config.json"))
                            .replace("127.0.0.1:5432", "127.0.0.1:0")
                            .replace("127.0.0.1:8500", "127.0.0.1:1"),
                    alone(),
                    null);
            try {
                again.start();
                try (Connection next = World.pg(again.address().getPort())) {
                    assertEquals("value", PlatformTest.end(next, PlatformTest.booking("c", 900)));
                    assertEquals("value", PlatformTest.end(next, PlatformTest.read("d", 900)));
                }
            } finally {
                again.stop();
            }
        }
    }
}
