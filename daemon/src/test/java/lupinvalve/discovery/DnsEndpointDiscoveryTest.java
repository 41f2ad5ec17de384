package lupinvalve.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import lupinvalve.config.NodeConfig;
import lupinvalve.core.DiscoveredEndpoint;
import lupinvalve.core.EndpointListEvent;
import lupinvalve.core.EventLoop;
import lupinvalve.core.Pooler;
import lupinvalve.integration.World;
import lupinvalve.log.Log;
import lupinvalve.routing.Endpoint;
import lupinvalve.routing.EndpointState;
import lupinvalve.routing.ListForm;
import org.junit.jupiter.api.Test;
import org.xbill.DNS.ARecord;
import org.xbill.DNS.DClass;
import org.xbill.DNS.Flags;
import org.xbill.DNS.Message;
import org.xbill.DNS.Name;
import org.xbill.DNS.PTRRecord;
import org.xbill.DNS.Rcode;
import org.xbill.DNS.Record;
import org.xbill.DNS.SRVRecord;
import org.xbill.DNS.Section;
import org.xbill.DNS.TXTRecord;

/** Polls DNS-SD records of a stub name server on loopback. Guards against a failed look-up that empties the list. */
class DnsEndpointDiscoveryTest {
    private static final String SERVICE = "_ledger._tcp.plant.example.";

    /** Every time limit is this much longer on sockets. */
    private static final long NOTICE_MILLIS = 250 + 50;

    private static final long TOLD_MILLIS = 6_000;

    /** Changes the bytes of an answer; none are sent for null. */
    private interface Fault {
        byte[] apply(byte[] answer) throws Exception;
    }

    /** A stub name server: answers queries with the records of its zone, or all of them with one error code. */
    private static final class NameServer implements AutoCloseable {
        final DatagramSocket socket = new DatagramSocket(0, InetAddress.getLoopbackAddress());
        final List<Record> zone = new CopyOnWriteArrayList<>();
        /** Faults by the name that they concern. */
        final Map<Name, Fault> faults = new ConcurrentHashMap<>();

        volatile int responseCode = Rcode.NOERROR;
        /** How long each answer takes; one question is answered after another. */
        volatile long answerMillis;
        /** When the service's instances were first told without {@link #departed}; 0 before. */
        volatile long noticeMillis;

        private volatile Name departed;

        NameServer() throws Exception {
            World.thread(() -> {
                while (!socket.isClosed()) {
                    DatagramPacket packet = new DatagramPacket(new byte[1500], 1500);
                    socket.receive(packet);
                    Thread.sleep(answerMillis);
                    Message query = new Message(Arrays.copyOf(packet.getData(), packet.getLength()));
                    byte[] bytes = answer(query).toWire();
                    Fault fault = faults.get(query.getQuestion().getName());
                    bytes = fault == null ? bytes : fault.apply(bytes);
                    if (bytes != null) {
                        socket.send(new DatagramPacket(bytes, bytes.length, packet.getSocketAddress()));
                    }
                }
            });
        }

        private Message answer(Message query) {
            Message answer = new Message(query.getHeader().getID());
            answer.getHeader().setFlag(Flags.QR);
            answer.getHeader().setRcode(responseCode);
            answer.addRecord(query.getQuestion(), Section.QUESTION);
            Name asked = query.getQuestion().getName();
            if (responseCode == Rcode.NOERROR) {
                zone.stream()
                        .filter(record -> record.getName().equals(asked)
                                && record.getType() == query.getQuestion().getType())
                        .forEach(record -> answer.addRecord(record, Section.ANSWER));
                if (zone.stream().noneMatch(record -> record.getName().equals(asked))) {
                    answer.getHeader().setRcode(Rcode.NXDOMAIN);
                }
            }
            if (departed != null && noticeMillis == 0 && asked.toString().equals(SERVICE)) {
                noticeMillis = System.currentTimeMillis();
            }
            return answer;
        }

        /** Removes all records of an instance. */
        void depart(String label) throws Exception {
            Name instance = new Name(label, Name.fromString(SERVICE));
            zone.removeIf(record -> record.getName().equals(instance)
                    || record instanceof PTRRecord pointer
                            && pointer.getTarget().equals(instance));
            departed = instance;
        }

