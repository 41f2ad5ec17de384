package lupinvalve.discovery;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeSet;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import lupinvalve.core.DiscoveredEndpoint;
import lupinvalve.core.EndpointDiscovery;
import lupinvalve.core.EndpointListEvent;
import lupinvalve.core.EventLoop;
import lupinvalve.core.Pooler;
import lupinvalve.core.TimerQueue;
import lupinvalve.log.Log;
import lupinvalve.routing.Endpoint;
import lupinvalve.routing.EndpointState;
import lupinvalve.routing.ListForm;
import org.xbill.DNS.AAAARecord;
import org.xbill.DNS.ARecord;
import org.xbill.DNS.DClass;
import org.xbill.DNS.Message;
import org.xbill.DNS.Name;
import org.xbill.DNS.PTRRecord;
import org.xbill.DNS.Rcode;
import org.xbill.DNS.Record;
import org.xbill.DNS.SRVRecord;
import org.xbill.DNS.Section;
import org.xbill.DNS.SimpleResolver;
import org.xbill.DNS.TXTRecord;
import org.xbill.DNS.Type;

/**
 * The list from DNS-SD records (RFC 6763): PTR names the instances, SRV where each is, TXT the rest. DNS tells no
 * changes, so it is asked again and again. A failed look-up is no empty list: what was held stays.
 */
public final class DnsDirectory implements EndpointDiscovery {
    private final Pooler pooler;
    private final EventLoop loop;
    private volatile InetSocketAddress resolver;
    private volatile String service;
    private long pollMicros;
    private final int mysqlPort;
    private final Map<String, Integer> zones = new HashMap<>();
    private final ExecutorService asker = Executors.newSingleThreadExecutor(work -> {
        Thread thread = new Thread(null, work, "dns-sd", 256 << 10);
        thread.setDaemon(true);
        return thread;
    });
    private List<DiscoveredEndpoint> told;
    private long subscription;
    private TimerQueue.Timer next;

    /** @param mysqlPort port for MySQL where an instance's TXT record names none */
    public DnsDirectory(
            Pooler pooler,
            InetSocketAddress resolver,
            String service,
            long pollMicros,
            int mysqlPort,
            List<String> zones) {
        this.pooler = pooler;
        this.resolver = resolver;
        this.service = service;
        this.pollMicros = pollMicros;
        this.mysqlPort = mysqlPort;
        zones.forEach(zone -> this.zones.put(zone, this.zones.size()));
        loop = pooler.loop();
    }

    /** Asks elsewhere, or for another service, from the next look-up on. */
    public void move(InetSocketAddress newResolver, String newService, long newPollMicros) {
        resolver = newResolver;
        service = newService;
        pollMicros = newPollMicros;
    }

    @Override
    public void subscribe(boolean active) {
        subscription++;
        loop.cancel(next);
        if (active) {
            told = null;
            ask(subscription);
        }
    }

    @Override
    public void fetch() {
        told = null;
        ask(-1);
    }

    private void ask(long of) {
        asker.execute(() -> {
            List<DiscoveredEndpoint> found = null;
            try {
                found = lookUp();
            } catch (IOException | RuntimeException e) {
                Log.warn("dns-sd: %s", e.getMessage());
            }
            List<DiscoveredEndpoint> entries = found;
            loop.post(() -> answered(of, entries));
        });
    }

    private void answered(long of, List<DiscoveredEndpoint> entries) {
        if (of >= 0 && of != subscription) {
            return;
        }
        if (entries == null) {
            subscription++;
            pooler.onEndpointListEvent(new EndpointListEvent(ListForm.UNAVAILABLE, List.of()));
            return;
        }
        if (!entries.equals(told)) {
            told = entries;
            pooler.onEndpointListEvent(new EndpointListEvent(ListForm.FULL, entries));
        }
        if (of >= 0) {
            next = loop.after(pollMicros, () -> ask(of));
        }
    }

    // ---- the asking thread ----

