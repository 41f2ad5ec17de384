package lupinvalve.discovery;

import static java.nio.charset.StandardCharsets.UTF_8;

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
 * Polls the endpoint list from DNS-SD records (RFC 6763): PTR records name the instances, SRV records give the address
 * of each, TXT records its attributes. A failed look-up is reported as unavailable, not as an empty list, so that the
 * endpoints known before are kept. Core thread only; look-ups run on a separate thread.
 */
public final class DnsEndpointDiscovery implements EndpointDiscovery {
    private static final int LOOK_UP_STACK_BYTES = 256 << 10;
    private static final long SINGLE_FETCH = -1;
    private static final int BYTE_MASK = 255;

    private final Pooler pooler;
    private final EventLoop loop;
    private volatile InetSocketAddress resolver;
    private volatile String service;
    private long pollMicros;
    private final int mysqlPort;
    private final Map<String, Integer> zones = new HashMap<>();
    private final ExecutorService lookUpExecutor = Executors.newSingleThreadExecutor(work -> {
        Thread thread = new Thread(null, work, "dns-sd", LOOK_UP_STACK_BYTES);
        thread.setDaemon(true);
        return thread;
    });
    private List<DiscoveredEndpoint> lastEntries;
    private long subscription;
    private TimerQueue.Timer nextPoll;