        @Override
        public void close() {
            socket.close();
        }

        /** Replaces the records of an instance. */
        void publish(String label, int port, String... attributes) throws Exception {
            Name service = Name.fromString(SERVICE);
            Name instance = new Name(label, service);
            Name host = Name.fromString(label + ".plant.example.");
            zone.removeIf(record -> record.getName().equals(instance)
                    || record.getName().equals(host)
                    || record instanceof PTRRecord pointer
                            && pointer.getTarget().equals(instance));
            zone.add(new SRVRecord(instance, DClass.IN, 1, 0, 0, port, host));
            zone.add(new TXTRecord(instance, DClass.IN, 1, List.of(attributes)));
            zone.add(new ARecord(host, DClass.IN, 1, InetAddress.getByName("127.0.0.9")));
            zone.add(new PTRRecord(service, DClass.IN, 1, instance));
        }
    }

    /** Starts to watch a name server's records, after a list that was known before. */
    private static DnsEndpointDiscovery start(
            EventLoop loop, NameServer server, List<DiscoveredEndpoint> restored, Consumer<EndpointListEvent> listener)
            throws Exception {
        loop.start();
        Pooler pooler =
                new Pooler(
                        loop,
                        NodeConfig.read(java.nio.file.Path.of("example/config.json"), null)
                                .site()
                                .settings()) {
                    @Override
                    public void onEndpointListEvent(EndpointListEvent event) {
                        listener.accept(event);
                    }

                    @Override
                    public List<DiscoveredEndpoint> listedEndpoints() {
                        return restored;
                    }
                };
        DnsEndpointDiscovery discovery = new DnsEndpointDiscovery(
                pooler, (InetSocketAddress) server.socket.getLocalSocketAddress(), SERVICE, 20_000, 3306, List.of());
        loop.post(() -> discovery.subscribe(true));
        return discovery;
    }

    @Test
    void recordsBecomeEndpointsAndFailedLookUpIsReportedAsUnavailable() throws Exception {
        Log.setLevel(Log.Level.ERROR);
        NameServer server = new NameServer();
        server.publish("s-1", 5432, "cell=3", "rank=source", "up_since_ms=7", "mysql=3307");
        server.publish("s-2", 5433, "Cell=3", "cell=4", "id=other", "phase=terminating");
        List<EndpointListEvent> events = new CopyOnWriteArrayList<>();
        EventLoop loop = new EventLoop();
        // What is known before the list is whole is told as a former list.
        DnsEndpointDiscovery discovery = start(loop, server, List.of(), event -> {
            if (event.form() != ListForm.RESTORED) {
                events.add(event);
            }
        });
        World.await("first list received", () -> events.size() == 1);
        assertEquals(
                new EndpointListEvent(
                        ListForm.FULL,
                        List.of(
                                new DiscoveredEndpoint(
                                        new Endpoint("s-1", 3, 0, EndpointState.LIVE, true, 7000),
                                        Map.of("pg", "127.0.0.9:5432", "mysql", "127.0.0.9:3307")),
                                new DiscoveredEndpoint(
                                        new Endpoint("other", 3, 0, EndpointState.DRAINING, false, 0),
                                        Map.of("pg", "127.0.0.9:5433", "mysql", "127.0.0.9:3306")))),
                events.get(0));
        server.publish("s-3", 5434, "cell=3");
        World.await("changed list received", () -> events.size() == 2);
        assertEquals(3, events.get(1).endpoints().size());
        int before = events.size();
        server.responseCode = Rcode.SERVFAIL;
        World.await("look-up reported as unavailable", () -> events.size() == before + 1);
        assertEquals(new EndpointListEvent(ListForm.UNAVAILABLE, List.of()), events.get(before));
        server.responseCode = Rcode.NOERROR;
        loop.post(() -> discovery.subscribe(true));
        World.await("list received after the failure", () -> events.size() == before + 2);
        assertEquals(new EndpointListEvent(ListForm.FULL, events.get(before - 1).endpoints()), events.get(before + 1));
        // A service that does not exist has no instances: records that disappear are a departure.
        server.responseCode = Rcode.NXDOMAIN;
        EndpointListEvent empty = new EndpointListEvent(ListForm.FULL, List.of());
        World.await("all db nodes reported as departed", () -> events.get(events.size() - 1)
                .equals(empty));
        // Those whose own records are asked for before the service's depart one by one.
        List<EndpointListEvent> departures = events.subList(before + 2, events.size());
        for (int i = 0; i < departures.size(); i++) {
            assertEquals(ListForm.FULL, departures.get(i).form());
            assertTrue(departures.get(i).endpoints().size()
                    < events.get(before + 1 + i).endpoints().size());
        }
        loop.stop();
    }

