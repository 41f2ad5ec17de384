package lupinvalve.drills;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.FutureTask;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Three processes of the shipped program whose bookings wait for a majority of them. Guards against answers that are
 * held back past their client's time while no majority is in reach.
 */
class MajorityWaitProcessesTest {
    private static final Path CONFIG = Path.of("example/config.json");
    private static final List<String> NAMES = List.of("p0", "p1", "p2");
    private static final int WAIT_MILLIS = 1_000;
    /** Of a client with little time left once the db node has answered, after {@link #SLOW_MILLIS}. */
    private static final int SHORT_MILLIS = 840;

    private static final int SLOW_MILLIS = 700;
    private static final int LONG_MILLIS = 2_000;
    /** Every time limit is this much longer on sockets. */
    private static final int SOCKET_SLACK_MILLIS = 50;

    private static final int READY_SECONDS = 30;

    @TempDir
    private Path folder;

    private final Map<String, Integer> runs = new ConcurrentHashMap<>();
    private final DbNodes nodes =
            new DbNodes(1, (node, pooler, fields, write) -> runs.merge(fields.get("id"), 1, Integer::sum));
    private final Map<String, DaemonProcess> processes = new HashMap<>();
    private final Map<String, Integer> clientPorts = new TreeMap<>();
    private final List<FaultProxy> proxies = new ArrayList<>();
    private final List<String> log = new ArrayList<>();

    /** How a booking was answered. */
    private record Outcome(SqlConnection.Answer answer, long tookMillis) {
        void assertServedWithin(long leastMillis, long mostMillis) {
            assertTrue(answer.value() != null && answer.code() == null, toString());
            assertTrue(tookMillis >= leastMillis && tookMillis <= mostMillis, toString());
        }
    }

    @BeforeEach
    void writeFiles() throws IOException {
        int discoveryPort;
        Map<String, String> members = new TreeMap<>();
        try (Scratch.Ports ports = new Scratch.Ports(2 * NAMES.size() + 1)) {
            // Nobody listens there: the poolers serve from the lists in their files.
            discoveryPort = ports.get(2 * NAMES.size());
            for (int i = 0; i < NAMES.size(); i++) {
                members.put(NAMES.get(i), "127.0.0.1:" + ports.get(2 * i));
                clientPorts.put(NAMES.get(i), ports.get(2 * i + 1));
            }
        }
        for (int i = 0; i < NAMES.size(); i++) {
            writeFiles(
                    new PoolerFiles.Identity(
                            NAMES.get(i), i, NAMES.size(), clientPorts.get(NAMES.get(i)), discoveryPort),
                    membersSeenBy(NAMES.get(i), members));
        }
    }

    /** The members' addresses as a member's file has them: those on the links of p0 lead through proxies. */
    private Map<String, String> membersSeenBy(String name, Map<String, String> members) throws IOException {
        Map<String, String> seen = new TreeMap<>(members);
        for (String other : NAMES) {
            if (!other.equals(name) && (name.equals("p0") || other.equals("p0"))) {
                FaultProxy proxy =
                        new FaultProxy(Integer.parseInt(members.get(other).substring("127.0.0.1:".length())));
                proxies.add(proxy);
                seen.put(other, "127.0.0.1:" + proxy.port());
            }
        }
        return seen;
    }

    private void writeFiles(PoolerFiles.Identity identity, Map<String, String> members) throws IOException {
        List<String> entries = new ArrayList<>();
        for (DbNodes.DbNode node : nodes.all()) {
            entries.add("{\"id\":\"" + node.id + "\",\"host_port\":\"127.0.0.1:" + node.port(identity.name())
                    + "\",\"locality\":\"east\",\"cell\":0,\"phase\":\"in_service\",\"size\":1.0,\"up_since_ms\":0}");
        }
        DaemonProcess process = new DaemonProcess(identity.name(), folder, line -> {
            synchronized (log) {
                log.add(identity.name() + " " + line);
            }
        });
        process.files(
                PoolerFiles.platform(
                        Files.readString(CONFIG), identity, List.of("east", "west"), String.join(",", entries)),
                PoolerFiles.operator(identity, folder.resolve(identity.name() + ".store"), "off", members)
                        .replace("\"audit\"", "\"wait_for_majority_ms\":" + WAIT_MILLIS + ",\"audit\""));
        processes.put(identity.name(), process);
    }

    @AfterEach
    void endProcesses() throws IOException {
        processes.values().forEach(DaemonProcess::close);
        for (FaultProxy proxy : proxies) {
            proxy.close();
        }
        nodes.close();
    }

    private void start(List<String> names) throws IOException, InterruptedException {
        for (String name : names) {
            processes.get(name).start();
        }
        for (String name : names) {
            Await.until(
                    name + " accepts clients", READY_SECONDS, () -> SqlClients.acceptsClients(clientPorts.get(name)));
        }
    }

    /** Starts all three, and waits until bookings are confirmed by a majority: until then they take longer. */
    private void startAll() throws IOException, InterruptedException {
        start(NAMES);
        int[] count = {0};
        Await.until(
                "a majority confirms bookings",
                READY_SECONDS,
                () -> book("warm" + count[0]++, LONG_MILLIS).tookMillis() < WAIT_MILLIS / 2);
    }

