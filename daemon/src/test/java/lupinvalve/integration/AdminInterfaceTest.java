package lupinvalve.integration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.sql.Connection;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import lupinvalve.cli.Daemon;
import lupinvalve.config.OperatorConfig;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Operators' commands to a running pooler by the admin interface, and hot restarts. */
class AdminInterfaceTest {
    @TempDir
    private Path sharedDirectory;

    private World world(DbNode... nodes) throws Exception {
        return new World(1024, OperatorConfig.NONE, sharedDirectory, nodes);
    }

    private static Map<String, Long> counters(World world) throws IOException {
        String text = world.call("counters");
        assertTrue(text.startsWith("ok\n") && text.endsWith("\neof\n"), text);
        Map<String, Long> counters = new HashMap<>();
        for (String line : text.lines().filter(reply -> reply.contains("=")).toList()) {
            counters.put(line.split("=")[0].replace("edge_node.", ""), Long.parseLong(line.split("=")[1]));
        }
        return counters;
    }

    private static String read(String id) {
        return PlatformTest.read(id, 900);
    }

    @Test
    void validCommandsAreAnsweredAndInvalidOnesRejected() throws Exception {
        try (World world = world(new DbNode("s-1", true))) {
            assertEquals("ok\n", world.call("health"));
            assertEquals("ok\n", world.call(" health \r"));
            for (String invalid : List.of(
                    "",
                    "helth",
                    "health now",
                    "cordon",
                    "cordon s-1 s-1",
                    "cordon \u0007",
                    "uncordon nobody",
                    "cordon nobody",
                    "x".repeat(300))) {
                String answer = world.call(invalid);
                assertTrue(answer.startsWith("fail ") && answer.endsWith("\n"), invalid + ": " + answer);
            }
            Map<String, Long> counters = counters(world);
            assertEquals(0, counters.get("requests.pickup-booking.failed"));
            assertEquals(1, counters.get("servers_known"));
        }
    }

    @Test
    void silentCallersDoNotDelayOthers() throws Exception {
        List<Socket> silent = new ArrayList<>();
        try (World world = world(new DbNode("s-1", true))) {
            for (int i = 0; i < 100; i++) {
                silent.add(new Socket(
                        world.daemon.adminAddress().getAddress(),
                        world.daemon.adminAddress().getPort()));
                silent.get(i).getOutputStream().write('h');
            }
            long start = System.nanoTime();
            assertEquals("ok\n", world.call("health"));
            assertTrue(System.nanoTime() - start < 1_000_000_000L);
            // The oldest connection was closed to make room, and received the reason.
            silent.get(0).setSoTimeout(10_000);
            assertEquals(
                    "fail too many callers\n",
                    new String(silent.get(0).getInputStream().readAllBytes()));
        } finally {
            for (Socket socket : silent) {
                socket.close();
            }
        }
    }

    @Test
    void countersMatchOutcomesAtClientsAndDbNodes() throws Exception {
        DbNode primary = new DbNode("s-1", true);
        DbNode replica = new DbNode("s-2", false);
        Map<String, Integer> expected = new HashMap<>();
        Random random = new Random(7);
        try (World world = world(primary, replica);
                Connection client = world.pg()) {
            DbNode.Makes[] behaviors = {
                DbNode.Makes.SERVED,
                DbNode.Makes.FULL,
                DbNode.Makes.ERROR,
                DbNode.Makes.DROP,
                DbNode.Makes.SERVED,
                DbNode.Makes.HANG
            };
            for (int i = 0; i < 60; i++) {
                boolean write = random.nextBoolean();
                primary.script.add(behaviors[random.nextInt(behaviors.length)]);
                String result = PlatformTest.queryOutcome(
                        client, write ? PlatformTest.booking("f" + i, 200) : PlatformTest.read("f" + i, 200));
                String outcome = result.equals("value") ? "served" : result.equals("53300") ? "refused" : "failed";
                expected.merge("requests." + (write ? "pickup-booking." : "bag-status.") + outcome, 1, Integer::sum);
            }
            // A request that is rejected as invalid is counted for no class.
            assertEquals("42601", PlatformTest.queryOutcome(client, "SELECT 2"));
            Map<String, Long> counters = counters(world);
            assertTrue(expected.size() >= 4, "each outcome must occur: " + expected);
            expected.forEach((name, count) -> assertEquals(count.longValue(), counters.get(name), name));
            assertEquals(
                    60,
                    counters.entrySet().stream()
                            .filter(e -> e.getKey().startsWith("requests."))
                            .mapToLong(Map.Entry::getValue)
                            .sum());
            assertEquals(primary.seen.size() + replica.seen.size(), counters.get("attempts"));
            assertEquals(0, counters.get("in_flight"));
            primary.script.clear();
            // The hung requests may have ejected the primary for a moment, and a write is queued for half of its
            // latency target only.
            int attempts = 0;
            while (!PlatformTest.queryOutcome(client, PlatformTest.booking("h" + attempts, 2000))
                    .equals("value")) {
                assertTrue(attempts++ < 50, "the primary serves again");
            }
            primary.script.add(DbNode.Makes.HANG);
            try (Socket disconnecting = world.raw(PlatformTest.booking("g", 2000))) {
                World.await("request in flight", () -> primary.runs.containsKey("g"));
                assertEquals(1, counters(world).get("in_flight"));
                disconnecting.getOutputStream().flush();
            }
            World.await("client disconnected", () -> {
                try {
                    return counters(world).get("in_flight") == 0;
                } catch (IOException e) {
                    throw new IllegalStateException(e);
                }
            });
        }
    }

