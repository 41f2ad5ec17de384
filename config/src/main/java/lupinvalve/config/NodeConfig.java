package lupinvalve.config;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import lupinvalve.discovery.EndpointListReader;
import lupinvalve.log.Log;
import lupinvalve.simulator.SettingsReader;

/**
 * The platform's configuration of a pooler. Immutable.
 *
 * @param name of the pooler, in its log
 * @param listen address of the PostgreSQL frontend
 * @param discovery address of discovery, or null
 * @param seed of the router's random choices
 * @param cores part of the machine's processors that it is given
 * @param memoryMb memory that it is given
 * @param sockets descriptors that it is given
 * @param known the endpoint list as this pooler had it last
 * @param site settings of the router and of connections
 * @param operator address of the admin interface, or null
 */
public record NodeConfig(
        String name,
        String listen,
        String discovery,
        long seed,
        double cores,
        int memoryMb,
        int sockets,
        EndpointListReader.EndpointList known,
        SettingsReader.Site site,
        InetSocketAddress operator) {
    /**
     * Reads a file in the platform's form.
     *
     * @param mysqlPort port at which db nodes speak MySQL's protocol, or null
     * @throws ConfigException where a field is missing or has an impossible value
     * @throws IOException where the file can't be read or is no JSON
     */
    public static NodeConfig read(Path file, Integer mysqlPort) throws IOException {
        return NodeConfigParser.parse(file, mysqlPort);
    }

    /** The same with the admin address that a variable gives to this one process, which goes before the file's. */
    public NodeConfig withOperator(String variable, String value) throws IOException {
        if (value == null || value.isEmpty()) {
            return this;
        }
        InetSocketAddress own = NodeConfigParser.address(variable, value);
        if (operator != null && !operator.equals(own)) {
            Log.warn("operator: %s says %s, the configuration %s; the variable holds", variable, value, operator);
        }
        return new NodeConfig(name, listen, discovery, seed, cores, memoryMb, sockets, known, site, own);
    }
}
