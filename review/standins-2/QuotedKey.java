import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** A session that writes and reads by MySQL's text protocol, its key in double quotes, while the replicas lag. */
final class QuotedKey {
    private static final int ROUNDS = 25;

    public static void main(String[] args) throws Exception {
        Kit.main(args[0], QuotedKey::run);
    }

    private static boolean run() throws Exception {
        Kit.Ledger ledger = new Kit.Ledger();
        List<Kit.PgNode> nodes = List.of(
                new Kit.PgNode("n1", ledger, true, 0),
                new Kit.PgNode("n2", ledger, false, 10),
                new Kit.PgNode("n3", ledger, false, 10));
        for (Kit.PgNode node : nodes) {
            node.mysqlPort = MysqlKit.listen(node);
        }
        Kit.Discovery discovery = new Kit.Discovery(nodes);
        int port = Kit.freePort();
        int mysqlPort = Kit.freePort();
        Path operator = Files.writeString(
                Kit.scratch().resolve("operator.json"),
                "{\"mysql\": {\"listen\": \"127.0.0.1:" + mysqlPort + "\", \"user\": \"portal\", \"password\": \"\","
                        + " \"node_user\": \"pooler\", \"node_password\": \"\"}}");
        Kit.pooler(
                "n0",
                Kit.config(
                        "n0", port, discovery.port,
                        "\"session_marks\": \"brought\"", "\"session_marks\": \"kept\"",
                        "\"server_checks\": \"bounce\"", "\"server_checks\": \"silent\""),
                operator);
        if (!Kit.awaitReady(port, 20_000)) {
            throw new IllegalStateException("the pooler is not ready");
        }
        int stale;
        try (MysqlKit.Client client = new MysqlKit.Client(mysqlPort, "portal")) {
            // The pooler learns who is primary and how far each replica is.
            rounds(client, '"', 10, "warm");
            if (Kit.TROUBLE) {
                nodes.get(1).lagMillis = 2000;
                nodes.get(2).lagMillis = 2000;
                Kit.note("the replicas are 2 s behind now");
            }
            int single = 0;
            int twice = 0;
            for (int i = 0; i < ROUNDS; i++) {
                single += rounds(client, '\'', 1, "single" + i);
                twice += rounds(client, '"', 1, "double" + i);
            }
            for (Kit.PgNode node : nodes) {
                node.lagMillis = node.primary ? 0 : 10;
            }
            Kit.note("keys in single quotes: %d of %d reads lacked the session's own write", single, ROUNDS);
            Kit.note("keys in double quotes: %d of %d reads lacked the session's own write", twice, ROUNDS);
            stale = single + twice;
        }
        Kit.recordLog("n0", "listens", "MySQL", "endpoint list", "WARN", "ERROR");
        return stale == 0;
    }

    /** Each round is a session of its own: a write, and a read 300 ms later; returns how many reads were stale. */
    private static int rounds(MysqlKit.Client client, char quote, int count, String prefix) throws Exception {
        int stale = 0;
        int read = 0;
        for (int i = 0; i < count; i++) {
            String key = quote + prefix + i + quote;
            Kit.Answer write = client.query("REPLACE INTO rows (handle, blob) VALUES (" + key + ", " + quote + "v" + i
                    + quote + ") /* id=" + Kit.newId() + ",c=pickup-booking,t=almaty-branch,d=2000,cluster=1 */");
            Kit.sleep(300);
            Kit.Answer answer = client.query("SELECT blob FROM rows WHERE handle = " + key + " /* id=" + Kit.newId()
                    + ",c=own-order-view,t=almaty-branch,d=1200,cluster=1 */");
            Kit.detail("session %s: write %s %s, read %s %s", key, write.kind(), write.value(), answer.kind(), answer.value());
            if (write.kind().equals("served") && answer.kind().equals("served")) {
                read++;
                stale += answer.value().equals("v" + i) ? 0 : 1;
            }
        }
        if (read < count / 2) {
            throw new IllegalStateException("only " + read + " of " + count + " rounds were served");
        }
        return stale;
    }
}