    private static byte[] withFlags(byte[] answer, int responseCode) {
        byte[] changed = answer.clone();
        changed[3] = (byte) (changed[3] & 0xF0 | responseCode);
        return changed;
    }

    /** The answer with its last record's name pointing to itself. */
    private static byte[] withLoop(byte[] answer) {
        byte[] changed = Arrays.copyOf(answer, answer.length + 2);
        changed[7]++;
        changed[answer.length] = (byte) (0xC0 | answer.length >> 8);
        changed[answer.length + 1] = (byte) answer.length;
        return changed;
    }

    private static byte[] ofAnotherQuestion(byte[] answer) throws Exception {
        Message changed = new Message(new Message(answer).getHeader().getID());
        changed.getHeader().setFlag(Flags.QR);
        changed.addRecord(Record.newRecord(Name.fromString("other.example."), 1, DClass.IN), Section.QUESTION);
        return changed.toWire();
    }

    private static Map<String, Fault> faults() {
        Map<String, Fault> faults = new LinkedHashMap<>();
        faults.put("silent", answer -> null);
        faults.put("SERVFAIL", answer -> withFlags(answer, Rcode.SERVFAIL));
        faults.put("NXDOMAIN", answer -> withFlags(Arrays.copyOf(answer, answer.length), Rcode.NXDOMAIN));
        faults.put("cut short", answer -> Arrays.copyOf(answer, answer.length - 3));
        faults.put("one byte", answer -> new byte[1]);
        faults.put("empty", answer -> new byte[0]);
        faults.put("looped", DnsEndpointDiscoveryTest::withLoop);
        faults.put("of another question", DnsEndpointDiscoveryTest::ofAnotherQuestion);
        faults.put("too long", answer -> Arrays.copyOf(answer, 8000));
        return faults;
    }

    /**
     * A departure is reported right after the answer that no longer names the instance, whatever is wrong with another
     * one's answers. Guards against look-ups that fail as a whole.
     */
    @Test
    void aDepartureIsReportedWhateverIsWrongWithAnotherInstance() throws Exception {
        Log.setLevel(Log.Level.ERROR);
        for (String name : List.of("s-2.plant.example.", "s-2." + SERVICE)) {
            for (Map.Entry<String, Fault> fault : faults().entrySet()) {
                assertDeparture(Name.fromString(name), fault.getKey(), fault.getValue());
            }
        }
    }

    private static void assertDeparture(Name concerned, String text, Fault fault) throws Exception {
        EventLoop loop = new EventLoop();
        AtomicLong departedMillis = new AtomicLong();
        AtomicInteger listed = new AtomicInteger();
        try (NameServer server = new NameServer()) {
            for (int i = 1; i <= 3; i++) {
                server.publish("s-" + i, 5432, "cell=1");
            }
            DnsEndpointDiscovery discovery = start(loop, server, List.of(), event -> {
                boolean hasDeparted = event.endpoints().stream()
                        .noneMatch(discovered -> discovered.endpoint().node().equals("s-3"));
                if (event.form() == ListForm.FULL && hasDeparted) {
                    departedMillis.compareAndSet(0, System.currentTimeMillis());
                }
                listed.set(event.form() == ListForm.FULL ? event.endpoints().size() : listed.get());
            });
            World.await("first list received", () -> listed.get() == 3);
            server.faults.put(concerned, fault);
            Thread.sleep(200);
            server.depart("s-3");
            long sinceMillis = System.currentTimeMillis();
            World.await("departure reported: " + concerned + " " + text, () -> departedMillis.get() > 0);
            long told = departedMillis.get() - sinceMillis;
            long afterNotice = server.noticeMillis == 0 ? 0 : departedMillis.get() - server.noticeMillis;
            assertTrue(told < TOLD_MILLIS && afterNotice < NOTICE_MILLIS, concerned + " " + text + ": " + told);
            loop.post(() -> discovery.subscribe(false));
        }
        loop.stop();
    }

