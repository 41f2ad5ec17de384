import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** A hotel portal books by prepared statements, many commands at once; refused bookings are asked for again. */
final class Batch {
    private static final int BOOKINGS = 40;
    /** Clients retry by themselves up to 2 times, after a wait. */
    private static final int REPEATS = 2;
    /** The error's number by which docs/mysql.md says that a repeat does no harm. */
    private static final String REFUSED = "1226";

    private static int lastId;

    private static byte[] booking(long statement, String handle) {
        String id = String.format("%016x", 0xb0000000L + ++lastId);
        Map<String, String> fields = new LinkedHashMap<>();
        fields.put("id", id);
        fields.put("c", "pickup-booking");
        fields.put("t", "almaty-branch");
        fields.put("d", "2000");
        fields.put("cluster", "1");
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.writeBytes(Mysql.Client.longData(statement, new byte[200]));
        out.writeBytes(Mysql.Client.execute(statement, handle, fields));
        Lab.log("client: booking %s as request %s", handle, id);
        return out.toByteArray();
    }

    public static void main(String[] args) throws Exception {
        Lab.open(args[0]);
        Mysql.Node primary = new Mysql.Node("db-0", true, 15);
        Mysql.Node replica = new Mysql.Node("db-1", false, 15);
        Lab.PgNode pgPrimary = new Lab.PgNode("db-0", true, new byte[] {1}, 5);
        Lab.PgNode pgReplica = new Lab.PgNode("db-1", false, new byte[] {1}, 5);
        int discovery = Lab.discovery(Lab.member("db-0", pgPrimary.port, primary.port, "source") + ","
                + Lab.member("db-1", pgReplica.port, replica.port, "copy"));
        int port = Lab.freePort();
        int mysqlPort = Lab.freePort();
        java.nio.file.Path operator = Lab.scratch().resolve("operator.json");
        java.nio.file.Files.writeString(operator, "{\"mysql\":{\"listen\":\"127.0.0.1:" + mysqlPort
                + "\",\"user\":\"portal\",\"password\":\"\",\"node_port\":3306,\"node_user\":\"pooler\","
                + "\"node_password\":\"\",\"database\":\"ledger\"}}");
        Process pooler = Lab.pooler("n0", Lab.config("n0", port, discovery, 192), operator);
        if (!Lab.ready(port, 30_000) || !Lab.awaitPort(mysqlPort, 5_000)) {
            Lab.quoteLog("n0", ".", 30);
            Lab.cannotRun("the pooler is not ready");
        }
        Map<String, List<String>> answers = new TreeMap<>();
        try (Mysql.Client client = new Mysql.Client(mysqlPort, "portal")) {
            long statement = client.prepare("INSERT INTO rows (handle, blob) VALUES (?, ?)");
            List<String> handles = new ArrayList<>();
            for (int i = 1; i <= BOOKINGS; i++) {
                handles.add(String.format("booking-%02d", i));
            }
            // The primary is found by the first booking.
            client.write(booking(statement, "booking-00"));
            Lab.log("client: answer to booking-00: %s", client.answer());
            if (Lab.TROUBLE) {
                ByteArrayOutputStream batch = new ByteArrayOutputStream();
                handles.forEach(handle -> batch.writeBytes(booking(statement, handle)));
                client.write(batch.toByteArray());
                Lab.log("client: %d commands sent at once", 2 * BOOKINGS);
            }
            for (String handle : handles) {
                if (!Lab.TROUBLE) {
                    client.write(booking(statement, handle));
                }
                String answer = client.answer();
                answers.computeIfAbsent(handle, key -> new ArrayList<>()).add(answer);
                Lab.log("client: answer to %s: %s", handle, answer);
            }
            // What was refused is asked for again, one after another, each after a wait.
            for (String handle : handles) {
                List<String> told = answers.get(handle);
                for (int i = 0; i < REPEATS && told.get(told.size() - 1).startsWith(REFUSED); i++) {
                    Lab.sleep(60);
                    client.write(booking(statement, handle));
                    String answer = client.answer();
                    told.add(answer);
                    Lab.log("client: answer to the repeat of %s: %s", handle, answer);
                }
            }
            Lab.sleep(500);
        }
        Map<String, Integer> runs = new TreeMap<>();
        primary.runs.forEach(run -> runs.merge(run.handle(), 1, Integer::sum));
        long twice = runs.values().stream().filter(count -> count > 1).count();
        long refusedAndRun = answers.entrySet().stream()
                .filter(entry -> entry.getValue().stream().allMatch(answer -> answer.startsWith(REFUSED))
                        && runs.containsKey(entry.getKey()))
                .count();
        if (!pooler.isAlive()) {
            Lab.cannotRun("the pooler has ended");
        }
        Lab.log("bookings by number of runs: %s", runs);
        Lab.verdict(twice + refusedAndRun > 0,
                "%d of %d bookings ran more than once; %d were refused each time and have run",
                twice, BOOKINGS, refusedAndRun);
    }
}
