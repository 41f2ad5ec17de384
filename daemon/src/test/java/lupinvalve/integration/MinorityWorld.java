package lupinvalve.integration;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import lupinvalve.config.OperatorConfig;
import lupinvalve.mysql.MysqlPort;
import lupinvalve.replication.ControlPlane;
import lupinvalve.replication.GroupClient;
import lupinvalve.replication.RaftMember;
import lupinvalve.replication.WireMessages;
import lupinvalve.statemachine.Command;
import lupinvalve.statemachine.ReplicatedState;

/**
 * Test fixture: a pooler in a group of three, the other two members of which stop once the group has a configuration.
 * The answers to its bookings are held back for a majority that is not there.
 */
public final class MinorityWorld implements Closeable {
    /** How long the answer to a booking waits for a majority at most. */
    public static final int WAIT_MILLIS = 1_000;

    private static final String CLUSTER = "test";
    private static final String OWN_NAME = "n0";
    private static final String CONFIGURATION = "{\"mysql\": {\"user\": \"portal\", \"password\": \"towel\", "
            + "\"node_user\": \"" + MysqlPort.USER + "\", \"node_password\": \"" + MysqlPort.PASSWORD + "\"}}";

    public final World world;
    private final Path folder;
    private final Map<String, String> addresses = new TreeMap<>();

    /** A member without a pooler. */
    private static final class Silent implements ControlPlane.Listener {
        @Override
        public String validationError(byte[] document) {
            return null;
        }

        @Override
        public void configurationAccepted(ReplicatedState.Document document) {
            // It serves nobody.
        }

        @Override
        public void drainsChanged(Map<Command.DrainTarget, ReplicatedState.Drain> drains) {
            // It serves nobody.
        }

        @Override
        public void commitsAccepted(Command.SessionCommits commits) {
            // It serves nobody.
        }
    }

    /**
     * Returns once the pooler's group has lost its majority.
     *
     * @param folder an empty folder for the members
     * @param sharedDirectory directory that the processes of a hot restart share; null for none
     */
    public MinorityWorld(Path folder, Path sharedDirectory, DbNode... nodes) throws Exception {
        this.folder = folder;
        reserveAddresses();
        List<RaftMember> others = new ArrayList<>();
        for (String name : addresses.keySet()) {
            if (!name.equals(OWN_NAME)) {
                RaftMember member = new RaftMember(store(name));
                others.add(member);
                member.start(new Silent());
            }
        }
        OperatorConfig.Mysql mysql = new OperatorConfig.Mysql("127.0.0.1:0", "nobody", "", 0, "", "", "");
        world = new World(1024, new OperatorConfig(1, mysql, store(OWN_NAME), null), sharedDirectory, nodes);
        GroupClient.Result result = new GroupClient(CLUSTER, addresses, null)
                .call("put", List.of("0".getBytes(UTF_8), CONFIGURATION.getBytes(UTF_8)), false, 10_000);
        if (result.status() != WireMessages.Status.OK) {
            throw new IOException("the group took no configuration: " + result.status());
        }
        World.await("the MySQL frontend listens", () -> world.daemon.mysqlAddress() != null);
        others.forEach(RaftMember::stop);
    }

    private OperatorConfig.Store store(String name) {
        return new OperatorConfig.Store(
                CLUSTER, name, folder.resolve(name), addresses.get(name), addresses, null, WAIT_MILLIS * 1000L);
    }

    private void reserveAddresses() throws IOException {
        List<ServerSocket> reserved = new ArrayList<>();
        for (String name : List.of(OWN_NAME, "n1", "n2")) {
            ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
            reserved.add(socket);
            addresses.put(name, "127.0.0.1:" + socket.getLocalPort());
        }
        for (ServerSocket socket : reserved) {
            socket.close();
        }
    }

    @Override
    public void close() throws IOException {
        world.close();
    }
}
