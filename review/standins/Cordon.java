import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;

/** A db node hangs while a booking's statement is prepared there; operators take it out meanwhile. */
final class Cordon {
    private static final int GRACE_MILLIS = 300;

    public static void main(String[] args) throws Exception {
        Lab.open(args[0]);
        Lab.Applied log = new Lab.Applied(0, 0);
        Mysql.Node primary = new Mysql.Node("db-0", true, 15, new byte[10], log, false);
        Mysql.Node replica = new Mysql.Node("db-1", false, 15);
        Lab.PgNode pgPrimary = new Lab.PgNode("db-0", true, new byte[] {1}, 5);
        Lab.PgNode pgReplica = new Lab.PgNode("db-1", false, new byte[] {1}, 5);
        int discovery = Lab.discovery(Lab.member("db-0", pgPrimary.port, primary.port, "source") + ","
                + Lab.member("db-1", pgReplica.port, replica.port, "copy"));
        int port = Lab.freePort();
        int mysqlPort = Lab.freePort();
        int door = Lab.freePort();
        Path operator = Lab.scratch().resolve("operator.json");
        Files.writeString(operator, "{\"mysql\":{\"listen\":\"127.0.0.1:" + mysqlPort
                + "\",\"user\":\"portal\",\"password\":\"\",\"node_port\":3306,\"node_user\":\"pooler\","
                + "\"node_password\":\"\",\"database\":\"ledger\"}}");
        Path config = Lab.config("n0", port, discovery, 192);
        Files.writeString(config, Files.readString(config)
                .replace("\"name\": \"n0\"", "\"name\": \"n0\",\n \"operator\": \"127.0.0.1:" + door + "\""));
        Lab.pooler("n0", config, operator);
        if (!Lab.ready(port, 30_000) || !Lab.awaitPort(mysqlPort, 5_000)) {
            Lab.quoteLog("n0", ".", 30);
            Lab.cannotRun("the pooler is not ready");
        }
        try (Mysql.Client client = new Mysql.Client(mysqlPort, "portal")) {
            for (int i = 0; i < 2; i++) {
                long statement = client.prepare("INSERT INTO rows (handle, blob) VALUES (?, ?) /* form " + i + " */");
                Map<String, String> fields = new LinkedHashMap<>();
                fields.put("id", String.format("%016x", 0xb0 + i));
                fields.put("c", "pickup-booking");
                fields.put("t", "almaty-branch");
                fields.put("d", "2000");
                fields.put("cluster", "1");
                if (i == 1) {
                    if (Lab.TROUBLE) {
                        log.hang(1500);
                        Lab.log("db-0 hangs for 1500 ms");
                    }
                }
                client.write(Mysql.Client.execute(statement, "booking-" + i, "x", fields));
                if (i == 1) {
                    Lab.sleep(100);
                    int code = Lab.command("call", "--to", "127.0.0.1:" + door, "cordon", "db-0");
                    long told = Lab.millis();
                    Lab.log("answer: %s", client.answer());
                    Lab.sleep(1000);
                    long late = primary.runs.stream().filter(run -> run.atMillis() > told + GRACE_MILLIS).count();
                    if (code != 0) {
                        Lab.cannotRun("cordon was not accepted");
                    }
                    Lab.verdict(late > 0, "db-0 ran %d bookings that were written to it over %d ms after the ok", late,
                            GRACE_MILLIS);
                }
                Lab.log("answer: %s", client.answer());
            }
        }
    }
}
