package lupinvalve.drills;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** What a pooler of a drill starts from, and what its disk may lose. */
final class PoolerFiles {
    /** One pooler's name and number among all, and the ports that it listens on and dials. */
    record Place(String name, int number, int poolers, int pg, int discovery) {}

    private PoolerFiles() {}

    /** A platform's file, with a pooler's own places and the db nodes in place of its own. */
    static String platform(String text, Place place, List<String> zones, String entries) {
        return text.replace("\"name\": \"n0\"", "\"name\": \"" + place.name() + "\"")
                .replace("127.0.0.1:5432", "127.0.0.1:" + place.pg())
                .replace("127.0.0.1:8500", "127.0.0.1:" + place.discovery())
                .replace("\"members\": []", "\"members\": [" + entries + "]")
                .replace("\"almaty-main\"", "\"" + String.join("\",\"", zones) + "\"")
                .replace("\"me\": 0", "\"me\": " + place.number())
                .replace("\"n_instances\": 1", "\"n_instances\": " + place.poolers())
                .replace("\"zone\": 0", "\"zone\": " + place.number() % zones.size());
    }

    /** The same with another limit on sockets. */
    static String withSockets(String platform, int sockets) {
        return platform.replaceFirst("\"sockets\": *\\d+", "\"sockets\": " + sockets);
    }

    /**
     * The operators' file.
     *
     * @param members addresses of the group's members as this one reaches them, its own among them
     */
    static String operator(Place place, Path folder, String audit, Map<String, String> members) {
        String listed = members.entrySet().stream()
                .map(member -> "\"" + member.getKey() + "\":\"" + member.getValue() + "\"")
                .collect(Collectors.joining(","));
        return "{\"store\":{\"cluster\":\"" + StoreClients.CLUSTER + "\",\"name\":\"" + place.name()
                + "\",\"folder\":\"" + folder + "\",\"audit\":\"" + audit + "\",\"listen\":\""
                + members.get(place.name()) + "\",\"members\":{" + listed + "}}}";
    }

    /** Leaves what a disk that lied about its forces would have kept. */
    static void forget(Path folder) throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            Path last = files.filter(f -> f.getFileName().toString().startsWith("history"))
                    .sorted()
                    .reduce((a, b) -> b)
                    .orElse(null);
            if (last != null) {
                try (FileChannel channel = FileChannel.open(last, StandardOpenOption.WRITE)) {
                    channel.truncate(channel.size() / 2);
                }
            }
        }
    }
}