    private static String booking(String id, int timeoutMillis) {
        return "INSERT INTO rows (handle, blob) VALUES ('" + id + "', '\\x9f') RETURNING blob /* id=" + id
                + ",c=pickup-booking,t=acme,d=" + timeoutMillis + ",cluster=0 */";
    }

    private static String read(String id, int timeoutMillis) {
        return "SELECT blob FROM rows WHERE handle = 'k' /* id=" + id + ",c=bag-status,t=acme,d=" + timeoutMillis
                + ",cluster=0 */";
    }

    private SqlConnection connect() throws IOException {
        return new SqlConnection(clientPorts.get("p0"), 10_000, false);
    }

    private Outcome book(String id, int timeoutMillis) throws IOException {
        try (SqlConnection client = connect()) {
            long sentNanos = System.nanoTime();
            client.send(List.of(booking(id, timeoutMillis)));
            return read(client, sentNanos);
        }
    }

    private static Outcome read(SqlConnection client, long sentNanos) throws IOException {
        SqlConnection.Answer answer = client.readAnswer();
        return new Outcome(answer, TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentNanos));
    }

    private void slowPrimary(long millis) {
        nodes.get("n0").slow(millis);
    }

    private void assertClientsTimeIsKept(String id) throws IOException {
        slowPrimary(SLOW_MILLIS);
        for (int i = 0; i < 3; i++) {
            book(id + i, SHORT_MILLIS).assertServedWithin(SLOW_MILLIS, SHORT_MILLIS + SOCKET_SLACK_MILLIS);
            assertEquals(1, runs.get(id + i), "executions of the booking");
        }
        slowPrimary(0);
    }

    @Test
    void bookingsAreAnsweredInTimeWhenTheOtherMembersWereKilled() throws Exception {
        startAll();
        processes.get("p1").kill();
        processes.get("p2").kill();
        assertClientsTimeIsKept("killed");
        book("patient", LONG_MILLIS).assertServedWithin(WAIT_MILLIS, LONG_MILLIS);
        try (SqlConnection client = connect()) {
            long sentNanos = System.nanoTime();
            client.send(List.of(booking("ahead", LONG_MILLIS), read("behind", 300)));
            read(client, sentNanos).assertServedWithin(0, 300 + SOCKET_SLACK_MILLIS);
            read(client, sentNanos).assertServedWithin(0, 300 + SOCKET_SLACK_MILLIS);
        }
        synchronized (log) {
            assertTrue(
                    log.stream()
                            .anyMatch(line -> line.contains(
                                    "answered before a majority of poolers has the session's commit, after")),
                    log.toString());
        }
    }

    @Test
    void bookingsAreAnsweredInTimeWhileTheOtherMembersAreStopped() throws Exception {
        startAll();
        processes.get("p1").pause(true);
        processes.get("p2").pause(true);
        assertClientsTimeIsKept("stopped");
        FutureTask<Outcome> resumed = new FutureTask<>(() -> book("resumed", LONG_MILLIS));
        Threads.start("client", resumed::run);
        Thread.sleep(300);
        processes.get("p1").pause(false);
        processes.get("p2").pause(false);
        resumed.get().assertServedWithin(300, WAIT_MILLIS + SOCKET_SLACK_MILLIS);
    }

    @Test
    void bookingsAreAnsweredInTimeByAMemberThatIsCutOff() throws Exception {
        startAll();
        proxies.forEach(proxy -> proxy.gone(true));
        assertClientsTimeIsKept("cut");
        book("patient", LONG_MILLIS).assertServedWithin(WAIT_MILLIS, LONG_MILLIS);
        proxies.forEach(FaultProxy::heal);
        Await.until(
                "a majority confirms bookings again",
                READY_SECONDS,
                () -> book("healed" + System.nanoTime(), LONG_MILLIS).tookMillis() < WAIT_MILLIS / 2);
    }

    @Test
    void bookingsAreAnsweredInTimeByAMemberThatStartsAlone() throws Exception {
        start(List.of("p0"));
        // The first one waits until the primary is found.
        book("first", LONG_MILLIS);
        assertClientsTimeIsKept("alone");
        book("patient", LONG_MILLIS).assertServedWithin(WAIT_MILLIS, LONG_MILLIS);
    }

    @Test
    void aBookingThatWaitsForAMajorityIsAnsweredWhenItsPoolerIsTold() throws Exception {
        startAll();
        processes.get("p1").kill();
        processes.get("p2").kill();
        List<FutureTask<Outcome>> outcomes = new ArrayList<>();
        for (int timeoutMillis : List.of(SHORT_MILLIS, LONG_MILLIS)) {
            FutureTask<Outcome> task = new FutureTask<>(() -> book("ends" + timeoutMillis, timeoutMillis));
            outcomes.add(task);
            Threads.start("client", task::run);
        }
        Await.until("both have run", READY_SECONDS, () -> runs.containsKey("ends840") && runs.containsKey("ends2000"));
        assertEquals(null, processes.get("p0").end(), "the end by SIGTERM");
        outcomes.get(0).get().assertServedWithin(0, SHORT_MILLIS + SOCKET_SLACK_MILLIS);
        outcomes.get(1).get().assertServedWithin(WAIT_MILLIS, LONG_MILLIS);
    }
}
