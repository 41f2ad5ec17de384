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

/** Db nodes from DNS-SD records, told by a stand-in for a name server. */
class DnsEndpointDiscoveryTest {
    private static final String SERVICE = "_ledger._tcp.plant.example.";

    /** Answers with the records of a zone, or with one error code for all. */
    private static final class NameServer {
        final DatagramSocket socket = new DatagramSocket(0, InetAddress.getLoopbackAddress());
        final List<Record> zone = new CopyOnWriteArrayList<>();
        volatile int code = Rcode.NOERROR;

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

        private Message answer(Message question) {
            Message answer = new Message(question.getHeader().getID());
            answer.getHeader().setFlag(Flags.QR);
            answer.getHeader().setRcode(code);
            answer.addRecord(question.getQuestion(), Section.QUESTION);
            if (code == Rcode.NOERROR) {
                zone.stream()
                        .filter(r -> r.getName().equals(question.getQuestion().getName())
                                && r.getType() == question.getQuestion().getType())
                        .forEach(r -> answer.addRecord(r, Section.ANSWER));
            }
            return answer;
        }

        void instance(String label, int port, String... text) throws Exception {
            Name service = Name.fromString(SERVICE);
            Name instance = new Name(label, service);
            Name host = Name.fromString(label + ".plant.example.");
            zone.removeIf(r -> r.getName().equals(instance)
                    || r.getName().equals(host)
                    || r instanceof PTRRecord p && p.getTarget().equals(instance));
            zone.add(new SRVRecord(instance, DClass.IN, 1, 0, 0, port, host));
            zone.add(new TXTRecord(instance, DClass.IN, 1, List.of(text)));
            zone.add(new ARecord(host, DClass.IN, 1, InetAddress.getByName("127.0.0.9")));
            zone.add(new PTRRecord(service, DClass.IN, 1, instance));
        }
    }

    @Test
    void records_become_the_list_and_a_failed_look_up_is_no_empty_list() throws Exception {
        Log.setLevel(Log.Level.ERROR);
        NameServer server = new NameServer();
        server.instance("s-1", 5432, "cell=3", "rank=source", "up_since_ms=7", "mysql=3307");
        server.instance("s-2", 5433, "Cell=3", "cell=4", "id=other", "phase=terminating");
        List<EndpointListEvent> told = new CopyOnWriteArrayList<>();
        EventLoop loop = new EventLoop();
        loop.start();
        Pooler pooler =
                new Pooler(
                        loop,
                        NodeConfig.read(java.nio.file.Path.of("example/config.json"), null)
                                .site()
                                .settings()) {
                    @Override
                    public void onEndpointListEvent(EndpointListEvent news) {
                        told.add(news);
                    }
                };
        DnsEndpointDiscovery directory = new DnsEndpointDiscovery(
                pooler, (InetSocketAddress) server.socket.getLocalSocketAddress(), SERVICE, 20_000, 3306, List.of());
        loop.post(() -> directory.subscribe(true));
        World.await("first list", () -> told.size() == 1);
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
                told.get(0));
        server.instance("s-3", 5434, "cell=3");
        World.await("a change", () -> told.size() == 2);
        assertEquals(3, told.get(1).endpoints().size());
        for (int code : new int[] {Rcode.SERVFAIL, Rcode.NXDOMAIN}) {
            List<EndpointListEvent> before = new ArrayList<>(told);
            server.code = code;
            World.await("unavailable", () -> told.size() == before.size() + 1);
            assertEquals(new EndpointListEvent(ListForm.UNAVAILABLE, List.of()), told.get(before.size()));
            server.code = Rcode.NOERROR;
            loop.post(() -> directory.subscribe(true));
            World.await("back", () -> told.size() == before.size() + 2);
            assertEquals(ListForm.FULL, told.get(before.size() + 1).form());
        }
        loop.stop();
    }
}
