package lupinvalve.drills;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Clients that connect to poolers and send nothing. Safe for concurrent use. */
final class IdleClients implements Closeable {
    private final Map<Integer, List<Socket>> byPort = new HashMap<>();

    /** Opens this many more connections to a pooler, up to the first that it does not accept, or closes all of them. */
    synchronized void act(int port, int count, boolean connect) {
        List<Socket> sockets = byPort.computeIfAbsent(port, p -> new ArrayList<>());
        if (!connect) {
            sockets.forEach(IdleClients::close);
            sockets.clear();
            return;
        }
        try {
            for (int i = 0; i < count; i++) {
                sockets.add(new Socket(InetAddress.getLoopbackAddress(), port));
            }
        } catch (IOException e) {
            // The pooler is down or at its connection limit: the connections opened so far suffice.
        }
    }

    private static void close(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // The connection is unusable already.
        }
    }

    @Override
    public synchronized void close() {
        byPort.keySet().forEach(port -> act(port, 0, false));
    }
}