    @Test
    void cordonedDbNodeGetsNoRequestsUntilUncordon() throws Exception {
        DbNode drained = new DbNode("s-2", false);
        DbNode other = new DbNode("s-3", false);
        try (World world = world(new DbNode("s-1", true), drained, other);
                Connection client = world.pg()) {
            World.await("watching", () -> world.watchesCount.get() > 0);
            assertEquals("ok\n", world.call("cordon s-2"));
            assertEquals("ok\n", world.call("cordon s-2"));
            int before = drained.seen.size();
            assertEquals(0, drained.open.get() + before, "idle connections must be closed");
            world.phase(drained, "terminated");
            world.phase(drained, "in_service");
            for (int i = 0; i < 30; i++) {
                assertEquals("value", PlatformTest.queryOutcome(client, read("a" + i)));
            }
            assertEquals(before, drained.seen.size());
            World.await("counted", () -> excludedServersCount(world) == 1);
            assertEquals("ok\n", world.call("uncordon s-2"));
            // Sequential reads may all go to the db node that serves them well; only concurrent reads are spread.
            Collection<String> outcomes = new ConcurrentLinkedQueue<>();
            AtomicBoolean done = new AtomicBoolean();
            for (int t = 0; t < 4; t++) {
                String name = "b" + t + "-";
                World.thread(() -> {
                    try (Connection more = world.pg()) {
                        for (int i = 0; !done.get(); i++) {
                            outcomes.add(PlatformTest.queryOutcome(more, read(name + i)));
                        }
                    }
                });
            }
            World.await("requests reach the db node again", () -> drained.seen.size() > before);
            done.set(true);
            assertEquals(
                    List.of(),
                    outcomes.stream()
                            .filter(outcome -> !outcome.equals("value"))
                            .toList());
            World.await("counted", () -> excludedServersCount(world) == 0);
        }
    }