    /**
     * Sends no query: polls begin with {@link #subscribe}.
     *
     * @param pollMicros pause from the end of a look-up to the start of the next
     * @param mysqlPort MySQL port of an instance whose TXT record has none
     * @param zones the names of zones, in the settings' order
     */
    public DnsEndpointDiscovery(
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

    /** Reconfigures the discovery: sets the resolver, the service and the poll interval from the next look-up on. */
    public void move(InetSocketAddress newResolver, String newService, long newPollMicros) {
        resolver = newResolver;
        service = newService;
        pollMicros = newPollMicros;
    }

    @Override
    public void subscribe(boolean active) {
        subscription++;
        loop.cancel(nextPoll);
        if (active) {
            lastEntries = null;
            poll(subscription);
        }
    }

    @Override
    public void fetch() {
        lastEntries = null;
        poll(SINGLE_FETCH);
    }

    /** Starts one look-up for the given subscription, or for {@link #SINGLE_FETCH}. */
    private void poll(long requestedSubscription) {
        lookUpExecutor.execute(() -> {
            List<DiscoveredEndpoint> found = null;
            try {
                found = lookUp();
            } catch (IOException | RuntimeException e) {
                Log.warn("dns-sd: look-up of %s failed, keeping the current list: %s", service, e.getMessage());
            }
            List<DiscoveredEndpoint> entries = found;
            loop.post(() -> onLookUpEnded(requestedSubscription, entries));
        });
    }

    private void onLookUpEnded(long requestedSubscription, List<DiscoveredEndpoint> entries) {
        if (requestedSubscription >= 0 && requestedSubscription != subscription) {
            return;
        }
        if (entries == null) {
            subscription++;
            pooler.onEndpointListEvent(new EndpointListEvent(ListForm.UNAVAILABLE, List.of()));
            return;
        }
        if (!entries.equals(lastEntries)) {
            lastEntries = entries;
            pooler.onEndpointListEvent(new EndpointListEvent(ListForm.FULL, entries));
        }
        if (requestedSubscription >= 0) {
            nextPoll = loop.after(pollMicros, () -> poll(requestedSubscription));
        }
    }

    private List<DiscoveredEndpoint> lookUp() throws IOException {
        Map<String, List<Record>> cachedRecords = new HashMap<>();
        Name name = Name.fromString(service, Name.root);
        List<DiscoveredEndpoint> entries = new ArrayList<>();
        TreeSet<Name> instances = new TreeSet<>();
        for (Record record : records(name, Type.PTR, cachedRecords)) {
            instances.add(((PTRRecord) record).getTarget());
        }
        if (instances.isEmpty()) {
            // A zone that has lost its records can't be distinguished from one whose db nodes have all departed; the
            // former is more likely.
            throw new IOException("the answer has no PTR records");
        }
        for (Name instance : instances) {
            List<Record> services = records(instance, Type.SRV, cachedRecords);
            if (!services.isEmpty()) {
                SRVRecord server = (SRVRecord) services.get(0);
                entries.add(entry(
                        instance,
                        server,
                        address(server.getTarget(), cachedRecords),
                        attributes(instance, cachedRecords)));
            }
        }
        return entries;
    }

    /** Returns the records of a name; sends a query unless an earlier answer of this look-up contained them. */
    private List<Record> records(Name name, int type, Map<String, List<Record>> cachedRecords) throws IOException {
        String key = key(name, type);
        if (!cachedRecords.containsKey(key)) {
            SimpleResolver client = new SimpleResolver(resolver);
            client.setTimeout(Duration.ofSeconds(1));
            Message answer = client.send(Message.newQuery(Record.newRecord(name, type, DClass.IN)));
            int code = answer.getRcode();
            if (code != Rcode.NOERROR && code != Rcode.NXDOMAIN) {
                throw new IOException(name + ": " + Rcode.string(code));
            }
            for (int section : new int[] {Section.ANSWER, Section.ADDITIONAL}) {
                for (Record record : answer.getSection(section)) {
                    cachedRecords
                            .computeIfAbsent(key(record.getName(), record.getType()), absent -> new ArrayList<>())
                            .add(record);
                }
            }
        }
        return cachedRecords.getOrDefault(key, List.of());
    }

    private static String key(Name name, int type) {
        return name.toString().toLowerCase(Locale.ROOT) + " " + type;
    }

    private String address(Name host, Map<String, List<Record>> cachedRecords) throws IOException {
        for (Record record : records(host, Type.A, cachedRecords)) {
            return ((ARecord) record).getAddress().getHostAddress();
        }
        for (Record record : records(host, Type.AAAA, cachedRecords)) {
            return "[" + ((AAAARecord) record).getAddress().getHostAddress() + "]";
        }
        throw new IOException(host + " has neither an A nor an AAAA record");
    }

    private Map<String, String> attributes(Name instance, Map<String, List<Record>> cachedRecords) throws IOException {
        Map<String, String> attributes = new HashMap<>();
        for (Record record : records(instance, Type.TXT, cachedRecords)) {
            for (String pair : ((TXTRecord) record).getStrings()) {
                int equals = pair.indexOf('=');
                if (equals > 0) {
                    // Keys are case-insensitive, and the first of several equal keys counts (RFC 6763, 6.4).
                    attributes.putIfAbsent(
                            pair.substring(0, equals).toLowerCase(Locale.ROOT), pair.substring(equals + 1));
                }
            }
        }
        return attributes;
    }

    private DiscoveredEndpoint entry(Name instance, SRVRecord server, String host, Map<String, String> attributes)
            throws IOException {
        try {
            EndpointState state =
                    DiscoveryFormat.state(attributes.getOrDefault("phase", "in_service"), instance.toString());
            String label = new String(instance.getLabel(0), 1, instance.getLabel(0)[0] & BYTE_MASK, UTF_8);
            int mysql = Integer.parseInt(attributes.getOrDefault("mysql", Integer.toString(mysqlPort)));
            return new DiscoveredEndpoint(
                    new Endpoint(
                            attributes.getOrDefault("id", label),
                            Integer.parseInt(attributes.getOrDefault("cell", "0")),
                            zones.getOrDefault(attributes.getOrDefault("locality", ""), 0),
                            state,
                            DiscoveryFormat.isPrimary(attributes.get("rank")),
                            Long.parseLong(attributes.getOrDefault("up_since_ms", "0"))
                                    * DiscoveryFormat.MICROS_PER_MILLI),
                    Map.of("pg", host + ":" + server.getPort(), "mysql", host + ":" + mysql));
        } catch (NumberFormatException e) {
            throw new IOException(instance + ": malformed number in its TXT record: " + e.getMessage(), e);
        }
    }
}
