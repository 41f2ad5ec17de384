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

/** Decodes lists in discovery's form, once, into the few values used. */
public final class ListReader {
    /** A list or change with its version. */
    public record Listed(long revision, boolean complete, List<DiscoveredEndpoint> entries) {}

    private static final JsonFactory JSON = new JsonFactory();
    private final Integer mysqlPort;
    private final Map<String, Integer> zones = new HashMap<>();

    /**
     * @param zones the names of zones, in the settings' order
     * @param mysqlPort port at which db nodes speak MySQL's protocol, or null
     */
    public ListReader(List<String> zones, Integer mysqlPort) {
        this.mysqlPort = mysqlPort;
        zones.forEach(zone -> this.zones.put(zone, this.zones.size()));
    }

    public Listed read(byte[] bytes, int from, int length) throws IOException {
        try (JsonParser in = JSON.createParser(bytes, from, length)) {
            in.nextToken();
            return read(in);
        }
    }

    /** Reads the object that the parser stands at. */
    public Listed read(JsonParser in) throws IOException {
        if (in.currentToken() != JsonToken.START_OBJECT) {
            throw new IOException("list: not an object");
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
        return new Listed(revision, complete, entries);
    }

    private DiscoveredEndpoint entry(JsonParser in) throws IOException {
        String id = null;
        String address = null;
        String mysql = null;
        String phase = "";
        String zone = "";
        boolean primary = false;
        int cell = 0;
        long born = 0;
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
                case "rank" -> primary = "source".equals(in.getValueAsString());
                case "up_since_ms" -> born = in.getValueAsLong() * 1000;
                default -> in.skipChildren();
            }
        }
        if (id == null) {
            throw new IOException("list: an entry without id");
        }
        EndpointState health =
                switch (phase) {
                    case "in_service" -> EndpointState.LIVE;
                    case "terminating" -> EndpointState.DRAINING;
                    case "terminated" -> EndpointState.DEPARTED;
                    default -> throw new IOException("list: phase " + phase);
                };
        return new DiscoveredEndpoint(
                new Endpoint(id, cell, zones.getOrDefault(zone, 0), health, primary, born), addresses(address, mysql));
    }

    /** Where an entry names no address for MySQL, its port is the one that the operator gave for all. */
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
