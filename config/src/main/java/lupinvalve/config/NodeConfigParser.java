package lupinvalve.config;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import lupinvalve.discovery.EndpointListReader;
import lupinvalve.net.Addresses;
import lupinvalve.simulator.SettingsReader;
import lupinvalve.simulator.WireException;

/** Parses one configuration file in the platform's format. An instance parses a single file. */
final class NodeConfigParser {
    private static final JsonFactory JSON = new JsonFactory();
    private static final int DEFAULT_MEMORY_MB = 192;
    private static final int DEFAULT_SOCKETS_COUNT = 1024;
    /** File descriptors per open request: open requests are limited to this fraction of the descriptors. */
    private static final int SOCKETS_PER_OPEN_REQUEST = 3;

    private final Path file;
    private String name = "pooler";
    private String listen;
    private String discovery;
    private long seed;
    private double cores = 1;
    private int memoryMb = DEFAULT_MEMORY_MB;
    private int sockets = DEFAULT_SOCKETS_COUNT;
    private SettingsReader.Site site;
    private InetSocketAddress operator;

    private NodeConfigParser(Path file) {
        this.file = file;
    }

    /** Parses a file; {@code mysqlPort} is the port on which db nodes serve the MySQL protocol, or null. */
    static NodeConfig parse(Path file, Integer mysqlPort) throws IOException {
        NodeConfigParser parser = new NodeConfigParser(file);
        parser.readFields();
        return parser.toConfig(mysqlPort);
    }

    private void readFields() throws IOException {
        try (JsonParser in = JSON.createParser(file.toFile())) {
            if (in.nextToken() != JsonToken.START_OBJECT) {
                throw new ConfigException(file + ": not a JSON object");
            }
            while (in.nextToken() == JsonToken.FIELD_NAME) {
                String field = in.currentName();
                in.nextToken();
                readField(field, in);
            }
        }
    }

    private void readField(String field, JsonParser in) throws IOException {
        switch (field) {
            case "name" -> name = in.getValueAsString();
            case "listen" -> listen = in.getValueAsString();
            case "discovery" -> discovery = in.getValueAsString();
            case "seed" -> seed = seed(in.getValueAsString("0"));
            case "operator" -> operator =
                    in.currentToken() == JsonToken.VALUE_NULL ? null : address(file + ": operator", in.getText());
            case "settings" -> site = site(file, in);
            case "limits" -> readLimits(in);
            default -> in.skipChildren();
        }
    }

    private void readLimits(JsonParser in) throws IOException {
        while (in.nextToken() == JsonToken.FIELD_NAME) {
            String limit = in.currentName();
            in.nextToken();
            switch (limit) {
                case "cores" -> cores = cores(file, in);
                case "memory_mb" -> memoryMb = count(file, in, "limits.memory_mb");
                case "sockets" -> sockets = count(file, in, "limits.sockets");
                default -> in.skipChildren();
            }
        }
    }

    private NodeConfig toConfig(Integer mysqlPort) throws IOException {
        if (listen == null || site == null) {
            throw new ConfigException(file + ": " + (listen == null ? "listen" : "settings") + " is missing");
        }
        address(file + ": listen", listen);
        if (discovery != null) {
            address(file + ": discovery", discovery);
        }
        EndpointListReader.EndpointList known = known(file, new EndpointListReader(site.zones(), mysqlPort));
        int openRequests = Math.max(1, sockets / SOCKETS_PER_OPEN_REQUEST);
        return new NodeConfig(
                name,
                listen,
                discovery,
                seed,
                cores,
                memoryMb,
                sockets,
                known,
                site.withMaxOpenRequests(openRequests),
                operator);
    }

    /** Parses a literal address with a port. */
    static InetSocketAddress address(String field, String value) throws IOException {
        try {
            InetSocketAddress address = Addresses.parse(value);
            if (!address.isUnresolved()) {
                return address;
            }
        } catch (IllegalArgumentException e) {
            throw new ConfigException(field + ": " + value + " is no address and port", e);
        }
        throw new ConfigException(field + ": " + value + " is no literal address and port");
    }

    /** Reads the settings; adds the file's name to the message of an error. */
    private static SettingsReader.Site site(Path file, JsonParser in) throws IOException {
        try {
            return SettingsReader.read(in);
        } catch (WireException e) {
            throw new ConfigException(file + ": " + e.getMessage(), e);
        }
    }

    /**
     * Reads the endpoint list in a second pass over the file: it precedes the settings, which define the zones that it
     * refers to.
     */
    private static EndpointListReader.EndpointList known(Path file, EndpointListReader reader) throws IOException {
        try (JsonParser in = JSON.createParser(file.toFile())) {
            in.nextToken();
            while (in.nextToken() == JsonToken.FIELD_NAME) {
                String field = in.currentName();
                in.nextToken();
                if (field.equals("known")) {
                    return reader.read(in);
                }
                in.skipChildren();
            }
        }
        return new EndpointListReader.EndpointList(0, true, List.of());
    }

    private static int count(Path file, JsonParser in, String field) throws IOException {
        int count = in.currentToken() == JsonToken.VALUE_NUMBER_INT && in.getNumberType() == JsonParser.NumberType.INT
                ? in.getIntValue()
                : 0;
        if (count <= 0) {
            throw new ConfigException(file + ": " + field + ": " + in.getText() + " is no count");
        }
        return count;
    }

    private static double cores(Path file, JsonParser in) throws IOException {
        double cores = in.currentToken().isNumeric() ? in.getDoubleValue() : 0;
        if (!(cores > 0)) {
            throw new ConfigException(file + ": limits.cores: " + in.getText() + " is no part of a core");
        }
        return cores;
    }

    private static long seed(String text) {
        try {
            return Long.parseUnsignedLong(text, 16);
        } catch (NumberFormatException e) {
            return text.hashCode();
        }
    }
}
