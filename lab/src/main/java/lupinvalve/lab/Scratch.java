package lupinvalve.lab;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;

/** What each trial needs for a while: ports on loopback that nobody listens on, and folders. */
final class Scratch {
    private Scratch() {}

    /** So many different ports, which nobody else is given until it is closed. */
    static final class Ports implements Closeable {
        private final List<ServerSocket> held = new ArrayList<>();

        Ports(int count) throws IOException {
            for (int i = 0; i < count; i++) {
                held.add(new ServerSocket(0, 1, InetAddress.getLoopbackAddress()));
            }
        }

        int get(int at) {
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
    static Map<String, String> places(List<String> names) throws IOException {
        Map<String, String> places = new TreeMap<>();
        try (Ports ports = new Ports(names.size())) {
            for (int i = 0; i < names.size(); i++) {
                places.put(names.get(i), "127.0.0.1:" + ports.get(i));
            }
        }
        return places;
    }

    static void delete(Path folder) throws IOException {
        try (Stream<Path> all = Files.walk(folder)) {
            for (Path path : all.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(path);
            }
        }
    }
}
