import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Two of three members stand still while operators hold a db node; the call's exit code is held against what comes of it. */
final class Told {
    private static final List<String> NAMES = List.of("a", "b", "c");
    private static final int NOTHING_HAS_HAPPENED = 5;

    private static void signal(String name, Process process) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).inheritIO().start().waitFor();
        Lab.log("SIG%s to process %d", name, process.pid());
    }

    public static void main(String[] args) throws Exception {
        Lab.open(args[0]);
        Lab.PgNode primary = new Lab.PgNode("db-0", true, new byte[] {1}, 3);
        Lab.PgNode replica = new Lab.PgNode("db-1", false, new byte[] {1}, 3);
        int discovery = Lab.discovery(Lab.member("db-0", primary.port, null, "source") + ","
                + Lab.member("db-1", replica.port, null, "copy"));
        Map<String, Integer> ports = new TreeMap<>();
        Map<String, Integer> storePorts = new TreeMap<>();
        Map<String, Path> operators = new TreeMap<>();
        Map<String, Process> poolers = new TreeMap<>();
        StringBuilder addresses = new StringBuilder();
        for (String name : NAMES) {
            ports.put(name, Lab.freePort());
            storePorts.put(name, Lab.freePort());
            addresses.append(addresses.length() == 0 ? "" : ",")
                    .append("\"" + name + "\":\"127.0.0.1:" + storePorts.get(name) + "\"");
        }
        for (String name : NAMES) {
            Path operator = Lab.scratch().resolve(name + ".operator.json");
            Files.writeString(operator, "{\"store\":{\"cluster\":\"plant\",\"name\":\"" + name + "\",\"folder\":\""
                    + Lab.scratch().resolve("state-" + name) + "\",\"listen\":\"127.0.0.1:" + storePorts.get(name)
                    + "\",\"members\":{" + addresses + "}}}");
            operators.put(name, operator);
            poolers.put(name, Lab.pooler(name, Lab.config(name, ports.get(name), discovery, 192), operator));
        }
        for (String name : NAMES) {
            if (!Lab.ready(ports.get(name), 30_000)) {
                Lab.cannotRun("pooler " + name + " is not ready");
            }
        }
        if (Lab.command("store", "members", "--operator", operators.get("a").toString(), "--seconds", "20") != 0) {
            Lab.cannotRun("the group is not founded");
        }
        Lab.sleep(1000);
        String leader = null;
        for (String name : NAMES) {
            String log = Files.readString(Lab.scratch().resolve("a.log"));
            if (log.lastIndexOf("store: " + name + "/") >= 0
                    && (leader == null || log.lastIndexOf("store: " + name + "/") > log.lastIndexOf("store: " + leader + "/"))) {
                leader = name;
            }
        }
        Lab.log("leader: %s", leader);
        if (Lab.TROUBLE) {
            for (String name : NAMES) {
                if (!name.equals(leader)) {
                    signal("STOP", poolers.get(name));
                }
            }
        }
        int code = Lab.command("store", "hold", "node", "db-1", "--operator", operators.get(leader).toString(),
                "--seconds", "6");
        if (Lab.TROUBLE) {
            for (String name : NAMES) {
                if (!name.equals(leader)) {
                    signal("CONT", poolers.get(name));
                }
            }
        }
        Lab.sleep(5000);
        Lab.command("store", "holds", "--operator", operators.get(leader).toString());
        boolean held = false;
        for (String name : NAMES) {
            Lab.quoteLog(name, "drained by operator|leads, term", 10);
            held |= Files.readString(Lab.scratch().resolve(name + ".log")).contains("db-1: drained by operator");
        }
        Lab.verdict(code == NOTHING_HAS_HAPPENED && held, "exit code %d, and the hold %s", code,
                held ? "is in force" : "is not in force");
    }
}
