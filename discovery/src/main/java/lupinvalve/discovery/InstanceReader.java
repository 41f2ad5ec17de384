package lupinvalve.discovery;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import lupinvalve.core.DiscoveredEndpoint;
import lupinvalve.routing.Endpoint;
import lupinvalve.routing.EndpointState;
import org.xbill.DNS.Name;
import org.xbill.DNS.Record;
import org.xbill.DNS.SRVRecord;
import org.xbill.DNS.TXTRecord;

/** Reads the records of one service instance as a db node (RFC 6763). Immutable. */
final class InstanceReader {
    private static final int BYTE_MASK = 255;
    private static final int MAX_PORT = 65_535;

    private final int mysqlPort;
    private final Map<String, Integer> zones = new HashMap<>();

    /**
     * @param mysqlPort MySQL port of an instance whose TXT record has none
     * @param zones the names of zones, in the settings' order
     */
    InstanceReader(int mysqlPort, List<String> zones) {
        this.mysqlPort = mysqlPort;
        zones.forEach(zone -> this.zones.put(zone, this.zones.size()));
    }

    /**
     * The attributes in TXT records. Keys are case-insensitive; the first of several equal keys counts (RFC 6763, 6.4).
     */
    static Map<String, String> attributes(List<Record> records) {
        Map<String, String> attributes = new HashMap<>();
        for (Record record : records) {
            for (String pair : ((TXTRecord) record).getStrings()) {
                int equals = pair.indexOf('=');
                if (equals > 0) {
                    attributes.putIfAbsent(
                            pair.substring(0, equals).toLowerCase(Locale.ROOT), pair.substring(equals + 1));
                }
            }
        }
        return attributes;
    }

    /** The id of an instance: that of its attributes, else its label. */
    static String id(Name instance, Map<String, String> attributes) {
        String id = attributes.getOrDefault("id", "");
        return id.isEmpty() ? label(instance) : id;
    }

    /** The first label of an instance's name. */
    static String label(Name instance) {
        byte[] label = instance.getLabel(0);
        return new String(label, 1, label[0] & BYTE_MASK, UTF_8);
    }

    /** Reads the state of an instance, which counts even if other attributes are malformed. */
    static EndpointState state(Name instance, Map<String, String> attributes) throws IOException {
        return DiscoveryFormat.state(attributes.getOrDefault("phase", "in_service"), instance.toString());
    }

    /** The same db node in another state. */
    static DiscoveredEndpoint withState(DiscoveredEndpoint discovered, EndpointState state) {
        return new DiscoveredEndpoint(discovered.endpoint().withState(state), discovered.addresses());
    }

    /**
     * Reads an instance.
     *
     * @param address its host's address, as written in front of a port
     * @throws IOException if an attribute is malformed
     */
    DiscoveredEndpoint read(Name instance, SRVRecord server, String address, Map<String, String> attributes)
            throws IOException {
        try {
            int mysql = Integer.parseInt(attributes.getOrDefault("mysql", Integer.toString(mysqlPort)));
            if (mysql < 0 || mysql > MAX_PORT) {
                throw new NumberFormatException("no port: " + mysql);
            }
            long startedAtMicros =
                    Math.multiplyExact(Long.parseLong(attributes.getOrDefault("up_since_ms", "0")), (long)
                            DiscoveryFormat.MICROS_PER_MILLI);
            return new DiscoveredEndpoint(
                    new Endpoint(
                            id(instance, attributes),
                            Integer.parseInt(attributes.getOrDefault("cell", "0")),
                            zones.getOrDefault(attributes.getOrDefault("locality", ""), 0),
                            state(instance, attributes),
                            DiscoveryFormat.isPrimary(attributes.get("rank")),
                            startedAtMicros),
                    Map.of("pg", address + ":" + server.getPort(), "mysql", address + ":" + mysql));
        } catch (ArithmeticException | NumberFormatException e) {
            throw new IOException(instance + ": malformed number in its TXT record: " + e.getMessage(), e);
        }
    }
}
