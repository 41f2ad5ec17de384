package lupinvalve.mysql;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import lupinvalve.config.OperatorConfig;
import lupinvalve.integration.DbNode;
import lupinvalve.integration.World;
import lupinvalve.replication.GroupClient;
import lupinvalve.replication.WireMessages;

/** A pooler in a group of its own, whose MySQL account is a document that the group has accepted. */
final class StoredAccountWorld {
    static final String USER = "portal";
    static final String PASSWORD = "towel";

    private StoredAccountWorld() {}

    /** Starts the pooler and waits until its MySQL frontend listens. */
    static World start(Path folder, int sockets, DbNode... nodes) throws Exception {
        Map<String, String> members = Map.of("n0", "127.0.0.1:1");
        World world = new World(
                sockets,
                new OperatorConfig(
                        1,
                        new OperatorConfig.Mysql("127.0.0.1:0", "nobody", "", 0, "", "", ""),
                        new OperatorConfig.Store("test", "n0", folder, "127.0.0.1:0", members, null, 0),
                        null),
                nodes);
        // The MySQL frontend listens once a configuration with its accounts has been accepted.
        assertNull(world.daemon.mysqlAddress());
        String document = "{\"mysql\": {\"user\": \"" + USER + "\", \"password\": \"" + PASSWORD
                + "\", \"node_user\": \"" + MysqlPort.USER + "\", \"node_password\": \"" + MysqlPort.PASSWORD + "\"}}";
        GroupClient operator = new GroupClient(
                "test", Map.of("n0", "127.0.0.1:" + world.daemon.storeAddress().getPort()), null);
        assertEquals(
                WireMessages.Status.OK,
                operator.call("put", List.of("0".getBytes(UTF_8), document.getBytes(UTF_8)), false, 10_000)
                        .status());
        World.await("the MySQL frontend listens", () -> world.daemon.mysqlAddress() != null);
        return world;
    }
}