    private static long excludedServersCount(World world) {
        try {
            return counters(world).get("servers_excluded");
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    @Test
    void cordonedPrimaryGetsNoWritesAndItsSuccessorIsFound() throws Exception {
        DbNode old = new DbNode("s-1", true);
        DbNode next = new DbNode("s-2", false);
        try (World world = world(old, next);
                Connection client = world.pg()) {
            assertEquals("value", PlatformTest.queryOutcome(client, PlatformTest.booking("a", 900)));
            assertEquals("ok\n", world.call("cordon s-1"));
            int before = old.seen.size();
            assertNotEquals("value", PlatformTest.queryOutcome(client, PlatformTest.booking("b", 300)));
            old.primary = false;
            next.primary = true;
            assertEquals("value", PlatformTest.queryOutcome(client, PlatformTest.booking("c", 900)));
            assertEquals(before, old.seen.size());
        }
    }

    @Test
    void quiescedPoolerFailsChecksClosesConnectionsAndResumes() throws Exception {
        DbNode primary = new DbNode("s-1", true);
        try (World world = world(primary, new DbNode("s-2", false));
                Socket idle = world.raw();
                Socket checkingClient = world.raw("");
                Socket busy = world.raw(PlatformTest.booking("a", 1500))) {
            PlatformTest.readMessages(idle, 'Z', 1);
            assertTrue(PlatformTest.readMessages(checkingClient, 'Z', 2).contains("I"));
            PlatformTest.readMessages(busy, 'Z', 2);
            primary.script.add(DbNode.Makes.HANG);
            busy.getOutputStream().write(PlatformTest.query(PlatformTest.booking("b", 1500)));
            World.await("request in flight", () -> primary.runs.containsKey("b"));
            assertEquals("ok\n", world.call("quiesce"));
            assertEquals("ok\n", world.call("quiesce"));
            assertTrue(world.call("health").startsWith("fail"));
            checkingClient.getOutputStream().write(PlatformTest.query(""));
            assertEquals(List.of("E57P03", "Z"), PlatformTest.readMessages(checkingClient, 'Z', 1));
            // A request that arrives meanwhile is served, and its connection is closed after the answer.
            try (Socket late = world.raw(read("c"))) {
                assertTrue(PlatformTest.readMessages(late, 'Z', 2).contains("D"));
                assertEquals(List.of("end"), PlatformTest.readMessages(late, 'Z', 1));
            }
            assertEquals(List.of("end"), PlatformTest.readMessages(idle, 'Z', 1));
            assertEquals(List.of("end"), PlatformTest.readMessages(checkingClient, 'Z', 1));
            assertEquals(List.of("E58000", "Z", "end"), PlatformTest.readMessages(busy, 'Z', 2));
            assertEquals("ok\n", world.call("resume"));
            assertEquals("ok\n", world.call("health"));
            try (Socket resumed = world.raw("", read("d"))) {
                assertEquals("I", PlatformTest.readMessages(resumed, 'Z', 2).get(PlatformTest.GREETING));
                assertTrue(PlatformTest.readMessages(resumed, 'Z', 1).contains("D"));
                resumed.setSoTimeout(800);
                boolean open;
                try {
                    open = resumed.getInputStream().read() >= 0;
                } catch (java.net.SocketTimeoutException e) {
                    open = true;
                }
                assertTrue(open, "connections must stay open again");
            }
        }
    }

    /** Guards against an id that runs at both processes of a hot restart, as its client has left the first. */
    @Test
    void anIdWhoseClientHasLeftOneProcessDoesNotRunAtTheOther() throws Exception {
        DbNode primary = new DbNode("s-1", true);
        primary.hold = new CountDownLatch(1);
        try (World world = world(primary, new DbNode("s-2", false))) {
            Daemon next = World.daemon(world.config(world.discovery, 1024), OperatorConfig.NONE, sharedDirectory);
            next.start();
            try {
                try (Socket first = world.raw(PlatformTest.booking("twice", 2000))) {
                    World.await("runs", () -> primary.runs.containsKey("twice"));
                    assertTrue(first.isConnected());
                }
                World.await("the first client has left", () -> openRequests(world) == 0);
                primary.hold.countDown();
                try (Socket second = World.raw(next.address().getPort(), PlatformTest.booking("twice", 2000))) {
                    List<String> answers = PlatformTest.readMessages(second, 'Z', 2);
                    assertTrue(answers.contains("E58000"), answers.toString());
                }
                assertEquals(1, primary.runs.get("twice"));
            } finally {
                next.stop();
            }
        }
    }

    private static long openRequests(World world) {
        try {
            return world.call("counters")
                    .lines()
                    .filter(line -> line.startsWith("edge_node.in_flight="))
                    .mapToLong(line -> Long.parseLong(line.split("=")[1]))
                    .findAny()
                    .orElseThrow();
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }

    @Test
    void hotRestartKeepsAddressAndDrainsAndServesAllClients() throws Exception {
        DbNode drained = new DbNode("s-2", false);
        DbNode other = new DbNode("s-3", false);
        try (World world = world(new DbNode("s-1", true), drained, other)) {
            assertEquals("ok\n", world.call("cordon s-2"));
            Daemon next = world.successor(sharedDirectory);
            next.start();
            // Both daemons of this test run in one process, so the marker is replaced by the id of another process.
            Process successor = new ProcessBuilder("sleep", "60").start();
            Files.writeString(
                    Files.list(sharedDirectory)
                            .filter(f -> f.toString().endsWith(".serving"))
                            .findAny()
                            .orElseThrow(),
                    Long.toString(successor.pid()));
            try {
                assertEquals("ok\n", World.call(next, "health"));
                assertEquals("ok\n", World.call(next, "cordon s-3"));
                World.await("a command to one process applies to the other", () -> excludedServersCount(world) == 2);
                assertEquals("ok\n", World.call(next, "uncordon s-3"));
                CountDownLatch stopped = new CountDownLatch(1);
                CountDownLatch finished = new CountDownLatch(4);
                List<String> outcomes = java.util.Collections.synchronizedList(new ArrayList<>());
                for (int t = 0; t < 4; t++) {
                    String name = "t" + t;
                    World.thread(() -> {
                        for (int i = 0, retries = 0; i < 100; i++) {
                            try (Socket client = world.raw(read(name + "-" + i))) {
                                List<String> got = PlatformTest.readMessages(client, 'Z', 2);
                                outcomes.add(got.contains("D") ? "served" : got.toString());
                            } catch (IOException e) {
                                // The connection arrived between the last accept and the close of the listener, at most
                                // once for each client: the kernel resets it unread, and clients then retry once.
                                if (retries++ == 0) {
                                    i--;
                                } else {
                                    outcomes.add(e.toString());
                                }
                            }
                        }
                        finished.countDown();
                    });
                }
                World.await("clients running", () -> outcomes.size() > 40);
                world.daemon.drain(stopped::countDown);
                assertTrue(stopped.await(2, TimeUnit.SECONDS), "a superseded process stops early");
                assertTrue(finished.await(20, TimeUnit.SECONDS));
                assertEquals(
                        List.of(),
                        outcomes.stream()
                                .filter(outcome -> !outcome.equals("served"))
                                .toList());
                assertEquals(400, outcomes.size());
                assertEquals(0, drained.seen.size());
                assertFalse(world.call("health").startsWith("ok"));
            } finally {
                successor.destroyForcibly();
                next.stop();
            }
        }
    }
}
