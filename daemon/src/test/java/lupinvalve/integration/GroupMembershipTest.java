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

/** A pooler that is a member of a Raft group applies what the group commits. */
class GroupMembershipTest {
    @TempDir
    private Path sharedDirectory;

    @TempDir
    private Path state;

    private OperatorConfig member(Map<String, String> members, long waitMicros) {
        return new OperatorConfig(
                0, null, new OperatorConfig.Store("test", "n0", state, "127.0.0.1:0", members, null, waitMicros), null);
    }

    private OperatorConfig singleMember() {
        return member(Map.of("n0", "127.0.0.1:1"), 0);
    }

    private static String call(Daemon daemon, String command, String... words) throws Exception {
        List<byte[]> arguments = new ArrayList<>();
        for (String word : words) {
            arguments.add(word.getBytes(UTF_8));
        }
        GroupClient client = new GroupClient(
                "test", Map.of("n0", "127.0.0.1:" + daemon.storeAddress().getPort()), null);
        GroupClient.Result result = client.call(command, arguments, true, 10_000);
        assertEquals(WireMessages.Status.OK, result.status(), result.text());
        return result.text();
    }

    private static boolean answers(World world, String call, String expected) {
        try {
            return world.call(call).contains(expected);
        } catch (java.io.IOException e) {
            throw new IllegalStateException(e);
        }
    }

    @Test
    void groupDrainsApplyToRouterAndPooler() throws Exception {
        DbNode drained = new DbNode("s-2", false);
        try (World world = new World(
                        1024,
                        singleMember(),
                        sharedDirectory,
                        new DbNode("s-1", true),
                        drained,
                        new DbNode("s-3", false));
                Connection client = world.pg()) {
            call(world.daemon, "hold", "node", "s-2", "new disk");
            World.await("drain applied", () -> answers(world, "counters", "servers_excluded=1\n"));
            int before = drained.seen.size();
            for (int i = 0; i < 30; i++) {
                assertEquals("value", PlatformTest.queryOutcome(client, PlatformTest.read("a" + i, 900)));
            }
            assertEquals(before, drained.seen.size());
            // An uncordon by the admin interface does not end a drain by the group.
            assertEquals("ok\n", world.call("uncordon s-2"));
            assertTrue(answers(world, "counters", "servers_excluded=1\n"));
            call(world.daemon, "release", "node", "s-2");
            World.await("drain ended", () -> answers(world, "counters", "servers_excluded=0\n"));

            call(world.daemon, "hold", "pooler", "n0", "deploy");
            World.await("pooler drained", () -> answers(world, "health", "fail held by the group"));
            try (Socket checkingClient = world.raw("")) {
                assertTrue(PlatformTest.readMessages(checkingClient, 'Z', 2).contains("E57P03"));
            }
            call(world.daemon, "release", "pooler", "n0");
            World.await("pooler serves again", () -> answers(world, "health", "ok"));
        }
    }

    @Test
    void writeWaitsForAMajorityUpToItsTimeout() throws Exception {
        // The second founder never starts, so nothing is stored by a majority.
        try (World world = new World(
                        1024,
                        member(Map.of("n0", "127.0.0.1:1", "n1", "127.0.0.1:1"), 300_000),
                        new DbNode("s-1", true));
                Connection client = world.pg()) {
            assertEquals("value", PlatformTest.queryOutcome(client, PlatformTest.read("r", 900)));
            long start = System.nanoTime();
            assertEquals("value", PlatformTest.queryOutcome(client, PlatformTest.booking("b", 2000)));
            long tookMillis = (System.nanoTime() - start) / 1_000_000;
            assertTrue(tookMillis >= 290 && tookMillis < 5000, tookMillis + " ms");
        }
    }

    @Test
    void restartServesBeforeDiscoveryAnswers() throws Exception {
        try (World world = new World(1024, singleMember(), new DbNode("s-1", true), new DbNode("s-2", false));
                Connection client = world.pg()) {
            assertEquals("value", PlatformTest.queryOutcome(client, PlatformTest.booking("b", 900)));
            World.await("endpoint list published", () -> {
                try {
                    return call(world.daemon, "status").contains("\"listed_nodes\":2");
                } catch (Exception e) {
                    throw new IllegalStateException(e);
                }
            });
            world.daemon.stop();
            // Nothing listens on that address, and the file lists no db nodes.
            Daemon restarted = World.daemon(
                    Files.readString(Path.of("example/config.json"))
                            .replace("127.0.0.1:5432", "127.0.0.1:0")
                            .replace("127.0.0.1:8500", "127.0.0.1:1"),
                    singleMember(),
                    null);
            try {
                restarted.start();
                try (Connection next = World.pg(restarted.address().getPort())) {
                    assertEquals("value", PlatformTest.queryOutcome(next, PlatformTest.booking("c", 900)));
                    assertEquals("value", PlatformTest.queryOutcome(next, PlatformTest.read("d", 900)));
                }
            } finally {
                restarted.stop();
            }
        }
    }
}
