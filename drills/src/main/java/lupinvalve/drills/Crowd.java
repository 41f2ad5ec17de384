package lupinvalve.drills;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Clients that connect to poolers and say nothing. */
final class Crowd implements Closeable {
    private final Map<Integer, List<Socket>> byPort = new HashMap<>();

    /** So many more come to a pooler, or all that came go; a pooler that takes no more gets no more. */
    synchronized void act(int port, int count, boolean come) {
        List<Socket> here = byPort.computeIfAbsent(port, p -> new ArrayList<>());
        if (!come) {
            here.forEach(Crowd::close);
            here.clear();
            return;
        }
        try {
            for (int i = 0; i < count; i++) {
                here.add(new Socket(InetAddress.getLoopbackAddress(), port));
            }
        } catch (IOException e) {
            // It is down, or has no room: that many are enough.
        }
    }

    private static void close(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // It has gone already.
        }
    }

    @Override
    public synchronized void close() {
        byPort.keySet().forEach(port -> act(port, 0, false));
    }
}
