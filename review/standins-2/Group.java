import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Three poolers with a store of their own, as docs/store.md sets them up, on loopback and so without keys. */
final class Group {
    static final List<String> NAMES = List.of("a", "b", "c");
    final Map<String, Integer> ports = new LinkedHashMap<>();
    final Map<String, Process> processes = new LinkedHashMap<>();
    private final Map<String, Path> configs = new LinkedHashMap<>();
    private final Map<String, Path> operators = new LinkedHashMap<>();

    /** Starts all three and waits until they are ready; {@code settings} are appended to the store's section. */
    Group(int discoveryPort, String settings) throws IOException {
        Map<String, Integer> stores = new LinkedHashMap<>();
        List<String> members = new ArrayList<>();
        for (String name : NAMES) {
            stores.put(name, Kit.freePort());
            ports.put(name, Kit.freePort());
            members.add("\"" + name + "\": \"127.0.0.1:" + stores.get(name) + "\"");
        }
        for (String name : NAMES) {
            configs.put(name, Kit.config(name, ports.get(name), discoveryPort));
            operators.put(
                    name,
                    Files.writeString(
                            Kit.scratch().resolve(name + ".operator.json"),
                            "{\"store\": {\"cluster\": \"plant\", \"name\": \"" + name + "\", \"folder\": \""
                                    + Kit.scratch().resolve(name + ".store") + "\", \"listen\": \"127.0.0.1:"
                                    + stores.get(name) + "\", \"members\": {" + String.join(", ", members) + "}"
                                    + settings + "}}"));
            start(name);
        }
        for (String name : NAMES) {
            if (!Kit.awaitReady(ports.get(name), 20_000)) {
                throw new IllegalStateException(name + " is not ready");
            }
        }
    }

    void start(String name) throws IOException {
        processes.put(name, Kit.pooler(name, configs.get(name), operators.get(name)));
    }

    void kill(String name) throws InterruptedException {
        processes.get(name).destroyForcibly().waitFor();
        Kit.note("killed %s", name);
    }

    /** Runs a store call with a member's file until it is done, for some seconds; throws if it never is. */
    String store(String member, String... call) throws IOException, InterruptedException {
        List<String> line = new ArrayList<>(List.of("store"));
        line.addAll(List.of(call));
        line.addAll(List.of("--operator", operators.get(member).toString()));
        String[] result = {"", ""};
        for (int i = 0; i < 10 && !result[0].equals("0"); i++) {
            result = Kit.command(20, line.toArray(new String[0]));
            Kit.note("store %s: exit %s: %s", String.join(" ", call), result[0], result[1].replace('\n', ' '));
        }
        if (!result[0].equals("0")) {
            throw new IllegalStateException("store " + String.join(" ", call) + " was not done");
        }
        return result[1];
    }

    void recordLogs(String... words) throws IOException {
        for (String name : NAMES) {
            Kit.recordLog(name, words);
        }
    }
}
