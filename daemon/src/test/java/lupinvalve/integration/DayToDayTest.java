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

/** What operators do with a pooler that runs, over its second address and from outside. */
class DayToDayTest {
    @TempDir
    private Path shared;

    private World world(DbNode... nodes) throws Exception {
        return new World(1024, OperatorConfig.NONE, shared, nodes);
    }

    private static Map<String, Long> figures(World world) throws IOException {
        String text = world.call("counters");
        assertTrue(text.startsWith("ok\n") && text.endsWith("\neof\n"), text);
        Map<String, Long> figures = new HashMap<>();
        for (String line : text.lines().filter(l -> l.contains("=")).toList()) {
            figures.put(line.split("=")[0].replace("edge_node.", ""), Long.parseLong(line.split("=")[1]));
        }
        return figures;
    }

    private static String read(String id) {
        return PlatformTest.read(id, 900);
    }

    @Test
    void callsAreAnsweredAndStrangeOnesTurnedDown() throws Exception {
        try (World world = world(new DbNode("s-1", true))) {
            assertEquals("ok\n", world.call("health"));
            assertEquals("ok\n", world.call(" health \r"));
            for (String strange : List.of(
                    "",
                    "helth",
                    "health now",
                    "cordon",
                    "cordon s-1 s-1",
                    "cordon \u0007",
                    "uncordon nobody",
                    "cordon nobody",
                    "x".repeat(300))) {
                String answer = world.call(strange);
                assertTrue(answer.startsWith("fail ") && answer.endsWith("\n"), strange + ": " + answer);
            }
            Map<String, Long> figures = figures(world);
            assertEquals(0, figures.get("requests.pickup-booking.failed"));
            assertEquals(1, figures.get("servers_known"));
        }
    }

