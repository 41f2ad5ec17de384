package lupinvalve.drills;

import java.io.Closeable;
import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;

/** What each trial needs for a while: ports on loopback that nobody listens on, and folders. */
public final class Scratch {
    private Scratch() {}

    /**
     * So many different ports, which nobody else is given until it is closed. They lie below those that the system
     * gives to whoever does not ask for one, and this program gives none twice: what is let go before its user takes it
     * stays free.
     */
    public static final class Ports implements Closeable {
        private static final int FIRST = 12_000, LAST = 30_000;
        private static final AtomicInteger NEXT =
                new AtomicInteger((int) (ProcessHandle.current().pid() * 97 % (LAST - FIRST)));
        private final List<ServerSocket> held = new ArrayList<>();

        public Ports(int count) throws IOException {
            for (int tries = 0; held.size() < count; tries++) {
                int port = FIRST + Math.floorMod(NEXT.getAndIncrement(), LAST - FIRST);
                try {
                    held.add(new ServerSocket(port, 1, InetAddress.getLoopbackAddress()));
                } catch (BindException e) {
                    if (tries > LAST - FIRST) {
                        throw e;
                    }
                }
            }
        }

        public int get(int at) {
            return held.get(at).getLocalPort();
        }

        @Override
        public void close() throws IOException {
            for (ServerSocket socket : held) {
                socket.close();
            }
        }
    }

    /** An address for each member. */
    public static Map<String, String> places(List<String> names) throws IOException {
        Map<String, String> places = new TreeMap<>();
        try (Ports ports = new Ports(names.size())) {
            for (int i = 0; i < names.size(); i++) {
                places.put(names.get(i), "127.0.0.1:" + ports.get(i));
            }
        }
        return places;
    }

    public static void delete(Path folder) throws IOException {
        try (Stream<Path> all = Files.walk(folder)) {
            for (Path path : all.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(path);
            }
        }
    }
}
