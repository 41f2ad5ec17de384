package lupinvalve.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
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

    /** A stub name server: answers queries with the records of its zone, or all of them with one error code. */
    private static final class NameServer {
        final DatagramSocket socket = new DatagramSocket(0, InetAddress.getLoopbackAddress());
        final List<Record> zone = new CopyOnWriteArrayList<>();
        volatile int responseCode = Rcode.NOERROR;

        NameServer() throws Exception {
            World.thread(() -> {
                while (true) {
                    DatagramPacket packet = new DatagramPacket(new byte[1500], 1500);
                    socket.receive(packet);
                    byte[] bytes = answer(new Message(Arrays.copyOf(packet.getData(), packet.getLength())))
                            .toWire();
                    socket.send(new DatagramPacket(bytes, bytes.length, packet.getSocketAddress()));
                }
            });
        }

        private Message answer(Message query) {
            Message answer = new Message(query.getHeader().getID());
            answer.getHeader().setFlag(Flags.QR);
            answer.getHeader().setRcode(responseCode);
            answer.addRecord(query.getQuestion(), Section.QUESTION);
            if (responseCode == Rcode.NOERROR) {
                zone.stream()
                        .filter(record -> record.getName()
                                        .equals(query.getQuestion().getName())
                                && record.getType() == query.getQuestion().getType())
                        .forEach(record -> answer.addRecord(record, Section.ANSWER));
            }
            return answer;
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

    @Test
    void recordsBecomeEndpointsAndFailedLookUpIsReportedAsUnavailable() throws Exception {
        Log.setLevel(Log.Level.ERROR);
        NameServer server = new NameServer();
        server.publish("s-1", 5432, "cell=3", "rank=source", "up_since_ms=7", "mysql=3307");
        server.publish("s-2", 5433, "Cell=3", "cell=4", "id=other", "phase=terminating");
        List<EndpointListEvent> events = new CopyOnWriteArrayList<>();
        EventLoop loop = new EventLoop();
        loop.start();
        Pooler pooler =
                new Pooler(
                        loop,
                        NodeConfig.read(java.nio.file.Path.of("example/config.json"), null)
                                .site()
                                .settings()) {
                    @Override
                    public void onEndpointListEvent(EndpointListEvent event) {
                        events.add(event);
                    }
                };
        DnsEndpointDiscovery discovery = new DnsEndpointDiscovery(
                pooler, (InetSocketAddress) server.socket.getLocalSocketAddress(), SERVICE, 20_000, 3306, List.of());
        loop.post(() -> discovery.subscribe(true));
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
        for (int code : new int[] {Rcode.SERVFAIL, Rcode.NXDOMAIN}) {
            List<EndpointListEvent> before = new ArrayList<>(events);
            server.responseCode = code;
            World.await("look-up reported as unavailable", () -> events.size() == before.size() + 1);
            assertEquals(new EndpointListEvent(ListForm.UNAVAILABLE, List.of()), events.get(before.size()));
            server.responseCode = Rcode.NOERROR;
            loop.post(() -> discovery.subscribe(true));
            World.await("list received after the failure", () -> events.size() == before.size() + 2);
            assertEquals(ListForm.FULL, events.get(before.size() + 1).form());
        }
        loop.stop();
    }
}