    @Test
    void silentCallersKeepNobodyWaiting() throws Exception {
        List<Socket> silent = new ArrayList<>();
        try (World world = world(new DbNode("s-1", true))) {
            for (int i = 0; i < 100; i++) {
                silent.add(new Socket(
                        world.daemon.doorAddress().getAddress(),
                        world.daemon.doorAddress().getPort()));
                silent.get(i).getOutputStream().write('h');
            }
            long start = System.nanoTime();
            assertEquals("ok\n", world.call("health"));
            assertTrue(System.nanoTime() - start < 1_000_000_000L);
            // The one that has been here longest made room, and was told why.
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
    void figuresAreWhatClientsAndDbNodesSaw() throws Exception {
        DbNode primary = new DbNode("s-1", true);
        DbNode replica = new DbNode("s-2", false);
        Map<String, Integer> told = new HashMap<>();
        Random random = new Random(7);
        try (World world = world(primary, replica);
                Connection client = world.pg()) {
            DbNode.Makes[] makes = {
                DbNode.Makes.SERVED,
                DbNode.Makes.FULL,
                DbNode.Makes.ERROR,
                DbNode.Makes.DROP,
                DbNode.Makes.SERVED,
                DbNode.Makes.HANG
            };
            for (int i = 0; i < 60; i++) {
                boolean write = random.nextBoolean();
                primary.script.add(makes[random.nextInt(makes.length)]);
                String end = PlatformTest.end(
                        client, write ? PlatformTest.booking("f" + i, 200) : PlatformTest.read("f" + i, 200));
                String how = end.equals("value") ? "served" : end.equals("53300") ? "refused" : "failed";
                told.merge("requests." + (write ? "pickup-booking." : "bag-status.") + how, 1, Integer::sum);
            }
            // One that is the client's own fault belongs to no class.
            assertEquals("42601", PlatformTest.end(client, "SELECT 2"));
            Map<String, Long> figures = figures(world);
            assertTrue(told.size() >= 4, "each ending comes about: " + told);
            told.forEach((name, count) -> assertEquals(count.longValue(), figures.get(name), name));
            assertEquals(
                    60,
                    figures.entrySet().stream()
                            .filter(e -> e.getKey().startsWith("requests."))
                            .mapToLong(Map.Entry::getValue)
                            .sum());
            assertEquals(primary.seen.size() + replica.seen.size(), figures.get("attempts"));
            assertEquals(0, figures.get("in_flight"));
            primary.script.clear();
            // What hung may have left the primary out for a moment, and a write is held for half of its aim only.
            int tries = 0;
            while (!PlatformTest.end(client, PlatformTest.booking("h" + tries, 2000))
                    .equals("value")) {
                assertTrue(tries++ < 50, "used again");
            }
            primary.script.add(DbNode.Makes.HANG);
            try (Socket left = world.raw(PlatformTest.booking("g", 2000))) {
                World.await("in work", () -> primary.runs.containsKey("g"));
                assertEquals(1, figures(world).get("in_flight"));
                left.getOutputStream().flush();
            }
            World.await("its client has left", () -> {
                try {
                    return figures(world).get("in_flight") == 0;
                } catch (IOException e) {
                    throw new IllegalStateException(e);
                }
            });
        }
    }

    @Test
    void whatIsTakenOutGetsNothingWhateverIsListedAndComesBackAtOneCall() throws Exception {
        DbNode out = new DbNode("s-2", false);
        DbNode other = new DbNode("s-3", false);
        try (World world = world(new DbNode("s-1", true), out, other);
                Connection client = world.pg()) {
            World.await("watching", () -> world.watches.get() > 0);
            assertEquals("ok\n", world.call("cordon s-2"));
            assertEquals("ok\n", world.call("cordon s-2"));
            int before = out.seen.size();
            assertEquals(0, out.open.get() + before, "no connection is left that rested");
            world.phase(out, "terminated");
            world.phase(out, "in_service");
            for (int i = 0; i < 30; i++) {
                assertEquals("value", PlatformTest.end(client, read("a" + i)));
            }
            assertEquals(before, out.seen.size());
            World.await("counted", () -> excluded(world) == 1);
            assertEquals("ok\n", world.call("uncordon s-2"));
            // One read at a time may stay with the db node that serves them well: only several at once spread.
            Collection<String> ends = new ConcurrentLinkedQueue<>();
            AtomicBoolean enough = new AtomicBoolean();
            for (int t = 0; t < 4; t++) {
                String name = "b" + t + "-";
                World.thread(() -> {
                    try (Connection more = world.pg()) {
                        for (int i = 0; !enough.get(); i++) {
                            ends.add(PlatformTest.end(more, read(name + i)));
                        }
                    }
                });
            }
            World.await("used again", () -> out.seen.size() > before);
            enough.set(true);
            assertEquals(
                    List.of(), ends.stream().filter(end -> !end.equals("value")).toList());
            World.await("counted", () -> excluded(world) == 0);
        }
    }

    private static long excluded(World world) {
        try {
            return figures(world).get("servers_excluded");
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    @Test
    void aPrimaryTakenOutGetsNoWriteAndTheNextOneIsFound() throws Exception {
        DbNode old = new DbNode("s-1", true);
        DbNode next = new DbNode("s-2", false);
        try (World world = world(old, next);
                Connection client = world.pg()) {
            assertEquals("value", PlatformTest.end(client, PlatformTest.booking("a", 900)));
            assertEquals("ok\n", world.call("cordon s-1"));
            int before = old.seen.size();
            assertNotEquals("value", PlatformTest.end(client, PlatformTest.booking("b", 300)));
            old.primary = false;
            next.primary = true;
            assertEquals("value", PlatformTest.end(client, PlatformTest.booking("c", 900)));
            assertEquals(before, old.seen.size());
        }
    }

    @Test
    void aDrainedPoolerSaysNoEndsConnectionsAndGoesBackToWork() throws Exception {
        DbNode primary = new DbNode("s-1", true);
        try (World world = world(primary, new DbNode("s-2", false));
                Socket idle = world.raw();
                Socket asks = world.raw("");
                Socket busy = world.raw(PlatformTest.booking("a", 1500))) {
            PlatformTest.messages(idle, 'Z', 1);
            assertTrue(PlatformTest.messages(asks, 'Z', 2).contains("I"));
            PlatformTest.messages(busy, 'Z', 2);
            primary.script.add(DbNode.Makes.HANG);
            busy.getOutputStream().write(PlatformTest.query(PlatformTest.booking("b", 1500)));
            World.await("in work", () -> primary.runs.containsKey("b"));
            assertEquals("ok\n", world.call("quiesce"));
            assertEquals("ok\n", world.call("quiesce"));
            assertTrue(world.call("health").startsWith("fail"));
            asks.getOutputStream().write(PlatformTest.query(""));
            assertEquals(List.of("E57P03", "Z"), PlatformTest.messages(asks, 'Z', 1));
            // What comes meanwhile is served, and its connection ends behind the answer.
            try (Socket late = world.raw(read("c"))) {
                assertTrue(PlatformTest.messages(late, 'Z', 2).contains("D"));
                assertEquals(List.of("end"), PlatformTest.messages(late, 'Z', 1));
            }
            assertEquals(List.of("end"), PlatformTest.messages(idle, 'Z', 1));
            assertEquals(List.of("end"), PlatformTest.messages(asks, 'Z', 1));
            assertEquals(List.of("E58000", "Z", "end"), PlatformTest.messages(busy, 'Z', 2));
            assertEquals("ok\n", world.call("resume"));
            assertEquals("ok\n", world.call("health"));
            try (Socket again = world.raw("", read("d"))) {
                assertEquals("I", PlatformTest.messages(again, 'Z', 2).get(PlatformTest.GREETING));
                assertTrue(PlatformTest.messages(again, 'Z', 1).contains("D"));
                again.setSoTimeout(800);
                boolean open;
                try {
                    open = again.getInputStream().read() >= 0;
                } catch (java.net.SocketTimeoutException e) {
                    open = true;
                }
                assertTrue(open, "connections stay again");
            }
        }
    }

    @Test
    void aSuccessorTakesOverAddressAndOrdersAndNobodyIsTurnedBack() throws Exception {
        DbNode out = new DbNode("s-2", false);
        DbNode other = new DbNode("s-3", false);
        try (World world = world(new DbNode("s-1", true), out, other)) {
            assertEquals("ok\n", world.call("cordon s-2"));
            Daemon next = world.successor(shared);
            next.start();
            // Both processes of this test have one number, so the note is made another's.
            Process successor = new ProcessBuilder("sleep", "60").start();
            Files.writeString(
                    Files.list(shared)
                            .filter(f -> f.toString().endsWith(".serving"))
                            .findAny()
                            .orElseThrow(),
                    Long.toString(successor.pid()));
            try {
                assertEquals("ok\n", World.call(next, "health"));
                assertEquals("ok\n", World.call(next, "cordon s-3"));
                World.await("the order given to one binds the other", () -> excluded(world) == 2);
                assertEquals("ok\n", World.call(next, "uncordon s-3"));
                CountDownLatch stopped = new CountDownLatch(1);
                CountDownLatch asked = new CountDownLatch(4);
                List<String> ends = java.util.Collections.synchronizedList(new ArrayList<>());
                for (int t = 0; t < 4; t++) {
                    String name = "t" + t;
                    World.thread(() -> {
                        for (int i = 0, again = 0; i < 100; i++) {
                            try (Socket client = world.raw(read(name + "-" + i))) {
                                List<String> got = PlatformTest.messages(client, 'Z', 2);
                                ends.add(got.contains("D") ? "served" : got.toString());
                            } catch (IOException e) {
                                // It came between the last look at the queue and the close, at most once for each
                                // client: the system resets it unread, and clients then ask once more.
                                if (again++ == 0) {
                                    i--;
                                } else {
                                    ends.add(e.toString());
                                }
                            }
                        }
                        asked.countDown();
                    });
                }
                World.await("under way", () -> ends.size() > 40);
                world.daemon.drain(stopped::countDown);
                assertTrue(stopped.await(2, TimeUnit.SECONDS), "it leaves early");
                assertTrue(asked.await(20, TimeUnit.SECONDS));
                assertEquals(
                        List.of(),
                        ends.stream().filter(end -> !end.equals("served")).toList());
                assertEquals(400, ends.size());
                assertEquals(0, out.seen.size());
                assertFalse(world.call("health").startsWith("ok"));
            } finally {
                successor.destroyForcibly();
                next.stop();
            }
        }
    }
}
