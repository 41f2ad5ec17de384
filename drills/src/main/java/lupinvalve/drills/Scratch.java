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

/** Temporary resources of a trial: unused ports on loopback, and folders. */
public final class Scratch {
    private Scratch() {}

    /**
     * A number of different unused ports, which stay bound until this is closed. They lie below the system's range of
     * ephemeral ports, and this process reserves none twice: a port stays free between being released here and being
     * bound by its user.
     */
    public static final class Ports implements Closeable {
        private static final int FIRST_PORT = 12_000;
        private static final int LAST_PORT = 30_000;
        private static final AtomicInteger NEXT_OFFSET =
                new AtomicInteger((int) (ProcessHandle.current().pid() * 97 % (LAST_PORT - FIRST_PORT)));
        private final List<ServerSocket> held = new ArrayList<>();

        /** Reserves this many ports. */
        public Ports(int count) throws IOException {
            for (int tries = 0; held.size() < count; tries++) {
                int port = FIRST_PORT + Math.floorMod(NEXT_OFFSET.getAndIncrement(), LAST_PORT - FIRST_PORT);
                try {
                    held.add(new ServerSocket(port, 1, InetAddress.getLoopbackAddress()));
                } catch (BindException e) {
                    if (tries > LAST_PORT - FIRST_PORT) {
                        throw e;
                    }
                }
            }
        }

        /** The port at an index, from 0. */
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

    /** A loopback address with an unused port for each name. */
    public static Map<String, String> places(List<String> names) throws IOException {
        Map<String, String> places = new TreeMap<>();
        try (Ports ports = new Ports(names.size())) {
            for (int i = 0; i < names.size(); i++) {
                places.put(names.get(i), "127.0.0.1:" + ports.get(i));
            }
        }
        return places;
    }

    /** Deletes a folder with all that it contains. */
    public static void delete(Path folder) throws IOException {
        try (Stream<Path> all = Files.walk(folder)) {
            for (Path path : all.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(path);
            }
        }
    }
}
