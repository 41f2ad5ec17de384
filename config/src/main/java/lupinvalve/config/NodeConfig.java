package lupinvalve.config;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import lupinvalve.discovery.EndpointListReader;
import lupinvalve.log.Log;
import lupinvalve.simulator.SettingsReader;

/**
 * The configuration file that the hosting platform gives to a pooler. Immutable.
 *
 * @param name name of the pooler in its log
 * @param listen address of the PostgreSQL frontend
 * @param discovery address of discovery, or null
 * @param seed seed of the router's random choices
 * @param cores CPU limit in cores; may be a fraction
 * @param memoryMb memory limit in megabytes
 * @param sockets limit on file descriptors
 * @param known the endpoint list that this pooler received last, for the time before discovery answers
 * @param site settings of the router and the connections
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
     * Reads a configuration file in the platform's format.
     *
     * @param mysqlPort port on which db nodes serve the MySQL protocol, or null
     * @throws ConfigException if a field is missing or has an invalid value
     * @throws IOException if the file can't be read or is not JSON
     */
    public static NodeConfig read(Path file, Integer mysqlPort) throws IOException {
        return NodeConfigParser.parse(file, mysqlPort);
    }

    /**
     * A copy with the admin address from an environment variable, which takes precedence over the file's: the variable
     * applies to this process alone.
     */
    public NodeConfig withOperator(String variable, String value) throws IOException {
        if (value == null || value.isEmpty()) {
            return this;
        }
        InetSocketAddress fromVariable = NodeConfigParser.address(variable, value);
        if (operator != null && !operator.equals(fromVariable)) {
            Log.warn(
                    "operator: %s is %s, the configuration file has %s; the variable takes precedence",
                    variable, value, operator);
        }
        return new NodeConfig(name, listen, discovery, seed, cores, memoryMb, sockets, known, site, fromVariable);
    }
}