    private List<DiscoveredEndpoint> lookUp() throws IOException {
        Map<String, List<Record>> known = new HashMap<>();
        Name name = Name.fromString(service, Name.root);
        List<DiscoveredEndpoint> entries = new ArrayList<>();
        TreeSet<Name> instances = new TreeSet<>();
        for (Record record : records(name, Type.PTR, known)) {
            instances.add(((PTRRecord) record).getTarget());
        }
        if (instances.isEmpty()) {
            // A zone that lost its records looks the same as one whose db nodes have all gone; the former is likelier.
            throw new IOException("no instances of " + service);
        }
        for (Name instance : instances) {
            List<Record> places = records(instance, Type.SRV, known);
            if (!places.isEmpty()) {
                SRVRecord place = (SRVRecord) places.get(0);
                entries.add(entry(instance, place, address(place.getTarget(), known), text(instance, known)));
            }
        }
        return entries;
    }

    /** Asks, unless an earlier answer brought the records along. */
    private List<Record> records(Name name, int type, Map<String, List<Record>> known) throws IOException {
        String key = key(name, type);
        if (!known.containsKey(key)) {
            SimpleResolver asked = new SimpleResolver(resolver);
            asked.setTimeout(Duration.ofSeconds(1));
            Message answer = asked.send(Message.newQuery(Record.newRecord(name, type, DClass.IN)));
            int code = answer.getRcode();
            if (code != Rcode.NOERROR && code != Rcode.NXDOMAIN) {
                throw new IOException(name + ": " + Rcode.string(code));
            }
            for (int section : new int[] {Section.ANSWER, Section.ADDITIONAL}) {
                for (Record record : answer.getSection(section)) {
                    known.computeIfAbsent(key(record.getName(), record.getType()), k -> new ArrayList<>())
                            .add(record);
                }
            }
        }
        return known.getOrDefault(key, List.of());
    }

    private static String key(Name name, int type) {
        return name.toString().toLowerCase(Locale.ROOT) + " " + type;
    }

    private String address(Name host, Map<String, List<Record>> known) throws IOException {
        for (Record record : records(host, Type.A, known)) {
            return ((ARecord) record).getAddress().getHostAddress();
        }
        for (Record record : records(host, Type.AAAA, known)) {
            return "[" + ((AAAARecord) record).getAddress().getHostAddress() + "]";
        }
        throw new IOException(host + " has no address");
    }

    private Map<String, String> text(Name instance, Map<String, List<Record>> known) throws IOException {
        Map<String, String> pairs = new HashMap<>();
        for (Record record : records(instance, Type.TXT, known)) {
            for (String pair : ((TXTRecord) record).getStrings()) {
                int equals = pair.indexOf('=');
                if (equals > 0) {
                    // Keys know no case, and of one told twice the first holds (RFC 6763, 6.4).
                    pairs.putIfAbsent(pair.substring(0, equals).toLowerCase(Locale.ROOT), pair.substring(equals + 1));
                }
            }
        }
        return pairs;
    }

    private DiscoveredEndpoint entry(Name instance, SRVRecord place, String host, Map<String, String> pairs)
            throws IOException {
        try {
            EndpointState health =
                    switch (pairs.getOrDefault("phase", "in_service")) {
                        case "in_service" -> EndpointState.LIVE;
                        case "terminating" -> EndpointState.DRAINING;
                        case "terminated" -> EndpointState.DEPARTED;
                        default -> throw new IOException(instance + ": phase " + pairs.get("phase"));
                    };
            String label = new String(
                    instance.getLabel(0), 1, instance.getLabel(0)[0] & 255, java.nio.charset.StandardCharsets.UTF_8);
            int mysql = Integer.parseInt(pairs.getOrDefault("mysql", Integer.toString(mysqlPort)));
            return new DiscoveredEndpoint(
                    new Endpoint(
                            pairs.getOrDefault("id", label),
                            Integer.parseInt(pairs.getOrDefault("cell", "0")),
                            zones.getOrDefault(pairs.getOrDefault("locality", ""), 0),
                            health,
                            "source".equals(pairs.get("rank")),
                            Long.parseLong(pairs.getOrDefault("up_since_ms", "0")) * 1000),
                    Map.of("pg", host + ":" + place.getPort(), "mysql", host + ":" + mysql));
        } catch (NumberFormatException e) {
            throw new IOException(instance + ": " + e.getMessage(), e);
        }
    }
}
