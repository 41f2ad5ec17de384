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

/**
 * Three control members and two poolers that subscribe to them, processes of the shipped program, with faults between.
 */
class SubscribersTest {
    private static final List<String> MEMBERS = List.of("c0", "c1", "c2");
    private static final List<String> SUBSCRIBERS = List.of("s0", "s1");
    private static final long AWAIT_SECONDS = 40;

    @TempDir
    private Path folder;

    private final InForce revisionsInForce = new InForce();
    private final Map<String, DaemonProcess> processes = new TreeMap<>();
    /** Proxies from subscribers to members, by "subscriber>member". */
    private final Map<String, FaultProxy> proxies = new TreeMap<>();

    private final Map<String, String> places = new TreeMap<>();
    private long revision;

    @AfterEach
    void end() throws Exception {
        for (DaemonProcess process : processes.values()) {
            process.pause(false);
            process.close();
        }
        for (FaultProxy proxy : proxies.values()) {
            proxy.close();
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
                    proxies.put(
                            subscriber + ">" + member,
                            new FaultProxy(Integer.parseInt(places.get(member).substring(10))));
                }
            }
            for (int i = 0; i < all.size(); i++) {
                String name = all.get(i);
                DaemonProcess process = new DaemonProcess(
                        name, folder, line -> revisionsInForce.line(name, line, System.currentTimeMillis()));
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
        boolean isMember = MEMBERS.contains(name);
        StringBuilder addresses = new StringBuilder();
        for (String other : MEMBERS) {
            String at = isMember
                    ? places.get(other)
                    : "127.0.0.1:" + proxies.get(name + ">" + other).port();
            addresses.append(addresses.isEmpty() ? "" : ",").append("\"" + other + "\":\"" + at + "\"");
        }
        return "{\"store\":{\"cluster\":\"plant\",\"name\":\"" + name + "\",\"folder\":\""
                + folder.resolve(name + "-state")
                + "\",\"audit\":\"fence\","
                + (isMember ? "\"listen\":\"" + places.get(name) + "\"" : "\"role\":\"subscriber\"")
                + ",\"members\":{" + addresses + "}}}";
    }

    private static void await(String what, BooleanSupplier condition) throws InterruptedException {
        long end = System.nanoTime() + AWAIT_SECONDS * 1_000_000_000L;
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > end) {
                throw new AssertionError("timed out after " + AWAIT_SECONDS + " s waiting for: " + what);
            }
            Thread.sleep(5);
        }
    }

    private void put() throws Exception {
        put("");
    }

    /**
     * Puts the next revision, which is accepted when this returns.
     *
     * @param paused a stopped member that is not called, as it would accept the call and not answer; empty for none
     */
    private void put(String paused) throws Exception {
        Map<String, String> targets = new TreeMap<>(places);
        targets.remove(paused);
        List<byte[]> arguments = List.of(
                Long.toString(revision).getBytes(StandardCharsets.UTF_8),
                ("{\"mysql\":{\"user\":\"user-" + revision + "\"}}").getBytes(StandardCharsets.UTF_8));
        GroupClient.Result result = new GroupClient("plant", targets, null).call("put", arguments, false, 30_000);
        if (result.status() != WireMessages.Status.OK) {
            // The put may have succeeded although its leader was lost: the retry then returns CONFLICT.
            result = new GroupClient("plant", targets, null).call("put", arguments, false, 30_000);
        }
        assertTrue(
                result.status() == WireMessages.Status.OK || result.status() == WireMessages.Status.CONFLICT,
                result.text());
        revision++;
        revisionsInForce.accepted(revision, System.currentTimeMillis());
    }

    private void awaitInForce(String what) throws InterruptedException {
        await(what, () -> SUBSCRIBERS.stream().allMatch(subscriber -> revisionsInForce.acts(subscriber, revision)));
    }

    @Test
    void aRevisionIsInForceInTimeOrItsPoolerIsFencedUnderFaults() throws Exception {
        start();
        put();
        awaitInForce("the first configuration");

        // First the direction of the subscriber's requests is cut, then that of the answers.
        for (boolean requestsCut : new boolean[] {true, false}) {
            FaultProxy proxy = proxies.get("s0>" + revisionsInForce.follows("s0"));
            proxy.cut(requestsCut, !requestsCut);
            put();
            awaitInForce("with one direction to its member cut");
            proxy.heal();
        }

        String paused = revisionsInForce.follows("s1");
        processes.get(paused).pause(true);
        put(paused);
        awaitInForce("with a stopped member");
        processes.get(paused).pause(false);

        String killed = revisionsInForce.follows("s1");
        processes.get(killed).kill();
        put();
        awaitInForce("with a killed member");
        processes.get(killed).start();

        for (String subscriber : SUBSCRIBERS) {
            processes.get(subscriber).kill();
            revisionsInForce.ended(subscriber, System.currentTimeMillis());
        }
        for (String subscriber : SUBSCRIBERS) {
            processes.get(subscriber).start();
        }
        awaitInForce("after a restart of both");
        put();
        awaitInForce("a further revision after a restart of both");

        for (String member : MEMBERS) {
            proxies.get("s0>" + member).cut(true, true);
        }
        put();
        await("the subscriber that reaches no member is fenced", () -> !revisionsInForce.mayServe("s0"));
        await("the other subscriber acts on the new revision", () -> revisionsInForce.acts("s1", revision));
        for (String member : MEMBERS) {
            proxies.get("s0>" + member).heal();
        }
        awaitInForce("once it reaches the members again");
        assertEquals(List.of(), revisionsInForce.findings(System.currentTimeMillis()));
    }

    @Test
    void aSubscriberThatActsOnAnOldRevisionForTooLongIsFound() {
        InForce checker = new InForce();
        checker.line("s", "INFO store: adopted revision 1, change 3, digest d", 0);
        checker.line("s", "INFO store: returned to service: lease granted", 10);
        checker.accepted(2, 100);
        assertEquals(List.of(), checker.findings(100 + InForce.BOUND_MILLIS));
        assertEquals(1, checker.findings(101 + InForce.BOUND_MILLIS).size());
        checker.line("s", "INFO store: fenced, not serving until a lease is granted", 5_000);
        assertEquals(List.of(), checker.findings(100_000));
    }
}
