package lupinvalve.config;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import lupinvalve.discovery.ListReader;
import lupinvalve.log.Log;
import lupinvalve.net.Addresses;
import lupinvalve.simulator.SettingsReader;
import lupinvalve.simulator.WireException;

/**
 * What the platform tells a pooler, decoded once.
 *
 * @param known the list as this pooler had it last
 * @param operator where operators call, or null
 */
public record NodeConfig(
        String name,
        String listen,
        String discovery,
        long seed,
        double cores,
        int memoryMb,
        int sockets,
        ListReader.Listed known,
        SettingsReader.Site site,
        InetSocketAddress operator) {
    private static final JsonFactory JSON = new JsonFactory();

    /**
     * Reads a file in the platform's form.
     *
     * @param mysqlPort port at which db nodes speak MySQL's protocol, or null
     */
    public static NodeConfig read(Path file, Integer mysqlPort) throws IOException {
        String name = "pooler";
        String listen = null;
        String discovery = null;
        long seed = 0;
        double cores = 1;
        int memory = 192;
        int sockets = 1024;
        SettingsReader.Site site = null;
        InetSocketAddress operator = null;
        try (JsonParser in = JSON.createParser(file.toFile())) {
            if (in.nextToken() != JsonToken.START_OBJECT) {
                throw new IOException(file + ": not a JSON object");
            }
            while (in.nextToken() == JsonToken.FIELD_NAME) {
                String field = in.currentName();
                in.nextToken();
                switch (field) {
                    case "name" -> name = in.getValueAsString();
                    case "listen" -> listen = in.getValueAsString();
                    case "discovery" -> discovery = in.getValueAsString();
                    case "seed" -> seed = seed(in.getValueAsString("0"));
                    case "operator" -> operator = in.currentToken() == JsonToken.VALUE_NULL
                            ? null
                            : address(file + ": operator", in.getText());
                    case "settings" -> site = site(file, in);
                    case "limits" -> {
                        while (in.nextToken() == JsonToken.FIELD_NAME) {
                            String limit = in.currentName();
                            in.nextToken();
                            if (limit.equals("cores")) {
                                cores = cores(file, in);
                            } else if (limit.equals("memory_mb")) {
                                memory = count(file, in, "limits.memory_mb");
                            } else if (limit.equals("sockets")) {
                                sockets = count(file, in, "limits.sockets");
                            } else {
                                in.skipChildren();
                            }
                        }
                    }
                    default -> in.skipChildren();
                }
            }
        }
        if (listen == null || site == null) {
            throw new IOException(file + ": " + (listen == null ? "listen" : "settings") + " is missing");
        }
        address(file + ": listen", listen);
        if (discovery != null) {
            address(file + ": discovery", discovery);
        }
        ListReader.Listed known = known(file, new ListReader(site.zones(), mysqlPort));
        // Clients hold a third of the descriptors at most for requests.
        return new NodeConfig(
                name,
                listen,
                discovery,
                seed,
                cores,
                memory,
                sockets,
                known,
                site.withOpen(Math.max(1, sockets / 3)),
                operator);
    }

    /** The same with the operators' address that a variable gives to this one process: it goes before the file's. */
    public NodeConfig withOperator(String variable, String value) throws IOException {
        if (value == null || value.isEmpty()) {
            return this;
        }
        InetSocketAddress own = address(variable, value);
        if (operator != null && !operator.equals(own)) {
            Log.warn("operator: %s says %s, the configuration %s; the variable holds", variable, value, operator);
        }
        return new NodeConfig(name, listen, discovery, seed, cores, memoryMb, sockets, known, site, own);
    }

    private static InetSocketAddress address(String field, String value) throws IOException {
        try {
            InetSocketAddress address = Addresses.parse(value);
            if (!address.isUnresolved()) {
                return address;
            }
        } catch (IllegalArgumentException e) {
            throw new IOException(field + ": " + value + " is no address and port", e);
        }
        throw new IOException(field + ": " + value + " is no literal address and port");
    }

    /** What is wrong in the settings is told with the file that holds them. */
    private static SettingsReader.Site site(Path file, JsonParser in) throws IOException {
        try {
            return SettingsReader.read(in);
        } catch (WireException e) {
            throw new IOException(file + ": " + e.getMessage(), e);
        }
    }

    /** The list it had stands before the settings, and its zones are named there. */
    private static ListReader.Listed known(Path file, ListReader reader) throws IOException {
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
        return new ListReader.Listed(0, true, List.of());
    }

    private static int count(Path file, JsonParser in, String field) throws IOException {
        int count = in.currentToken() == JsonToken.VALUE_NUMBER_INT && in.getNumberType() == JsonParser.NumberType.INT
                ? in.getIntValue()
                : 0;
        if (count <= 0) {
            throw new IOException(file + ": " + field + ": " + in.getText() + " is no count");
        }
        return count;
    }

    private static double cores(Path file, JsonParser in) throws IOException {
        double cores = in.currentToken().isNumeric() ? in.getDoubleValue() : 0;
        if (!(cores > 0)) {
            throw new IOException(file + ": limits.cores: " + in.getText() + " is no part of a core");
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