    /**
     * A db node that departed before the start is dropped with the first answer, though the look-up goes on for long.
     * Guards against look-ups that are dropped when the watch is renewed meanwhile.
     */
    @Test
    void aSlowResolverIsAnswerEnoughForWhatHasDeparted() throws Exception {
        Log.setLevel(Log.Level.ERROR);
        EventLoop loop = new EventLoop();
        List<DiscoveredEndpoint> restored = new ArrayList<>();
        List<EndpointListEvent> events = new CopyOnWriteArrayList<>();
        try (NameServer server = new NameServer()) {
            for (int i = 1; i <= 9; i++) {
                server.publish("s-" + i, 5432, "cell=1");
                restored.add(new DiscoveredEndpoint(
                        new Endpoint("s-" + i, 1, 0, EndpointState.LIVE, false, 0), Map.of("pg", "127.0.0.9:5432")));
            }
            server.depart("s-2");
            server.answerMillis = 250;
            long sinceMillis = System.currentTimeMillis();
            DnsEndpointDiscovery discovery = start(loop, server, restored, events::add);
            World.await("departure reported", () -> !events.isEmpty());
            assertTrue(System.currentTimeMillis() - server.noticeMillis < NOTICE_MILLIS);
            assertTrue(System.currentTimeMillis() - sinceMillis < TOLD_MILLIS);
            assertEquals(8, events.get(0).endpoints().size());
            for (int i = 0; i < 20 && events.get(events.size() - 1).form() != ListForm.FULL; i++) {
                loop.post(() -> discovery.subscribe(true));
                Thread.sleep(1000);
            }
            EndpointListEvent last = events.get(events.size() - 1);
            assertEquals(ListForm.FULL, last.form());
            assertEquals(8, last.endpoints().size());
            loop.post(() -> discovery.subscribe(false));
        }
        loop.stop();
    }

    /** Guards against many instances whose answer is longer than the question allows and not marked as truncated. */
    @Test
    void anAnswerThatIsLongerThanAllowedIsRead() throws Exception {
        Log.setLevel(Log.Level.ERROR);
        int count = 60;
        EventLoop loop = new EventLoop();
        List<EndpointListEvent> events = new CopyOnWriteArrayList<>();
        try (NameServer server = new NameServer()) {
            for (int i = 0; i < count; i++) {
                server.publish("a-rather-long-name-of-a-db-node-" + i, 5432, "cell=1");
            }
            DnsEndpointDiscovery discovery = start(loop, server, List.of(), events::add);
            World.await("whole list received", () -> events.stream()
                    .anyMatch(event ->
                            event.form() == ListForm.FULL && event.endpoints().size() == count));
            loop.post(() -> discovery.subscribe(false));
        }
        loop.stop();
    }

    /** Guards against answers that are lost because of records that nobody has asked for. */
    @Test
    void malformedRecordsThatWereNotAskedForLoseNoAnswer() throws Exception {
        Log.setLevel(Log.Level.ERROR);
        EventLoop loop = new EventLoop();
        List<EndpointListEvent> events = new CopyOnWriteArrayList<>();
        try (NameServer server = new NameServer()) {
            server.publish("s-1", 5432, "cell=1");
            server.faults.put(Name.fromString(SERVICE), answer -> {
                byte[] changed = Arrays.copyOf(answer, answer.length + 1);
                // One additional record, of which only the first byte is there.
                changed[11] = 1;
                changed[answer.length] = 63;
                return changed;
            });
            DnsEndpointDiscovery discovery = start(loop, server, List.of(), events::add);
            World.await("list received", () -> !events.isEmpty());
            assertEquals(1, events.get(0).endpoints().size());
            loop.post(() -> discovery.subscribe(false));
        }
        loop.stop();
    }
}
