import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** MySQL clients send values ahead, for statements that they do not execute, up to 60 MB each; others go on as usual. */
final class Ahead {
    private static final int MEMORY_MB = Integer.getInteger("memory", 192);
    private static final int CLIENTS = Integer.getInteger("clients", 3);
    private static final int STATEMENTS = 60;
    private static final int PIECE = 262_000;
    private static final int PIECES = 4;

    private static Map<String, String> fields(int id) {
        Map<String, String> fields = new LinkedHashMap<>();
        fields.put("id", String.format("%016x", 0xb0000000L + id));
        fields.put("c", "pickup-booking");
        fields.put("t", "almaty-branch");
        fields.put("d", "2000");
        fields.put("cluster", "1");
        return fields;
    }

    private static void bad(int number, int port) {
        long sent = 0;
        try (Mysql.Client client = new Mysql.Client(port, "portal")) {
            for (int i = 0; i < STATEMENTS; i++) {
                long statement = client.prepare("INSERT INTO rows (handle, blob) VALUES (?, ?) /* " + i + " */");
                for (int piece = 0; piece < PIECES; piece++) {
                    client.write(Mysql.Client.longData(statement, new byte[PIECE]));
                    sent += PIECE;
                }
            }
            Lab.log("client %d has sent %d bytes ahead; it stays", number, sent);
            Lab.sleep(15_000);
        } catch (IOException e) {
            Lab.log("client %d, after %d bytes sent ahead: %s", number, sent, e);
        }
    }

    public static void main(String[] args) throws Exception {
        Lab.open(args[0]);
        Mysql.Node primary = new Mysql.Node("db-0", true, 15);
        Lab.PgNode pgPrimary = new Lab.PgNode("db-0", true, new byte[100], 5);
        Lab.PgNode pgReplica = new Lab.PgNode("db-1", false, new byte[100], 5);
        Mysql.Node replica = new Mysql.Node("db-1", false, 15);
        int discovery = Lab.discovery(Lab.member("db-0", pgPrimary.port, primary.port, "source") + ","
                + Lab.member("db-1", pgReplica.port, replica.port, "copy"));
        int port = Lab.freePort();
        int mysqlPort = Lab.freePort();
        java.nio.file.Path operator = Lab.scratch().resolve("operator.json");
        java.nio.file.Files.writeString(operator, "{\"mysql\":{\"listen\":\"127.0.0.1:" + mysqlPort
                + "\",\"user\":\"portal\",\"password\":\"\",\"node_port\":3306,\"node_user\":\"pooler\","
                + "\"node_password\":\"\",\"database\":\"ledger\"}}");
        Process pooler = Lab.pooler("n0", Lab.config("n0", port, discovery, MEMORY_MB), operator);
        if (!Lab.ready(port, 30_000) || !Lab.awaitPort(mysqlPort, 5_000)) {
            Lab.quoteLog("n0", ".", 30);
            Lab.cannotRun("the pooler is not ready");
        }
        int asked = 0;
        int answered = 0;
        String firstLoss = "";
        if (Lab.TROUBLE) {
            for (int i = 1; i <= CLIENTS; i++) {
                int number = i;
                Lab.daemon(() -> bad(number, mysqlPort));
            }
        }
        long end = Lab.millis() + 12_000;
        while (Lab.millis() < end && firstLoss.isEmpty()) {
            asked++;
            try (Lab.PgClient usual = new Lab.PgClient(port, 0)) {
                usual.send("SELECT blob FROM rows WHERE handle = 'k' /* id=" + String.format("%016x", asked)
                        + ",c=own-order-view,t=almaty-branch,d=1200,cluster=1 */");
                String answer = usual.answer();
                answered += answer.isEmpty() ? 0 : 1;
                if (asked % 50 == 1) {
                    Lab.log("usual client: request %d: %s", asked, answer);
                }
            } catch (IOException e) {
                firstLoss = "request " + asked + " of the usual client: " + e;
                Lab.log("%s", firstLoss);
            }
            Lab.sleep(20);
        }
        boolean ended = pooler.waitFor(5, TimeUnit.SECONDS);
        Lab.log("usual requests asked %d, answered %d; the pooler %s", asked, answered,
                ended ? "has ended with " + pooler.exitValue() : "runs");
        Lab.quoteLog("n0", "WARN|ERROR|Exception|OutOfMemory|ended|shutting|stopped", 40);
        Lab.verdict(ended || !firstLoss.isEmpty(), "process %s; %s", ended ? "ended by itself with exit code " + pooler.exitValue() : "runs",
                firstLoss.isEmpty() ? "all usual requests were answered" : firstLoss);
    }
}
