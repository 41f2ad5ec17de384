package lupinvalve.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.Map;
import java.util.concurrent.FutureTask;
import org.junit.jupiter.api.Test;

/** What a caller is told of a request that no member has responded to. */
class GroupClientTest {
    private static final long TIMEOUT_MILLIS = 1_000;

    /** A member that takes a request and is gone before it responds. */
    private static void takeRequest(ServerSocket server) throws IOException {
        try (server;
                Socket socket = server.accept()) {
            DataOutputStream out = new DataOutputStream(socket.getOutputStream());
            byte[] hello = {1};
            out.writeInt(hello.length);
            out.write(hello);
            DataInputStream in = new DataInputStream(socket.getInputStream());
            // The client's Hello, then the request.
            in.readNBytes(in.readInt());
            in.readNBytes(in.readInt());
        }
    }

    private static WireMessages.Status call(ServerSocket server, boolean idempotent) throws Exception {
        Map<String, String> members = Map.of("a", "127.0.0.1:" + server.getLocalPort());
        return new GroupClient("test", members, null)
                .call("hold", List.of(), idempotent, TIMEOUT_MILLIS)
                .status();
    }

    /** Guards against "nothing has happened" for a hold that a member took, as nobody could be reached later. */
    @Test
    void aRequestThatMayHaveRunIsToldAsSuchWhateverLaterCallsSay() throws Exception {
        for (boolean idempotent : List.of(true, false)) {
            ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
            FutureTask<Void> member = new FutureTask<>(() -> {
                takeRequest(server);
                return null;
            });
            new Thread(member).start();
            assertEquals(WireMessages.Status.INDETERMINATE, call(server, idempotent), "idempotent: " + idempotent);
            member.get();
        }
    }

    @Test
    void aRequestThatNobodyTookMayBeRepeated() throws Exception {
        ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        server.close();
        assertEquals(WireMessages.Status.RETRY, call(server, true));
    }
}
