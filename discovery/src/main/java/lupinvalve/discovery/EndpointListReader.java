package lupinvalve.discovery;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import lupinvalve.core.DiscoveredEndpoint;
import lupinvalve.routing.Endpoint;
import lupinvalve.routing.EndpointState;

/** Parses discovery's JSON endpoint lists into {@link DiscoveredEndpoint}s. Immutable and thread-safe. */
public final class EndpointListReader {
    /**
     * A complete endpoint list, or the changed entries of one.
     *
     * @param revision discovery's revision number of the list
     * @param complete whether it contains all endpoints, not only the changed ones
     */
    public record EndpointList(long revision, boolean complete, List<DiscoveredEndpoint> entries) {}

    private static final JsonFactory JSON = new JsonFactory();
    private final Integer mysqlPort;
    private final Map<String, Integer> zones = new HashMap<>();

    /**
     * @param zones the names of zones, in the settings' order
     * @param mysqlPort MySQL port of entries that have no MySQL address; null if they have none
     */
    public EndpointListReader(List<String> zones, Integer mysqlPort) {
        this.mysqlPort = mysqlPort;
        zones.forEach(zone -> this.zones.put(zone, this.zones.size()));
    }

    /**
     * Reads a list from a range of bytes.
     *
     * @throws IOException if the text is not an endpoint list
     */
    public EndpointList read(byte[] bytes, int from, int length) throws IOException {
        try (JsonParser in = JSON.createParser(bytes, from, length)) {
            in.nextToken();
            return read(in);
        }
    }

    /**
     * Reads the list whose start the parser has just read.
     *
     * @throws IOException if the text is not an endpoint list
     */
    public EndpointList read(JsonParser in) throws IOException {
        if (in.currentToken() != JsonToken.START_OBJECT) {
            throw new IOException("endpoint list: not a JSON object");
        }
        long revision = 0;
        boolean complete = false;
        List<DiscoveredEndpoint> entries = new ArrayList<>();
        while (in.nextToken() == JsonToken.FIELD_NAME) {
            String name = in.currentName();
            in.nextToken();
            switch (name) {
                case "revision" -> revision = in.getValueAsLong();
                case "complete" -> complete = in.getValueAsBoolean();
                case "members" -> {
                    while (in.nextToken() == JsonToken.START_OBJECT) {
                        entries.add(entry(in));
                    }
                }
                default -> in.skipChildren();
            }
        }
        return new EndpointList(revision, complete, entries);
    }

    private DiscoveredEndpoint entry(JsonParser in) throws IOException {
        String id = null;
        String address = null;
        String mysql = null;
        String phase = "";
        String zone = "";
        boolean primary = false;
        int cell = 0;
        long upSinceMicros = 0;
        while (in.nextToken() == JsonToken.FIELD_NAME) {
            String name = in.currentName();
            in.nextToken();
            switch (name) {
                case "id" -> id = in.getValueAsString();
                case "host_port" -> address = in.getValueAsString();
                case "mysql_host_port" -> mysql = in.getValueAsString();
                case "locality" -> zone = in.getValueAsString("");
                case "cell" -> cell = in.getValueAsInt();
                case "phase" -> phase = in.getValueAsString("");
                case "rank" -> primary = DiscoveryFormat.isPrimary(in.getValueAsString());
                case "up_since_ms" -> upSinceMicros = in.getValueAsLong() * DiscoveryFormat.MICROS_PER_MILLI;
                default -> in.skipChildren();
            }
        }
        if (id == null) {
            throw new IOException("endpoint list: an entry has no id");
        }
        EndpointState state = DiscoveryFormat.state(phase, "endpoint list");
        return new DiscoveredEndpoint(
                new Endpoint(id, cell, zones.getOrDefault(zone, 0), state, primary, upSinceMicros),
                addresses(address, mysql));
    }

    /** Addresses by protocol. An entry without a MySQL address gets its own host and the configured MySQL port. */
    private Map<String, String> addresses(String address, String mysql) {
        Map<String, String> addresses = new HashMap<>();
        if (address != null) {
            addresses.put("pg", address);
        }
        if (mysql != null) {
            addresses.put("mysql", mysql);
        } else if (address != null && mysqlPort != null) {
            addresses.put("mysql", address.substring(0, Math.max(0, address.lastIndexOf(':'))) + ":" + mysqlPort);
        }
        return addresses;
    }
}
