import java.util.ArrayList;
import java.util.List;

/** A write's answer waits for a majority of poolers, two of three of which have been killed. */
final class LateAnswer {
    /** What the clients of these writes wait: 42% of the class's 2 s. */
    private static final long WAIT_MILLIS = 840;

    public static void main(String[] args) throws Exception {
        Kit.main(args[0], LateAnswer::run);
    }

    private static boolean run() throws Exception {
        Kit.Ledger ledger = new Kit.Ledger();
        List<Kit.PgNode> nodes = new ArrayList<>();
        for (int i = 1; i <= 5; i++) {
            nodes.add(new Kit.PgNode("n" + i, ledger, i == 1, i == 1 ? 0 : 10));
        }
        // One of five db nodes is seven times slower than usual, 100 ms.
        nodes.get(0).workMillis = 700;
        Kit.Discovery discovery = new Kit.Discovery(nodes);
        Group group = new Group(discovery.port, ", \"wait_for_majority_ms\": 1000");
        Kit.sleep(3000);
        int port = group.ports.get("a");
        try (Kit.PgClient client = new Kit.PgClient(port)) {
            for (int i = 0; i < 3; i++) {
                write(client, "warm" + i);
            }
            if (Kit.TROUBLE) {
                group.kill("b");
                group.kill("c");
            }
            int lost = 0;
            int served = 0;
            for (int i = 0; i < 4; i++) {
                lost += write(client, "k" + i) ? 1 : 0;
            }
            Kit.note("%d of 4 writes were lost", lost);
            group.recordLogs("store:", "listens", "WARN");
            return lost == 0;
        }
    }

    /** Sends a write; whether its answer came more than half a second after its time, or never. */
    private static boolean write(Kit.PgClient client, String key) throws Exception {
        long sent = System.nanoTime();
        Kit.Answer answer = client.query("INSERT INTO rows (handle, blob) VALUES ('" + key + "', 'v') RETURNING blob /* id="
                + Kit.newId() + ",c=pickup-booking,t=almaty-branch,d=" + WAIT_MILLIS + ",cluster=1 */");
        long tookMillis = (System.nanoTime() - sent) / 1_000_000;
        // Half a second, and 50 ms more on sockets.
        boolean isLost = tookMillis > WAIT_MILLIS + 500 + 50;
        Kit.note("write %s: %s after %d ms, its client waits %d ms%s", key, answer.kind(), tookMillis, WAIT_MILLIS,
                isLost ? ": lost" : "");
        return isLost;
    }
}
