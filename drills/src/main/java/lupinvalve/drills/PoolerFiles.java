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

/** Writes the files that a pooler of a drill starts from, and removes what a lying disk would lose. */
final class PoolerFiles {
    /** A pooler's name, its number among all poolers, the port for its clients and the port of its discovery. */
    record Identity(String name, int number, int poolers, int clientPort, int discoveryPort) {}

    private PoolerFiles() {}

    /** Replaces names, ports, zones and db nodes in a platform's file by those of a pooler of the drill. */
    static String platform(String text, Identity identity, List<String> zones, String entries) {
        return text.replace("\"name\": \"n0\"", "\"name\": \"" + identity.name() + "\"")
                .replace("127.0.0.1:5432", "127.0.0.1:" + identity.clientPort())
                .replace("127.0.0.1:8500", "127.0.0.1:" + identity.discoveryPort())
                .replace("\"members\": []", "\"members\": [" + entries + "]")
                .replace("\"almaty-main\"", "\"" + String.join("\",\"", zones) + "\"")
                .replace("\"me\": 0", "\"me\": " + identity.number())
                .replace("\"n_instances\": 1", "\"n_instances\": " + identity.poolers())
                .replace("\"zone\": 0", "\"zone\": " + identity.number() % zones.size());
    }

    /** Replaces the limit on sockets in a platform's file. */
    static String withSockets(String platform, int sockets) {
        return platform.replaceFirst("\"sockets\": *\\d+", "\"sockets\": " + sockets);
    }

    /**
     * Returns the text of the operators' file.
     *
     * @param members addresses through which this pooler reaches the group's members, and its own
     */
    static String operator(Identity identity, Path folder, String audit, Map<String, String> members) {
        String listed = members.entrySet().stream()
                .map(member -> "\"" + member.getKey() + "\":\"" + member.getValue() + "\"")
                .collect(Collectors.joining(","));
        return "{\"store\":{\"cluster\":\"" + StoreClients.CLUSTER + "\",\"name\":\"" + identity.name()
                + "\",\"folder\":\"" + folder + "\",\"audit\":\"" + audit + "\",\"listen\":\""
                + members.get(identity.name()) + "\",\"members\":{" + listed + "}}}";
    }

    /** Cuts off the second half of the last history file, as a disk that acknowledged fsync without writing would. */
    static void truncateLastHistoryFile(Path folder) throws IOException {
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
