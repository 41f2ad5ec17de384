package lupinvalve.drills;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import lupinvalve.replication.GroupClient;
import lupinvalve.replication.WireMessages;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Three control members and two poolers that follow them, each the program as it ships, with faults between them. */
class SubscribersTest {
    private static final List<String> MEMBERS = List.of("c0", "c1", "c2");
    private static final List<String> SUBSCRIBERS = List.of("s0", "s1");
    private static final long AWAIT_SECONDS = 40;

    @TempDir
    private Path folder;

    private final InForce book = new InForce();
    private final Map<String, DaemonProcess> processes = new TreeMap<>();
    /** From a subscriber to a member. */
    private final Map<String, FaultProxy> ways = new TreeMap<>();

    private final Map<String, String> places = new TreeMap<>();
    private long revision;

    @AfterEach
    void end() throws Exception {
        for (DaemonProcess process : processes.values()) {
            process.pause(false);
            process.close();
        }
        for (FaultProxy way : ways.values()) {
            way.close();
        }
    }

    private void start() throws Exception {
        String platform = Files.readString(Path.of("example/config.json"));
        List<String> all = new ArrayList<>(MEMBERS);
        all.addAll(SUBSCRIBERS);
        try (Scratch.Ports ports = new Scratch.Ports(all.size() + MEMBERS.size())) {
            for (int i = 0; i < MEMBERS.size(); i++) {
                places.put(MEMBERS.get(i), "127.0.0.1:" + ports.get(all.size() + i));
            }
            for (String subscriber : SUBSCRIBERS) {
                for (String member : MEMBERS) {
                    ways.put(
                            subscriber + ">" + member,
                            new FaultProxy(Integer.parseInt(places.get(member).substring(10))));
                }
            }
            for (int i = 0; i < all.size(); i++) {
                String name = all.get(i);
                DaemonProcess process =
                        new DaemonProcess(name, folder, line -> book.line(name, line, System.currentTimeMillis()));
                process.files(
                        platform.replace("\"name\": \"n0\"", "\"name\": \"" + name + "\"")
                                .replace("127.0.0.1:5432", "127.0.0.1:" + ports.get(i))
                                .replace("127.0.0.1:8500", "127.0.0.1:1"),
                        store(name));
                processes.put(name, process);
            }
        }
        for (DaemonProcess process : processes.values()) {
            process.start();
        }
    }

    private String store(String name) {
        boolean member = MEMBERS.contains(name);
        StringBuilder addresses = new StringBuilder();
        for (String other : MEMBERS) {
            String at = member
                    ? places.get(other)
                    : "127.0.0.1:" + ways.get(name + ">" + other).port();
            addresses.append(addresses.isEmpty() ? "" : ",").append("\"" + other + "\":\"" + at + "\"");
        }
        return "{\"store\":{\"cluster\":\"plant\",\"name\":\"" + name + "\",\"folder\":\""
                + folder.resolve(name + "-state")
                + "\",\"audit\":\"fence\","
                + (member ? "\"listen\":\"" + places.get(name) + "\"" : "\"role\":\"subscriber\"")
                + ",\"members\":{" + addresses + "}}}";
    }

    private static void await(String what, BooleanSupplier holds) throws InterruptedException {
        long end = System.nanoTime() + AWAIT_SECONDS * 1_000_000_000L;
        while (!holds.getAsBoolean()) {
            if (System.nanoTime() > end) {
                throw new AssertionError("not in " + AWAIT_SECONDS + " s: " + what);
            }
            Thread.sleep(5);
        }
    }

    private void put() throws Exception {
        put("");
    }

    /**
     * The next revision, accepted by the time that this returns.
     *
     * @param standing a member that stands and is not asked, as it takes the call and can't answer; empty for none
     */
    private void put(String standing) throws Exception {
        Map<String, String> asked = new TreeMap<>(places);
        asked.remove(standing);
        List<byte[]> arguments = List.of(
                Long.toString(revision).getBytes(StandardCharsets.UTF_8),
                ("{\"mysql\":{\"user\":\"user-" + revision + "\"}}").getBytes(StandardCharsets.UTF_8));
        GroupClient.Result said = new GroupClient("plant", asked, null).call("put", arguments, false, 30_000);
        if (said.status() != WireMessages.Status.OK) {
            // It may have happened as a leader went: then the next try tells so.
            said = new GroupClient("plant", asked, null).call("put", arguments, false, 30_000);
        }
        assertTrue(
                said.status() == WireMessages.Status.OK || said.status() == WireMessages.Status.CONFLICT, said.text());
        revision++;
        book.accepted(revision, System.currentTimeMillis());
    }

    private void inForce(String what) throws InterruptedException {
        await(what, () -> SUBSCRIBERS.stream().allMatch(one -> book.acts(one, revision)));
    }

    @Test
    void aChangeIsInForceInTimeOrItsPoolerIsFencedWhateverFailsBetween() throws Exception {
        start();
        put();
        inForce("the first configuration");

        // What one asks does not come any more, then what it is answered.
        for (boolean there : new boolean[] {true, false}) {
            FaultProxy way = ways.get("s0>" + book.follows("s0"));
            way.cut(there, !there);
            put();
            inForce("past a way cut for one direction");
            way.heal();
        }

        String standing = book.follows("s1");
        processes.get(standing).pause(true);
        put(standing);
        inForce("past a member that stands");
        processes.get(standing).pause(false);

        String killed = book.follows("s1");
        processes.get(killed).kill();
        put();
        inForce("past a member that was killed");
        processes.get(killed).start();

        for (String one : SUBSCRIBERS) {
            processes.get(one).kill();
            book.ended(one, System.currentTimeMillis());
        }
        for (String one : SUBSCRIBERS) {
            processes.get(one).start();
        }
        inForce("after a restart of both");
        put();
        inForce("after a restart of both, anew");

        for (String member : MEMBERS) {
            ways.get("s0>" + member).cut(true, true);
        }
        put();
        await("one that reaches no member is fenced", () -> !book.may("s0"));
        await("the other goes on", () -> book.acts("s1", revision));
        for (String member : MEMBERS) {
            ways.get("s0>" + member).heal();
        }
        inForce("once it reaches them again");
        assertEquals(List.of(), book.findings(System.currentTimeMillis()));
    }

    @Test
    void theJudgeSeesOneThatActsOnForTooLong() {
        InForce judge = new InForce();
        judge.line("s", "INFO store: adopted revision 1, change 3, digest d", 0);
        judge.line("s", "INFO store: returned to service: lease granted", 10);
        judge.accepted(2, 100);
        assertEquals(List.of(), judge.findings(100 + InForce.BOUND));
        assertEquals(1, judge.findings(101 + InForce.BOUND).size());
        judge.line("s", "INFO store: fenced, not serving until a lease is granted", 5_000);
        assertEquals(List.of(), judge.findings(100_000));
    }
}
